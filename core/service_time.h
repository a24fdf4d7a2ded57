// Time that requests of a service now take from their start: plain requests to the complete answer,
// generations to the first event. It determines the latest start that still meets a target.
#pragma once

#include "base/clock.h"

namespace rattanramp::core {

struct ServiceTime {
  /// Mean of the recent answers, in ms.
  double mean_ms = 0;
  /// Mean absolute deviation from it, in ms.
  double deviation_ms = 0;
  /// Weight of the estimate against the initial one, 0 to 1: grows with the answers, and fades
  /// while there are none.
  double confidence = 0;
  /// Of the newest answer.
  TimePoint recorded;
};

/// Weight of a new answer: about the last ten count, which is what one of many gateways sees of a
/// service within a second.
inline constexpr double kServiceTimeWeight = 0.1;

/// Time without answers after which half of the confidence is lost. A service that has been quiet
/// for longer may have new servers.
inline constexpr Duration kServiceTimeHalfLife = Milliseconds(10'000);

/// Estimate without answers, as a share of the latency target.
inline constexpr double kInitialServiceShare = 0.4;

/// Largest estimate, as a share of the latency target. The order of start still differs between
/// requests of a service that has become slower than its target.
inline constexpr double kMaxServiceShare = 0.8;

/// Deviations above the mean that are planned for. About one answer in twelve takes longer.
inline constexpr double kPlannedDeviations = 1.5;

/// Records an answer. `taken`: time from the start of the request.
void RecordServiceTime(ServiceTime& service, Duration taken, TimePoint now);

/// Time that a request which starts at `now` is planned to take. target: the whole target of the
/// route.
Duration PlannedServiceTime(const ServiceTime& service, Duration target, TimePoint now);

}  // namespace rattanramp::core
