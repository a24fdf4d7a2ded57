#include "core/queue_prospect.h"

#include <algorithm>
#include <cmath>

namespace rattanramp::core {
namespace {

// Smallest share of the starts that counts as room for late requests: less is noise of the rates.
constexpr double kMinRoomForLate = 0.1;

// Starts a second below which the rates say nothing, for example while no upstream is there.
constexpr double kMinStartsPerSecond = 1.0;

// Range over which returns are spread, below the longest wait.
constexpr double kReturnSpread = 0.25;

// Smallest time that a first attempt states, as a share of the longest. The users' callers state
// 85% of their patience or more at first.
constexpr double kFirstAttemptShare = 0.85;

// By which the longest stated time falls with each request, so that about the last thousand count.
constexpr double kPatienceFade = 0.999;

/// Share of the earlier rates that still counts.
double Kept(const QueueFlow& flow, TimePoint now) {
  return std::exp(-ToMs(std::max(Duration(0), now - flow.recorded)) / ToMs(kFlowTime));
}

void Fade(QueueFlow& flow, TimePoint now) {
  const double kept = Kept(flow, now);
  flow.arrivals_per_s *= kept;
  flow.starts_per_s *= kept;
  flow.recorded = now;
}

// A request adds one to the count of the flow time.
constexpr double kRateOfOne = 1'000.0;

}  // namespace

void RecordArrival(QueueFlow& flow, TimePoint now) {
  Fade(flow, now);
  flow.arrivals_per_s += kRateOfOne / ToMs(kFlowTime);
}

void RecordStart(QueueFlow& flow, TimePoint now) {
  Fade(flow, now);
  flow.starts_per_s += kRateOfOne / ToMs(kFlowTime);
}

std::optional<Duration> ExpectedLateWait(const QueueFlow& flow, const QueueAhead& ahead,
                                         TimePoint now) {
  if (ahead.on_time + ahead.late == 0) {
    return Duration(0);
  }
  const double kept = Kept(flow, now);
  const double starts = kept * flow.starts_per_s;
  const double room = starts - kept * flow.arrivals_per_s;
  if (starts < kMinStartsPerSecond) {
    return Duration(0);
  }
  if (room <= kMinRoomForLate * starts) {
    return std::nullopt;
  }
  const double seconds = static_cast<double>(ahead.on_time + ahead.late) / room;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool IsLateGenerationHopeless(const WaitingTokens& waiting, double expected_wait_ms,
                              Duration planned) {
  return waiting.on_time > 0 && expected_wait_ms > ToMs(planned);
}

Milliseconds RetryAfterBurst(Duration left, double random_fraction) {
  const double longest_ms = kMaxReturnShare * std::max(0.0, ToMs(left));
  return Milliseconds(
      static_cast<std::int64_t>(longest_ms * (1 - kReturnSpread * random_fraction)));
}

bool RecordPatience(StatedPatience& patience, double stated_ms) {
  patience.longest_ms = std::max(stated_ms, kPatienceFade * patience.longest_ms);
  return stated_ms < kFirstAttemptShare * patience.longest_ms;
}

}  // namespace rattanramp::core
