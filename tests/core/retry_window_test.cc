#include "core/retry_window.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <deque>
#include <vector>

using namespace rattanramp;

// Guards against retry storms: over any sliding window, the extra arrivals of all processes
// together must not exceed ratio x requests + slack.
Test(retry_window, all_processes_together_keep_the_bound_in_every_window) {
  const bool ok = rc::check("bound", [] {
    const core::RetryBound bound{0.2, 58, Milliseconds(10'000)};
    const int processes = *rc::gen::inRange(1, 9);
    std::vector<core::RetryWindow> windows(processes);
    struct Step {
      TimePoint at;
      int requests = 0;
      int extras = 0;
    };
    std::deque<Step> history;
    TimePoint now{};
    for (int step = 0; step < 600; ++step) {
      now += Milliseconds(*rc::gen::inRange(0, 100));
      Step current{now, 0, 0};
      core::RetryWindow& window = windows[*rc::gen::inRange(0, processes)];
      if (*rc::gen::inRange(0, 3) == 0) {
        core::CountRequest(window, bound, now);
        current.requests = 1;
      } else if (core::TakeExtra(window, bound, processes, now)) {
        current.extras = 1;
      }
      history.push_back(current);
      int extras = 0;
      // The bound uses the requests of the window or of the preceding one, whichever number is
      // larger.
      int requests = 0;
      int earlier = 0;
      for (const Step& past : history) {
        if (now - past.at <= bound.window) {
          extras += past.extras;
          requests += past.requests;
        } else if (now - past.at <= 2 * bound.window) {
          earlier += past.requests;
        }
      }
      RC_ASSERT(extras <= 0.2 * std::max(requests, earlier) + 58);
    }
  });
  cr_assert(ok);
}

// Guards against a retry budget that stays used up after its window has passed.
Test(retry_window, budget_is_available_again_after_the_window) {
  const core::RetryBound bound{0.0, 10, Milliseconds(1'000)};
  core::RetryWindow window;
  TimePoint now{};
  int taken = 0;
  while (core::TakeExtra(window, bound, 1, now)) {
    ++taken;
  }
  cr_assert(taken >= 1 && taken <= 10);
  now += Milliseconds(1'200);
  cr_assert(core::TakeExtra(window, bound, 1, now));
}
