#include "agent/epoch.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/clock.h"
#include "base/log.h"

namespace rattanramp::agent {
namespace {

using nlohmann::json;

constexpr Milliseconds kRetryDelay{1000};
constexpr Milliseconds kStopPollInterval{50};

/// Contents of an epoch row: the epoch and the incarnation of the agent that acquired it.
struct EpochRow {
  std::int64_t epoch = 0;
  std::int64_t incarnation = 0;
};

EpochRow ParseRow(const std::string& value) {
  const json parsed = json::parse(value, nullptr, false);
  EpochRow row;
  if (parsed.is_object()) {
    row.epoch = parsed.value("epoch", std::int64_t{0});
    row.incarnation = parsed.value("incarnation", std::int64_t{0});
  }
  return row;
}

}  // namespace

Result<std::int64_t> AcquireEpoch(store::PlatformStore& store, const std::string& agent_id,
                                  std::int64_t incarnation) {
  const std::string key = "agents/" + agent_id + "/epoch";
  BOOST_OUTCOME_TRY(row, store.Read(key));
  const EpochRow current = row ? ParseRow(row->value) : EpochRow{};
  if (row && current.incarnation == incarnation) {
    return current.epoch;
  }
  const std::int64_t epoch = current.epoch + 1;
  store::Transaction transaction;
  transaction.conditions.push_back({key, row ? row->version : 0});
  transaction.writes.push_back({key, json{{"epoch", epoch}, {"incarnation", incarnation}}.dump()});
  const Result<store::CommitResult> result = store.Commit(transaction);
  if (!result) {
    if (result.error().kind != ErrorKind::kReplyLost) {
      return result.error();
    }
    BOOST_OUTCOME_TRY(written, store.Read(key));
    if (written && ParseRow(written->value).incarnation == incarnation) {
      return ParseRow(written->value).epoch;
    }
    return result.error();
  }
  if (!result.value().committed) {
    return Error{ErrorKind::kConflict, "another process acquired epoch " + std::to_string(epoch),
                 "none; the agent retries"};
  }
  return epoch;
}

EpochAcquirer::EpochAcquirer(store::PlatformStore& store, std::string agent_id,
                             std::int64_t incarnation, std::function<void(std::int64_t)> on_epoch)
    : store_(store),
      agent_id_(std::move(agent_id)),
      incarnation_(incarnation),
      on_epoch_(std::move(on_epoch)),
      thread_([this] { RunLoop(); }) {}

EpochAcquirer::~EpochAcquirer() {
  stopping_.store(true);
  thread_.join();
}

void EpochAcquirer::RunLoop() {
  bool reported = false;
  while (!stopping_.load()) {
    const Result<std::int64_t> epoch = AcquireEpoch(store_, agent_id_, incarnation_);
    if (epoch) {
      Log(LogLevel::kInfo, "epoch_taken", {{"epoch", epoch.value()}});
      // Orders are sent as soon as the epoch is visible, and need the token that on_epoch_ sets.
      on_epoch_(epoch.value());
      epoch_.store(epoch.value());
      return;
    }
    if (!reported) {
      Log(LogLevel::kWarning, "epoch_unknown", {{"message", epoch.error().message}});
      reported = true;
    }
    for (Milliseconds waited{0}; waited < kRetryDelay && !stopping_.load();
         waited += kStopPollInterval) {
      std::this_thread::sleep_for(kStopPollInterval);
    }
  }
}

}  // namespace rattanramp::agent
