// Determines which upstreams to avoid, from the results of requests. Health endpoints are not
// polled: a poll occupies a slot, and its result may be wrong.
#pragma once

#include <cstdint>

#include "base/clock.h"

namespace rattanramp::core {

enum class AnswerResult {
  kSuccess,
  /// A failure that a healthy upstream returns too: an application error, a refusal under load.
  kErrorAnswer,
  /// The connection was lost after the request had been sent. Sound upstreams lose single
  /// connections; only the second loss in a row counts as kNoAnswer.
  kLost,
  /// The upstream was unreachable, timed out or sent an invalid answer.
  kNoAnswer,
};

struct UpstreamHealth {
  /// Number of kNoAnswer results since the last other result.
  std::int64_t consecutive_failures = 0;
  /// Number of kLost results since the last other result.
  std::int64_t consecutive_losses = 0;
  TimePoint back_off_until;
  /// Share of results other than kSuccess, 0 to 1, as an exponential moving average.
  double failure_share = 0;
};

/// Back-off time after the first kNoAnswer result; it doubles with each further one, up to
/// kMaxBackOff. Servers restart within some seconds (users' documentation), so a short back-off
/// detects a restarted server soon.
inline constexpr Duration kInitialBackOff = Milliseconds(400);
inline constexpr Duration kMaxBackOff = Milliseconds(3'200);

/// Weight of the newest result in failure_share: about the last ten results count.
inline constexpr double kFailureShareWeight = 0.1;

void RecordAnswer(UpstreamHealth& health, AnswerResult result, TimePoint now);

/// Returns whether the upstream is in the back-off time after a kNoAnswer result.
bool IsBackingOff(const UpstreamHealth& health, TimePoint now);

/// Returns whether the upstream may receive only one request at a time, which applies after a
/// back-off until the upstream answers again.
bool IsOnProbation(const UpstreamHealth& health);

}  // namespace rattanramp::core
