#include "core/stop_plan.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace rattanramp;

// Guards against work that is accepted long after the signal and given up at the forced end: what
// arrives after 3 s must end by its deadline before that, whatever its usual duration.
Test(stop_plan, late_request_is_accepted_only_if_its_deadline_precedes_the_forced_end) {
  const bool ok = rc::check("late requests", [] {
    const core::StopPlan plan{TimePoint(std::chrono::hours(1)),
                              Milliseconds(*rc::gen::inRange(4'000, 20'000))};
    const TimePoint now = plan.started + Milliseconds(*rc::gen::inRange(3'000, 20'000));
    const TimePoint deadline = now + Milliseconds(*rc::gen::inRange(1, 20'000));
    const Milliseconds expected(*rc::gen::inRange(1, 10'000));
    if (core::MayAccept(plan, now, deadline, expected)) {
      RC_ASSERT(deadline < core::ForcedEnd(plan));
    }
  });
  cr_assert(ok);
}

// Guards against work that is started although it usually takes longer than the time left.
Test(stop_plan, work_that_usually_outlasts_the_stop_is_neither_accepted_nor_started) {
  const bool ok = rc::check("expected end", [] {
    const core::StopPlan plan{TimePoint(std::chrono::hours(1)), Milliseconds(8'000)};
    const TimePoint now = plan.started + Milliseconds(*rc::gen::inRange(0, 8'000));
    const TimePoint deadline = now + Milliseconds(*rc::gen::inRange(1, 20'000));
    const Milliseconds expected(*rc::gen::inRange(1, 10'000));
    const bool ends_too_late =
        deadline >= core::ForcedEnd(plan) && now + expected >= core::ForcedEnd(plan);
    if (ends_too_late) {
      RC_ASSERT(!core::CanEndInTime(plan, now, deadline, expected));
      RC_ASSERT(!core::MayAccept(plan, now, deadline, expected));
    }
  });
  cr_assert(ok);
}

// Guards against a stop that refuses callers while the load balancer still sends them here.
Test(stop_plan, usual_work_is_accepted_until_the_load_balancer_has_removed_the_process) {
  const core::StopPlan plan{TimePoint(std::chrono::hours(1)), Milliseconds(8'000)};
  const TimePoint far_deadline = plan.started + Milliseconds(14'000);
  cr_assert(core::MayAccept(plan, plan.started, far_deadline, Milliseconds(3'500)));
  cr_assert(
      core::MayAccept(plan, plan.started + Milliseconds(2'700), far_deadline, Milliseconds(3'500)));
  cr_assert(core::CanEndInTime(plan, plan.started + Milliseconds(3'900), far_deadline,
                               Milliseconds(3'500)));
}
