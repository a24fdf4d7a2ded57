#include "core/admission.h"

#include <algorithm>
#include <limits>

#include "base/hash.h"

namespace rattanramp::core {
namespace {

/// Uniform in [0, 1).
double SeededUnit(std::uint64_t seed) {
  return static_cast<double>(Hash64("retry_after", seed) >> 11) * 0x1.0p-53;
}

AdmissionDecision Refuse(AdmissionReason reason, double after_ms, const AdmissionRequest& request,
                         const AdmissionLimits& limits) {
  const double clamped = std::clamp(after_ms, limits.min_retry_after_ms, limits.max_retry_after_ms);
  return {AdmissionAction::kRefuse, reason,
          clamped * (1 + limits.retry_spread * SeededUnit(request.seed))};
}

}  // namespace

AdmissionDecision AdmitRequest(const AdmissionRequest& request, const AdmissionEstimates& estimates,
                               const AdmissionLimits& limits, TimePoint now) {
  const double wait_ms = estimates.has_free_memory ? 0 : estimates.memory_wait_ms;
  const double expected_ms = wait_ms + estimates.first_token_ms;
  const bool contended = !estimates.has_free_memory || estimates.waiting > 0;
  if (!request.patient) {
    if (ToMs(now - request.arrived) + expected_ms > request.first_output_target_ms) {
      return Refuse(AdmissionReason::kTooLate, expected_ms - request.first_output_target_ms,
                    request, limits);
    }
    const double max_share = estimates.fair_share * limits.share_tolerance;
    if (contended && estimates.load >= limits.overload && estimates.customer_share > max_share) {
      return Refuse(AdmissionReason::kOverShare, expected_ms, request, limits);
    }
  }
  if (!contended) {
    return {};
  }
  if (estimates.waiting >= limits.max_waiting) {
    return Refuse(AdmissionReason::kQueueFull, expected_ms, request, limits);
  }
  return {AdmissionAction::kWait, AdmissionReason::kNone, 0};
}

double MemoryWaitMs(const RouteRequest& request, const FleetView& fleet, std::int32_t ahead) {
  double completions_per_ms = 0;
  for (const EngineView& engine : fleet.engines) {
    if (engine.ready && engine.model == request.model && engine.role != EngineRole::kPrefill) {
      const double answer_ms = engine.decode_token_ms * request.expected_output_tokens;
      completions_per_ms += answer_ms > 0 ? engine.running / answer_ms : 0;
    }
  }
  return completions_per_ms > 0 ? (ahead + 1) / completions_per_ms
                                : std::numeric_limits<double>::infinity();
}

}  // namespace rattanramp::core
