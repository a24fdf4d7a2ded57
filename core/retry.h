// Decides whether, where and when a request is retried after a failed attempt.
#pragma once

#include <cstdint>

#include "base/clock.h"

namespace rattanramp::core {

/// What is known about the execution of a request or attempt.
enum class Outcome { kNotRun, kRan, kUnknown };

/// Why an attempt failed.
enum class FailureKind {
  /// Not enough memory, queue full or no engine with free capacity.
  kOverloaded,
  /// The upstream is leaving, starting, down or not linked.
  kUnavailable,
  /// The attempt can never succeed: malformed, key reused or expired, past its deadline.
  kRejected,
  /// The platform's table is needed and cannot be reached.
  kStoreUnavailable,
  /// Another agent owns the idempotency key.
  kOwnedElsewhere,
  /// Another request that is suspected of crashing upstreams runs at that upstream.
  kQuarantined,
  kCrashed,
  /// The KV cache no longer exists or its transfer stalled.
  kTransfer,
  /// The link, the agent or the lease was lost while the attempt was open.
  kLost,
  /// The upstream answered with an error or with an incomplete stream.
  kUpstreamError,
};

struct FailedAttempt {
  FailureKind kind = FailureKind::kLost;
  Outcome outcome = Outcome::kUnknown;
  /// The request may run more than once.
  bool repeatable = true;
  /// Only one agent may run the request (issued idempotency key).
  bool pinned = false;
  std::int32_t crash_count = 0;
  std::int32_t crash_limit = 2;
};

enum class RetryTarget {
  kNoRetry,
  /// Any upstream except those that failed this request.
  kOtherUpstream,
  /// Any upstream, the same one included.
  kAnyUpstream,
  /// The agent that the refusal names.
  kNamedOwner,
};

/// Determines where a request may be retried. A request that is not repeatable is retried only if
/// the failed attempt certainly did not run.
RetryTarget ChooseRetryTarget(const FailedAttempt& failure);

/// Refill rate of a retry budget: a percentage of the requests plus a fixed rate.
struct RetryBudgetLimits {
  /// Retries per 100 requests.
  double percent = 10.0;
  double min_per_second = 1.0;
};

/// Maximum number of retries that a budget accumulates: from the fixed rate, in seconds of
/// min_per_second, and from the percentage of requests, in retries. Both bound the burst of retries
/// after a period without failures.
inline constexpr double kBudgetSeconds = 10.0;
inline constexpr double kMaxEarnedRetries = 100.0;

/// Token bucket; one token is one retry. Starts with one second of the fixed rate.
struct RetryBudget {
  double earned = 0;
  double fixed = 0;
  bool started = false;
  TimePoint refilled;
};

/// Adds the retries that one new request earns.
void CountRequest(RetryBudget& budget, const RetryBudgetLimits& limits);

/// Takes one retry from the budget. Returns false when the budget is exhausted.
bool TakeRetry(RetryBudget& budget, const RetryBudgetLimits& limits, TimePoint now);

struct BackOff {
  double base_ms = 10.0;
  double max_ms = 1'000.0;
};

/// Wait before retry number `retry` (1 for the first). The upper bound is base x 2^(retry-1), at
/// most max_ms; the wait is uniformly distributed between half the bound and the bound. The same
/// seed and number give the same wait.
double BackOffMs(const BackOff& back_off, std::int32_t retry, std::uint64_t seed);

}  // namespace rattanramp::core
