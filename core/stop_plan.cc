#include "core/stop_plan.h"

#include <algorithm>

namespace rattanramp::core {

TimePoint ForcedEnd(const StopPlan& plan) { return plan.started + plan.grace - kExitMargin; }

bool CanEndInTime(const StopPlan& plan, TimePoint now, TimePoint deadline, Duration expected) {
  return std::min(deadline, now + expected) < ForcedEnd(plan);
}

bool MayAccept(const StopPlan& plan, TimePoint now, TimePoint deadline, Duration expected) {
  if (now - plan.started > kAcceptWorkTime) {
    return deadline < ForcedEnd(plan);
  }
  return CanEndInTime(plan, now, deadline, expected);
}

}  // namespace rattanramp::core
