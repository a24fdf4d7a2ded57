#include "agent/call_store.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cctype>
#include <utility>

#include "base/log.h"

namespace rattanramp::agent {
namespace {

constexpr std::size_t kQueueCapacity = 8192;
constexpr std::size_t kMaxGroupSize = 128;
constexpr Milliseconds kIdlePollInterval{100};
constexpr Milliseconds kResultRetryDelay{500};
/// Maximum number of results kept in memory while the platform is unavailable. Beyond it the oldest
/// are dropped, and the outcomes of their calls become unknown when this incarnation ends.
constexpr std::size_t kMaxPendingResults = 20'000;
/// Number of reads of the row after a lost reply before the claim is reported as uncertain.
constexpr int kMaxReadBacks = 4;
constexpr Milliseconds kReadBackDelay{100};

}  // namespace

std::string CallRowKey(std::string_view name) {
  std::string key = "calls/";
  for (const char character : name) {
    const unsigned char byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || character == '-' || character == '/') {
      key.push_back(character);
      continue;
    }
    key += fmt::format("_{:02X}", byte);
  }
  return key;
}

CallStore::CallStore(store::PlatformStore& store, const Clock& clock, ClaimCallback on_claim)
    : store_(store),
      clock_(clock),
      on_claim_(std::move(on_claim)),
      queue_(kQueueCapacity),
      next_result_write_(clock.now()),
      thread_([this] { RunLoop(); }) {}

CallStore::~CallStore() {
  queue_.Close();
  thread_.join();
}

bool CallStore::Claim(const std::string& name, const core::IntentRecord& record) {
  return queue_.TryPush(Item{name, record, true});
}

void CallStore::RecordResult(const std::string& name, const core::IntentRecord& record) {
  pending_results_.fetch_add(1);
  if (!queue_.TryPush(Item{name, record, false})) {
    pending_results_.fetch_sub(1);
    Log(LogLevel::kWarning, "call_result_dropped", {{"call", name}});
  }
}

void CallStore::RunLoop() {
  while (true) {
    std::vector<Item> group = CollectGroup();
    const bool closing = queue_.closed() && group.empty();
    std::vector<Item> claims;
    for (Item& item : group) {
      if (item.is_claim) {
        claims.push_back(std::move(item));
      } else {
        results_.push_back(std::move(item));
      }
    }
    while (results_.size() > kMaxPendingResults) {
      Log(LogLevel::kWarning, "call_result_dropped", {{"call", results_.front().name}});
      results_.pop_front();
      pending_results_.fetch_sub(1);
    }
    if (!claims.empty()) {
      CommitGroup(std::move(claims));
    }
    if (!results_.empty() && (clock_.now() >= next_result_write_ || closing)) {
      const std::size_t count = std::min(results_.size(), kMaxGroupSize);
      const std::vector<Item> batch(results_.begin(),
                                    results_.begin() + static_cast<std::ptrdiff_t>(count));
      if (CommitResults(batch)) {
        results_.erase(results_.begin(), results_.begin() + static_cast<std::ptrdiff_t>(count));
        pending_results_.fetch_sub(count);
      } else if (closing) {
        return;
      } else {
        next_result_write_ = clock_.now() + kResultRetryDelay;
      }
    }
    if (closing && results_.empty()) {
      return;
    }
  }
}

std::vector<CallStore::Item> CallStore::CollectGroup() {
  std::vector<Item> group;
  std::optional<Item> item = queue_.Pop(results_.empty() ? kIdlePollInterval : Milliseconds(1));
  if (!item) {
    return group;
  }
  group.push_back(std::move(*item));
  const TimePoint end = clock_.now() + Milliseconds(group_ms_.load());
  while (group.size() < kMaxGroupSize) {
    const TimePoint now = clock_.now();
    if (now >= end) {
      break;
    }
    item = queue_.Pop(end - now);
    if (!item) {
      break;
    }
    group.push_back(std::move(*item));
  }
  return group;
}

void CallStore::CommitGroup(std::vector<Item> claims) {
  while (!claims.empty()) {
    store::Transaction transaction;
    for (const Item& claim : claims) {
      const std::string key = CallRowKey(claim.name);
      transaction.conditions.push_back({key, 0});
      transaction.writes.push_back({key, core::FormatIntent(claim.record)});
    }
    const Result<store::CommitResult> result = store_.Commit(transaction);
    if (!result) {
      const bool reply_lost = result.error().kind == ErrorKind::kReplyLost;
      for (const Item& claim : claims) {
        if (reply_lost) {
          ResolveLostReply(claim);
        } else {
          ReportClaim(claim, core::ClaimStatus::kUnavailable, std::nullopt);
        }
      }
      return;
    }
    if (result.value().committed) {
      for (const Item& claim : claims) {
        ReportClaim(claim, core::ClaimStatus::kOwned, std::nullopt);
      }
      return;
    }
    const std::string& conflict_key = result.value().conflict_key;
    const std::vector<Item>::iterator conflicting = std::find_if(
        claims.begin(), claims.end(),
        [&conflict_key](const Item& claim) { return CallRowKey(claim.name) == conflict_key; });
    if (conflicting == claims.end()) {
      for (const Item& claim : claims) {
        ReportClaim(claim, core::ClaimStatus::kUnavailable, std::nullopt);
      }
      return;
    }
    std::optional<store::Row> row = result.value().conflict_row;
    if (!row) {
      const Result<std::optional<store::Row>> read = store_.Read(conflict_key);
      if (read) {
        row = read.value();
      }
    }
    ReportClaim(*conflicting, core::ClaimStatus::kConflict, row);
    claims.erase(conflicting);
  }
}

bool CallStore::CommitResults(const std::vector<Item>& results) {
  store::Transaction transaction;
  for (const Item& item : results) {
    transaction.writes.push_back({CallRowKey(item.name), core::FormatIntent(item.record)});
  }
  // After a lost reply the same rows are written again. This is safe: the writes are idempotent.
  return store_.Commit(transaction).has_value();
}

void CallStore::ResolveLostReply(const Item& claim) {
  const std::string key = CallRowKey(claim.name);
  for (int attempt = 0; attempt < kMaxReadBacks; ++attempt) {
    const Result<std::optional<store::Row>> read = store_.Read(key);
    if (read && read.value()) {
      ReportClaim(claim, core::ClaimStatus::kConflict, read.value());
      return;
    }
    if (queue_.closed()) {
      break;
    }
    std::this_thread::sleep_for(kReadBackDelay);
  }
  // A missing row does not prove that the write failed: it may still be in progress.
  ReportClaim(claim, core::ClaimStatus::kUncertain, std::nullopt);
}

void CallStore::ReportClaim(const Item& claim, core::ClaimStatus status,
                            const std::optional<store::Row>& row) {
  core::ClaimReply reply;
  reply.status = status;
  if (row) {
    const Result<core::IntentRecord> record = core::ParseIntent(row->value);
    if (record) {
      reply.record = record.value();
    } else {
      Log(LogLevel::kError, "bad_intent_record", {{"row", row->key}});
    }
  }
  const bool own = reply.record && reply.record->agent == claim.record.agent &&
                   reply.record->incarnation == claim.record.incarnation &&
                   reply.record->attempt == claim.record.attempt;
  if (own) {
    reply.status = core::ClaimStatus::kOwned;
  }
  on_claim_(claim.name, claim.record.attempt, reply);
}

}  // namespace rattanramp::agent
