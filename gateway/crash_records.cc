#include "gateway/crash_records.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "base/bounded_json.h"
#include "base/log.h"

namespace rattanramp::gateway {
namespace {

// Time for which a cause must be blocked before it is written. Requests that run when a cause is
// blocked can still show that the block is wrong, and others that it is no outage.
constexpr Milliseconds kSettleTime{1'000};

// A row is written again when the newest loss is later than that in the row by this much.
constexpr Milliseconds kRenewalTime{600'000};

constexpr Milliseconds kRetryInterval{1'000};

std::string EncodeLosses(const std::vector<core::StartLoss>& losses, std::int64_t offset_ms) {
  nlohmann::json list = nlohmann::json::array();
  for (const core::StartLoss& loss : losses) {
    const std::int64_t own_ms =
        std::chrono::duration_cast<Milliseconds>(loss.at.time_since_epoch()).count();
    list.push_back({{"upstream", loss.upstream},
                    {"content", loss.causes.content},
                    {"parts", loss.causes.parts},
                    {"clock_ms", own_ms + offset_ms},
                    {"run_ms", std::chrono::duration_cast<Milliseconds>(loss.run_time).count()}});
  }
  return nlohmann::json({{"losses", list}}).dump();
}

/// The losses of a row that are not too old; empty if it cannot be decoded. clock_ms: the store's
/// clock now.
std::vector<core::StartLoss> DecodeLosses(const std::string& text, std::int64_t clock_ms,
                                          TimePoint now) {
  std::vector<core::StartLoss> losses;
  const std::optional<nlohmann::json> row = ParseBoundedJson(text);
  if (!row || !row->is_object() || !row->contains("losses") || !(*row)["losses"].is_array()) {
    return losses;
  }
  // The estimate of the store's clock may be behind; the times between the losses must not change.
  for (const nlohmann::json& entry : (*row)["losses"]) {
    if (entry.is_object() && entry.contains("clock_ms") && entry["clock_ms"].is_number_integer()) {
      clock_ms = std::max(clock_ms, entry["clock_ms"].get<std::int64_t>());
    }
  }
  for (const nlohmann::json& entry : (*row)["losses"]) {
    const auto is_integer = [&entry](const char* name) {
      return entry.contains(name) && entry[name].is_number_integer();
    };
    if (losses.size() >= core::kMaxLosses || !entry.is_object() || !is_integer("upstream") ||
        !is_integer("content") || !is_integer("clock_ms") || !entry.contains("parts") ||
        !entry["parts"].is_array()) {
      return {};
    }
    const std::int64_t at_ms = entry["clock_ms"].get<std::int64_t>();
    if (at_ms < 0) {
      return {};
    }
    const Milliseconds age(clock_ms - at_ms);
    if (age >= core::kLossLifetime) {
      continue;
    }
    core::StartLoss& loss = losses.emplace_back();
    loss.at = now - age;
    loss.upstream = entry["upstream"].get<std::int64_t>();
    loss.causes.content = entry["content"].get<core::Cause>();
    // Rows of earlier versions have no run time.
    loss.run_time = Milliseconds(
        is_integer("run_ms") ? std::max<std::int64_t>(0, entry["run_ms"].get<std::int64_t>()) : 0);
    for (const nlohmann::json& part : entry["parts"]) {
      if (!part.is_number_integer()) {
        return {};
      }
      loss.causes.parts.push_back(part.get<core::Cause>());
    }
  }
  return losses;
}

std::string KeyOf(core::Cause cause) { return fmt::format("{:016x}", cause); }

}  // namespace

CrashRecords::CrashRecords(GatewayState& state, std::unique_ptr<store::AsyncTable> table,
                           std::string table_name)
    : state_(state), table_(std::move(table)), table_name_(std::move(table_name)) {}

void CrashRecords::Tick(bool is_first) {
  const TimePoint now = state_.clock.now();
  // Rows that another gateway has written are unknown to the one that takes over.
  if (is_first && !std::exchange(was_first_, is_first)) {
    has_read_ = false;
  }
  was_first_ = is_first;
  if (is_stopped_ || is_busy_ || now < next_call_) {
    return;
  }
  if (!has_read_) {
    Read();
  } else if (is_first) {
    WriteNext(now);
  }
}

void CrashRecords::Stop() {
  is_stopped_ = true;
  table_->Cancel();
}

void CrashRecords::Read() {
  is_busy_ = true;
  table_->ReadAll(table_name_, [this](const Result<store::TableRows>& rows) {
    RecordResult(rows.has_value(), "read", rows ? "" : rows.error().message);
    if (rows) {
      has_read_ = true;
      OnRows(rows.value());
    }
  });
}

void CrashRecords::OnRows(const store::TableRows& rows) {
  const TimePoint now = state_.clock.now();
  core::ObserveStoreClock(store_clock_, rows.clock_ms, now);
  outdated_.clear();
  for (const store::TableRow& row : rows.rows) {
    const std::vector<core::StartLoss> losses = DecodeLosses(row.value, rows.clock_ms, now);
    if (losses.empty()) {
      outdated_.push_back(row.key);
      continue;
    }
    core::Cause cause = 0;
    std::from_chars(row.key.data(), row.key.data() + row.key.size(), cause, 16);
    core::RecordPeerBlock(state_.crash_causes, cause);
    TimePoint& newest = written_.try_emplace(cause, TimePoint::min()).first->second;
    for (const core::StartLoss& loss : losses) {
      newest = std::max(newest, loss.at);
      core::RecordLoss(state_.crash_causes, loss, now);
    }
  }
  state_.dispatcher.WakeAll();
}

void CrashRecords::WriteNext(TimePoint now) {
  core::UpdateBlocked(state_.crash_causes, now);
  const auto lifted = std::find_if(written_.begin(), written_.end(), [this](const auto& entry) {
    return !state_.crash_causes.blocked.contains(entry.first);
  });
  if (lifted != written_.end()) {
    outdated_.push_back(KeyOf(lifted->first));
    written_.erase(lifted);
  }
  const auto on_done = [this](const Result<void>& done) {
    RecordResult(done.has_value(), "written", done ? "" : done.error().message);
  };
  if (!outdated_.empty()) {
    is_busy_ = true;
    table_->Remove(table_name_, outdated_.back(), on_done);
    outdated_.pop_back();
    return;
  }
  for (const auto& [cause, block] : state_.crash_causes.blocked) {
    const std::vector<core::StartLoss> losses = core::EvidenceOf(state_.crash_causes, cause, now);
    const bool is_settled = now - block.since >= kSettleTime &&
                            (block.is_content || core::HasContrast(state_.crash_causes, cause));
    if (!is_settled || losses.empty() || !store_clock_.offset_ms) {
      continue;
    }
    const TimePoint newest = losses.back().at;
    const auto written = written_.find(cause);
    if (written != written_.end() && newest - written->second < kRenewalTime) {
      continue;
    }
    is_busy_ = true;
    table_->Write(table_name_, KeyOf(cause), EncodeLosses(losses, *store_clock_.offset_ms),
                  [this, on_done, cause = cause, newest](const Result<void>& done) {
                    if (done) {
                      written_[cause] = newest;
                    }
                    on_done(done);
                  });
    return;
  }
}

void CrashRecords::RecordResult(bool has_succeeded, const char* what, const std::string& error) {
  is_busy_ = false;
  next_call_ = state_.clock.now() + (has_succeeded ? Duration::zero() : kRetryInterval);
  if (!has_succeeded && !std::exchange(is_failing_, true)) {
    Log(LogLevel::kWarning, "crash_records_unavailable", {{"not", what}, {"error", error}});
  }
  is_failing_ = !has_succeeded;
}

}  // namespace rattanramp::gateway
