#include "core/config_freshness.h"

#include <algorithm>

namespace rattanramp::core {
namespace {

// Part of the limit that is left unused: the caller's and this process's clocks may differ in rate,
// and reading a request takes time only in the safe direction.
constexpr Milliseconds kMargin{100};
constexpr std::int64_t kMinLimitsPerMargin = 10;

// The store's clock is cut to whole ms.
constexpr Milliseconds kClockStep{1};

// Largest clock of the store that is used: 30 years. Differences of clocks stay within a Duration.
constexpr std::int64_t kMaxClockMs = 1'000'000'000'000;

// Share of the limit from which on a key that is not known is not refused for good.
constexpr std::int64_t kUncertainDivisor = 2;

void Confirm(ConfigFreshness& freshness, TimePoint at) {
  freshness.shown_at = std::max(freshness.shown_at.value_or(at), at);
}

/// Keeps the newer of two pieces of evidence for the peers.
void KeepNewest(ConfigFreshness& freshness, const ConfigEvidence& evidence) {
  ConfigEvidence& newest = freshness.newest;
  if (evidence.row > newest.row) {
    newest = evidence;
  } else if (evidence.row == newest.row) {
    newest.clock_ms = std::max(newest.clock_ms, evidence.clock_ms);
  }
}

}  // namespace

void ObserveReply(StoreClockBound& bound, std::int64_t clock_ms, TimePoint sent, TimePoint now) {
  if (clock_ms <= 0) {
    return;
  }
  const TimePoint earliest = sent - kClockStep;
  const std::optional<TimePoint> known = EarliestOwnTimeOf(bound, clock_ms);
  if (!known || earliest >= *known || *known > now) {
    bound = {earliest, clock_ms};
  }
}

std::optional<TimePoint> EarliestOwnTimeOf(const StoreClockBound& bound, std::int64_t clock_ms) {
  if (!bound.sent || clock_ms <= 0) {
    return std::nullopt;
  }
  const double difference_ms = static_cast<double>(clock_ms - bound.clock_ms);
  const double shrunk_ms =
      difference_ms > 0 ? difference_ms * (1 - kMaxDrift) : difference_ms * (1 + kMaxDrift);
  return *bound.sent +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(shrunk_ms));
}

void RecordOwnEvidence(ConfigFreshness& freshness, const ConfigEvidence& evidence, TimePoint sent,
                       TimePoint now) {
  ObserveReply(freshness.clock, evidence.clock_ms, sent, now);
  KeepNewest(freshness, evidence);
  if (evidence.row != freshness.own_row) {
    return;
  }
  Confirm(freshness, sent);
  const std::optional<TimePoint> shown = EarliestOwnTimeOf(freshness.clock, evidence.clock_ms);
  if (shown && *shown <= now) {
    Confirm(freshness, *shown);
  }
}

void RecordPeerEvidence(ConfigFreshness& freshness, const ConfigEvidence& evidence, TimePoint now) {
  const std::optional<TimePoint> shown = EarliestOwnTimeOf(freshness.clock, evidence.clock_ms);
  if (evidence.row.version <= 0 || evidence.clock_ms <= 0 || evidence.clock_ms > kMaxClockMs ||
      (shown && *shown > now)) {
    return;
  }
  KeepNewest(freshness, evidence);
  if (shown && evidence.row == freshness.own_row) {
    Confirm(freshness, *shown);
  }
}

void RecordRowInForce(ConfigFreshness& freshness, const StorePosition& row, TimePoint now) {
  if (row == freshness.own_row) {
    return;
  }
  freshness.own_row = row;
  freshness.shown_at.reset();
  if (freshness.newest.row == row) {
    const std::optional<TimePoint> shown =
        EarliestOwnTimeOf(freshness.clock, freshness.newest.clock_ms);
    if (shown && *shown <= now) {
      freshness.shown_at = shown;
    }
  }
}

bool IsFresh(const ConfigFreshness& freshness, TimePoint arrived, Duration limit) {
  const Duration margin = std::min<Duration>(kMargin, limit / kMinLimitsPerMargin);
  return freshness.shown_at && arrived <= *freshness.shown_at + limit - margin;
}

CallerVerdict JudgeCaller(CallerKind kind, const ConfigFreshness& freshness, TimePoint arrived,
                          std::optional<Duration> limit) {
  if (kind == CallerKind::kOpen) {
    return CallerVerdict::kRun;
  }
  if (kind == CallerKind::kKnown) {
    return !limit || IsFresh(freshness, arrived, *limit) ? CallerVerdict::kRun
                                                         : CallerVerdict::kUncertain;
  }
  // A refusal for good is not repeated by the caller, so it needs fresher evidence.
  if (limit && (freshness.newest.row > freshness.own_row ||
                !IsFresh(freshness, arrived, *limit / kUncertainDivisor))) {
    return CallerVerdict::kUncertain;
  }
  return kind == CallerKind::kMissing ? CallerVerdict::kNoKey : CallerVerdict::kUnknownKey;
}

}  // namespace rattanramp::core
