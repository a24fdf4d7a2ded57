#include "core/service_time.h"

#include <algorithm>
#include <cmath>

namespace rattanramp::core {
namespace {

double FadedConfidence(const ServiceTime& service, TimePoint now) {
  const double half_lives =
      ToMs(std::max(Duration(0), now - service.recorded)) / ToMs(kServiceTimeHalfLife);
  return service.confidence * std::exp2(-half_lives);
}

}  // namespace

void RecordServiceTime(ServiceTime& service, Duration taken, TimePoint now) {
  const double taken_ms = std::max(0.0, ToMs(taken));
  const double confidence = FadedConfidence(service, now);
  const bool is_first = service.confidence == 0;
  service.confidence = confidence + kServiceTimeWeight * (1 - confidence);
  service.recorded = now;
  if (is_first) {
    service.mean_ms = taken_ms;
    service.deviation_ms = taken_ms / 2;
    return;
  }
  // The first answers weigh more, so that the estimate is a mean of them from the start.
  const double weight = kServiceTimeWeight / service.confidence;
  const double difference = taken_ms - service.mean_ms;
  service.mean_ms += weight * difference;
  service.deviation_ms += weight * (std::abs(difference) - service.deviation_ms);
}

Duration PlannedServiceTime(const ServiceTime& service, Duration target, TimePoint now) {
  const double target_ms = ToMs(target);
  const double confidence = FadedConfidence(service, now);
  const double learned_ms = service.mean_ms + kPlannedDeviations * service.deviation_ms;
  const double planned_ms =
      confidence * learned_ms + (1 - confidence) * kInitialServiceShare * target_ms;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
      std::min(planned_ms, kMaxServiceShare * target_ms)));
}

}  // namespace rattanramp::core
