// Whether a request is served now, waits or is refused before any work is spent on it.
#pragma once

#include <cstdint>

#include "base/clock.h"
#include "core/route.h"

namespace rattanramp::core {

struct AdmissionRequest {
  bool patient = false;
  TimePoint arrived;
  double first_output_target_ms = 0;
  /// Spreads retries; the request's hash.
  std::uint64_t seed = 0;
};

struct AdmissionEstimates {
  /// ChooseRoute found a route.
  bool has_free_memory = false;
  /// First-token time of that route; without room, of a route on an engine that has just become
  /// free.
  double first_token_ms = 0;
  /// Expected wait until there is room; see MemoryWaitMs.
  double memory_wait_ms = 0;
  /// Requests that wait at this entry for the same engines.
  std::int32_t waiting = 0;
  /// Used share of the room of the engines, 0 to 1.
  double load = 0;
  /// The customer's share of the work in flight and the share that its weight entitles it to; see
  /// ShareLedger.
  double customer_share = 0;
  double fair_share = 1;
};

struct AdmissionLimits {
  /// Load from which customers are held to their fair share while others wait.
  double overload = 0.9;
  /// A customer may exceed its fair share by this factor.
  double share_tolerance = 1.1;
  /// Requests that may wait at one entry; bounds its memory.
  std::int32_t max_waiting = 10'000;
  double min_retry_after_ms = 50;
  double max_retry_after_ms = 30'000;
  /// Retry-after is lengthened by up to this share, so that refused callers do not return together.
  double retry_spread = 0.25;
};

enum class AdmissionAction { kAdmit, kWait, kRefuse };

enum class AdmissionReason {
  kNone,
  /// The first-output target cannot be met and the caller is impatient.
  kTooLate,
  /// Overload, requests wait, and the customer is above its fair share.
  kOverShare,
  kQueueFull,
};

struct AdmissionDecision {
  AdmissionAction action = AdmissionAction::kAdmit;
  AdmissionReason reason = AdmissionReason::kNone;
  /// Time after which the backlog will have drained enough; zero unless refused.
  double retry_after_ms = 0;
};

/// Patient requests are never refused for lateness or share: they wait, and are refused only when
/// they arrive at a full queue. Requests do not pass those that wait already; FairQueue gives the
/// order.
AdmissionDecision AdmitRequest(const AdmissionRequest& request, const AdmissionEstimates& estimates,
                               const AdmissionLimits& limits, TimePoint now);

/// Expected wait until `ahead` requests and this one have found room, from the rate at which the
/// running requests of the model end. Infinite when nothing runs that could make room.
double MemoryWaitMs(const RouteRequest& request, const FleetView& fleet, std::int32_t ahead);

}  // namespace rattanramp::core
