#include "core/upstream_health.h"

#include <algorithm>

namespace rattanramp::core {

void RecordAnswer(UpstreamHealth& health, AnswerVerdict verdict, TimePoint now) {
  const double sample = verdict == AnswerVerdict::kGood ? 0.0 : 1.0;
  health.poor_share += kPoorShareWeight * (sample - health.poor_share);
  if (verdict != AnswerVerdict::kBad) {
    health.bad_in_a_row = 0;
    health.avoid_until = TimePoint();
    return;
  }
  ++health.bad_in_a_row;
  const int doublings = static_cast<int>(std::min<std::int64_t>(health.bad_in_a_row - 1, 8));
  const Duration pause = std::min(kLongestPause, kFirstPause * (1 << doublings));
  health.avoid_until = std::max(health.avoid_until, now + pause);
}

bool IsAvoided(const UpstreamHealth& health, TimePoint now) { return now < health.avoid_until; }

bool IsOnTrial(const UpstreamHealth& health) { return health.bad_in_a_row > 0; }

}  // namespace rattanramp::core
