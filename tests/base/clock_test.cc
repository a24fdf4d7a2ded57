#include "base/clock.h"

#include <criterion/criterion.h>

#include <ctime>

using namespace rattanramp;

// Guards against leases, lists and idle connections that outlive a suspension of the VM: the steady
// clock does not count it.
Test(clock, suspension_clock_counts_the_time_since_boot) {
  timespec boot{};
  cr_assert_eq(clock_gettime(CLOCK_BOOTTIME, &boot), 0);
  const TimePoint expected(std::chrono::seconds(boot.tv_sec) +
                           std::chrono::nanoseconds(boot.tv_nsec));
  const TimePoint now = SuspensionClock().now();
  cr_assert_geq(now, expected);
  cr_assert_lt(ToMs(now - expected), 1'000.0);
}
