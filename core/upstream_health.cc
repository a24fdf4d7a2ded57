#include "core/upstream_health.h"

#include <algorithm>

namespace rattanramp::core {
namespace {

// Number of lost connections in a row that count as a missing answer.
constexpr std::int64_t kLossesForBackOff = 2;

}  // namespace

void RecordAnswer(UpstreamHealth& health, AnswerResult result, TimePoint now) {
  const double sample = result == AnswerResult::kSuccess ? 0.0 : 1.0;
  health.failure_share += kFailureShareWeight * (sample - health.failure_share);
  health.consecutive_losses = result == AnswerResult::kLost ? health.consecutive_losses + 1 : 0;
  if (result == AnswerResult::kLost && health.consecutive_losses < kLossesForBackOff) {
    return;
  }
  if (result != AnswerResult::kNoAnswer && result != AnswerResult::kLost) {
    health.consecutive_failures = 0;
    health.back_off_until = TimePoint();
    return;
  }
  ++health.consecutive_failures;
  const int doublings =
      static_cast<int>(std::min<std::int64_t>(health.consecutive_failures - 1, 8));
  const Duration pause = std::min(kMaxBackOff, kInitialBackOff * (1 << doublings));
  health.back_off_until = std::max(health.back_off_until, now + pause);
}

bool IsBackingOff(const UpstreamHealth& health, TimePoint now) {
  return now < health.back_off_until;
}

bool IsOnProbation(const UpstreamHealth& health) { return health.consecutive_failures > 0; }

}  // namespace rattanramp::core
