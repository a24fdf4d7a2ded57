#include "core/retry.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <initializer_list>

using namespace rattanramp;
using core::FailureKind;
using core::Outcome;
using core::RetryTarget;

namespace {

constexpr std::initializer_list<FailureKind> kAllKinds = {
    FailureKind::kOverloaded,       FailureKind::kUnavailable,    FailureKind::kRejected,
    FailureKind::kStoreUnavailable, FailureKind::kOwnedElsewhere, FailureKind::kQuarantined,
    FailureKind::kCrashed,          FailureKind::kTransfer,       FailureKind::kLost,
    FailureKind::kUpstreamError};

}  // namespace

// Guards against retry storms. Retries must stay within the percentage of the requests plus the
// fixed rate, for any order and timing of requests and failures.
Test(retry, budget_bounds_retries) {
  const bool ok = rc::check("budget bounds retries", [] {
    const core::RetryBudgetLimits limits{static_cast<double>(*rc::gen::inRange(0, 101)),
                                         static_cast<double>(*rc::gen::inRange(0, 6))};
    core::RetryBudget budget;
    const TimePoint start{};
    TimePoint now = start;
    double requests = 0;
    double retries = 0;
    const int steps = *rc::gen::inRange(0, 300);
    for (int i = 0; i < steps; ++i) {
      now += Milliseconds(*rc::gen::inRange(0, 200));
      if (*rc::gen::inRange(0, 3) == 0) {
        core::CountRequest(budget, limits);
        ++requests;
      } else if (core::TakeRetry(budget, limits, now)) {
        ++retries;
      }
      const double seconds = std::chrono::duration<double>(now - start).count();
      const double bound = requests * limits.percent / 100 + limits.min_per_second * (1 + seconds);
      RC_ASSERT(retries <= bound + 1e-6);
    }
  });
  cr_assert(ok);
}

// Guards against a budget that accumulates an unbounded burst of retries during a period without
// failures, and against one that never refills.
Test(retry, budget_refills_up_to_its_limit) {
  const core::RetryBudgetLimits limits{0, 2};
  core::RetryBudget budget;
  TimePoint now{};
  cr_assert(core::TakeRetry(budget, limits, now));
  cr_assert(core::TakeRetry(budget, limits, now));
  cr_assert(!core::TakeRetry(budget, limits, now));
  now += std::chrono::hours(1);
  int taken = 0;
  while (core::TakeRetry(budget, limits, now)) {
    ++taken;
  }
  cr_assert_eq(taken, static_cast<int>(2 * core::kBudgetSeconds));
}

// Guards against a second run of a request that must run at most once. This occurs when such a
// request is retried although the failed attempt ran or may have run.
Test(retry, non_repeatable_requests_are_retried_only_if_not_run) {
  for (const FailureKind kind : kAllKinds) {
    for (const Outcome outcome : {Outcome::kRan, Outcome::kUnknown}) {
      const core::FailedAttempt failure{kind, outcome, false, false, 0, 2};
      cr_assert(core::ChooseRetryTarget(failure) == RetryTarget::kNoRetry);
    }
    // A request whose key names its agent must not be retried at another agent.
    const core::FailedAttempt pinned{kind, Outcome::kNotRun, false, true, 0, 2};
    cr_assert(core::ChooseRetryTarget(pinned) != RetryTarget::kOtherUpstream);
    cr_assert(core::ChooseRetryTarget(pinned) != RetryTarget::kAnyUpstream);
  }
  const core::FailedAttempt refused{
      FailureKind::kUnavailable, Outcome::kNotRun, false, false, 0, 2};
  cr_assert(core::ChooseRetryTarget(refused) == RetryTarget::kOtherUpstream);
}

// Guards against retrying a request that crashes every upstream, and against aborting a request
// after a single crash.
Test(retry, crash_limit_ends_the_retries) {
  core::FailedAttempt failure{FailureKind::kCrashed, Outcome::kRan, true, false, 1, 2};
  cr_assert(core::ChooseRetryTarget(failure) == RetryTarget::kOtherUpstream);
  failure.crash_count = 2;
  cr_assert(core::ChooseRetryTarget(failure) == RetryTarget::kNoRetry);
}

// Guards against waits outside the documented range of BackOffMs, whose spread prevents
// synchronised retries, and against waits that differ for the same seed and retry number.
Test(retry, back_off_stays_in_its_range) {
  const bool ok = rc::check("back-off stays in its range", [] {
    const core::BackOff back_off{10, 1000};
    const std::int32_t retry = *rc::gen::inRange(1, 100);
    const std::uint64_t seed = *rc::gen::arbitrary<std::uint64_t>();
    const double wait = core::BackOffMs(back_off, retry, seed);
    const double ceiling = retry > 7 ? 1000 : std::min(1000.0, 10.0 * (1 << (retry - 1)));
    RC_ASSERT(wait >= ceiling / 2);
    RC_ASSERT(wait <= ceiling);
    RC_ASSERT(wait == core::BackOffMs(back_off, retry, seed));
  });
  cr_assert(ok);
}
