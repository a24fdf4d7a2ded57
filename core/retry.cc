#include "core/retry.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace rattanramp::core {
namespace {

constexpr double kPercent = 100.0;
constexpr std::int32_t kMaxDoublings = 30;

RetryTarget TargetForSingleRun(const FailedAttempt& failure) {
  if (failure.outcome != Outcome::kNotRun) {
    return RetryTarget::kNoRetry;
  }
  if (failure.kind == FailureKind::kOwnedElsewhere) {
    return RetryTarget::kNamedOwner;
  }
  const bool other_may_accept =
      failure.kind == FailureKind::kOverloaded || failure.kind == FailureKind::kUnavailable;
  return other_may_accept && !failure.pinned ? RetryTarget::kOtherUpstream : RetryTarget::kNoRetry;
}

}  // namespace

RetryTarget ChooseRetryTarget(const FailedAttempt& failure) {
  if (!failure.repeatable) {
    return TargetForSingleRun(failure);
  }
  if (failure.crash_count >= failure.crash_limit) {
    return RetryTarget::kNoRetry;
  }
  switch (failure.kind) {
    case FailureKind::kRejected:
    case FailureKind::kStoreUnavailable:
      return RetryTarget::kNoRetry;
    case FailureKind::kOwnedElsewhere:
      return RetryTarget::kNamedOwner;
    case FailureKind::kTransfer:
      return RetryTarget::kAnyUpstream;
    case FailureKind::kOverloaded:
    case FailureKind::kUnavailable:
    case FailureKind::kQuarantined:
    case FailureKind::kCrashed:
    case FailureKind::kLost:
    case FailureKind::kUpstreamError:
      return RetryTarget::kOtherUpstream;
  }
  return RetryTarget::kNoRetry;
}

void CountRequest(RetryBudget& budget, const RetryBudgetLimits& limits) {
  budget.earned = std::min(budget.earned + limits.percent / kPercent, kMaxEarnedRetries);
}

bool TakeRetry(RetryBudget& budget, const RetryBudgetLimits& limits, TimePoint now) {
  if (!budget.started) {
    budget.started = true;
    budget.fixed = limits.min_per_second;
    budget.refilled = now;
  }
  const double seconds =
      std::max(0.0, std::chrono::duration<double>(now - budget.refilled).count());
  budget.fixed = std::min(budget.fixed + seconds * limits.min_per_second,
                          limits.min_per_second * kBudgetSeconds);
  budget.refilled = std::max(budget.refilled, now);
  if (budget.earned + budget.fixed < 1.0) {
    return false;
  }
  const double from_fixed = std::min(budget.fixed, 1.0);
  budget.fixed -= from_fixed;
  budget.earned -= 1.0 - from_fixed;
  return true;
}

double BackOffMs(const BackOff& back_off, std::int32_t retry, std::uint64_t seed) {
  const std::int32_t doublings = std::clamp(retry - 1, 0, kMaxDoublings);
  const double ceiling = std::min(back_off.base_ms * std::ldexp(1.0, doublings), back_off.max_ms);
  std::mt19937_64 random(seed + static_cast<std::uint64_t>(retry));
  std::uniform_real_distribution<double> spread(0.5, 1.0);
  return ceiling * spread(random);
}

}  // namespace rattanramp::core
