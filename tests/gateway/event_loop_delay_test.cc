#include "gateway/event_loop_delay.h"

#include <criterion/criterion.h>

#include <string>

using namespace rattanramp;
using gateway::EventLoopDelay;

// Guards against a slow event loop that looks like a slow network because nothing records it, and
// against a log that fills with lines about it.
Test(event_loop_delay, late_timers_are_recorded_and_logged_once_a_second) {
  Metrics metrics;
  EventLoopDelay delay(metrics);
  const TimePoint start{std::chrono::seconds(100)};
  cr_assert(!delay.Record(start, start + Milliseconds(99)));
  cr_assert(delay.Record(start, start + EventLoopDelay::kLateDelay));
  cr_assert(!delay.Record(start + Milliseconds(200), start + Milliseconds(900)));
  cr_assert(delay.Record(start + Milliseconds(500), start + Milliseconds(1'200)));
  // A timer never runs early by more than the clocks' resolution.
  cr_assert(!delay.Record(start + Milliseconds(1), start));
  const std::string text = metrics.PrometheusText();
  cr_assert(text.find("rattanramp_event_loop_delay_ms_count 5") != std::string::npos, "%s",
            text.c_str());
}
