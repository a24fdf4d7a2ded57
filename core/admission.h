// Admission control: decides whether a request is dispatched, queued or refused before any engine
// works on it.
#pragma once

#include <cstdint>

#include "base/clock.h"
#include "core/route.h"

namespace rattanramp::core {

struct AdmissionRequest {
  bool patient = false;
  TimePoint arrived;
  double first_output_target_ms = 0;
  /// Hash of the request; varies retry_after_ms between refused requests.
  std::uint64_t seed = 0;
};

struct AdmissionEstimates {
  /// True if ChooseRoute returned a route, that is, if engines have free memory for the request.
  bool has_free_memory = false;
  /// Estimated time to the first token on that route. Without a route: the estimate for an engine
  /// that has just become free.
  double first_token_ms = 0;
  /// Expected wait until enough engine memory is free; see MemoryWaitMs.
  double memory_wait_ms = 0;
  /// Number of requests queued at this entry for the same engines.
  std::int32_t waiting = 0;
  /// Fraction of the engines' memory in use, 0 to 1.
  double load = 0;
  /// The customer's fraction of the work in flight, and the fraction that corresponds to its
  /// weight; see ShareLedger.
  double customer_share = 0;
  double fair_share = 1;
};

struct AdmissionLimits {
  /// Load at and above which customers are limited to their fair share while requests are queued.
  double overload = 0.9;
  /// A customer may exceed its fair share by this factor.
  double share_tolerance = 1.1;
  /// Maximum number of requests queued at one entry; bounds the entry's memory use.
  std::int32_t max_waiting = 10'000;
  double min_retry_after_ms = 50;
  double max_retry_after_ms = 30'000;
  /// Retry-after is extended by up to this fraction, so that refused callers do not all retry at
  /// the same time.
  double retry_spread = 0.25;
};

enum class AdmissionAction { kAdmit, kWait, kRefuse };

enum class AdmissionReason {
  kNone,
  /// The first-output target cannot be met and the caller is impatient.
  kTooLate,
  /// The engines are overloaded, requests are queued, and the customer is above its fair share.
  kOverShare,
  kQueueFull,
};

struct AdmissionDecision {
  AdmissionAction action = AdmissionAction::kAdmit;
  AdmissionReason reason = AdmissionReason::kNone;
  /// Estimated time until the backlog is short enough to admit the request; zero unless refused.
  double retry_after_ms = 0;
};

/// Decides on one request. Patient requests are never refused for lateness or for their customer's
/// share: they are queued, and refused only if the queue is full. A request that is not refused is
/// queued if others are queued already, so that it cannot overtake them; FairQueue determines the
/// order of service.
AdmissionDecision AdmitRequest(const AdmissionRequest& request, const AdmissionEstimates& estimates,
                               const AdmissionLimits& limits, TimePoint now);

/// Expected wait until memory is free for `ahead` requests and then for this one, estimated from
/// the rate at which the model's running requests complete. Infinite when no request is running
/// whose completion would free memory.
double MemoryWaitMs(const RouteRequest& request, const FleetView& fleet, std::int32_t ahead);

}  // namespace rattanramp::core
