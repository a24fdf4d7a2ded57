// Which upstreams to avoid, judged by their own answers. A health endpoint is not asked: it costs a
// slot and may lie.
#pragma once

#include <cstdint>

#include "base/clock.h"

namespace rattanramp::core {

enum class AnswerResult {
  kSuccess,
  /// A failure that a sound upstream gives too: an application error, a refusal under load.
  kErrorAnswer,
  /// Not reachable, reset, silent or garbage.
  kNoAnswer,
};

struct UpstreamHealth {
  /// Bad answers since the last good one.
  std::int64_t consecutive_failures = 0;
  TimePoint back_off_until;
  /// Share of answers that were not good, 0 to 1, with exponential decay.
  double failure_share = 0;
};

/// First pause after a bad answer; it doubles with each further one. Servers restart within some
/// seconds (users' pages), so a short pause finds them soon.
inline constexpr Duration kInitialBackOff = Milliseconds(400);
inline constexpr Duration kMaxBackOff = Milliseconds(3'200);

/// Weight of the newest answer in failure_share: about the last ten answers count.
inline constexpr double kFailureShareWeight = 0.1;

void RecordAnswer(UpstreamHealth& health, AnswerResult result, TimePoint now);

/// In a pause after bad answers.
bool IsBackingOff(const UpstreamHealth& health, TimePoint now);

/// After a pause one request at a time tries the upstream until an answer is good.
bool IsOnProbation(const UpstreamHealth& health);

}  // namespace rattanramp::core
