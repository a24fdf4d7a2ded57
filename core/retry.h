// Whether, where and when a request is tried again after a failed attempt.
#pragma once

#include <cstdint>

#include "base/clock.h"

namespace rattanramp::core {

/// What is known about the execution of a request or attempt.
enum class Outcome { kNotRun, kRan, kUnknown };

/// Why an attempt failed.
enum class FailureKind {
  /// No memory, queue full or no engine with room.
  kOverloaded,
  /// The upstream is leaving, starting, down or not linked.
  kUnavailable,
  /// The attempt can never succeed: malformed, key reused or expired, past its deadline.
  kRejected,
  /// The platform's table is needed and cannot be reached.
  kStoreUnavailable,
  /// Another agent owns the idempotency key.
  kOwnedElsewhere,
  /// Another request under suspicion runs at that upstream.
  kQuarantined,
  kCrashed,
  /// The KV cache is gone or its transfer stalled.
  kTransfer,
  /// Link, agent or lease lost while the attempt was open.
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
  /// Any upstream but those that failed this request.
  kOtherUpstream,
  /// Any upstream, the same one included.
  kAnyUpstream,
  /// The agent that the refusal names.
  kNamedOwner,
};

/// Where a request may be tried again. A request that is not repeatable is tried again only when
/// the failed attempt certainly did not run.
RetryTarget ChooseRetryTarget(const FailedAttempt& failure);

/// Refill of a budget: a share of the requests plus a fixed rate.
struct RetryBudgetLimits {
  /// Retries per 100 requests.
  double percent = 10.0;
  double min_per_second = 1.0;
};

/// Largest number of retries that a budget saves up, in seconds of min_per_second, and the share of
/// the requests that it remembers. Bounds the burst of retries after a quiet time.
inline constexpr double kBudgetSeconds = 10.0;
inline constexpr double kMaxEarnedRetries = 100.0;

/// Token bucket; one token is one retry. Starts with one second of the fixed rate.
struct RetryBudget {
  double earned = 0;
  double fixed = 0;
  bool started = false;
  TimePoint refilled;
};

/// Adds the share of one new request.
void CountRequest(RetryBudget& budget, const RetryBudgetLimits& limits);

/// Takes one retry from the budget. Returns false when it is spent.
bool TakeRetry(RetryBudget& budget, const RetryBudgetLimits& limits, TimePoint now);

struct BackOff {
  double base_ms = 10.0;
  double max_ms = 1'000.0;
};

/// Wait before retry number `retry` (1 for the first): uniform between half and all of
/// base x 2^(retry-1), at most max_ms. The same seed and number give the same wait.
double BackOffMs(const BackOff& back_off, std::int32_t retry, std::uint64_t seed);

}  // namespace rattanramp::core
