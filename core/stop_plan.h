// Decides which work a process that is stopping still accepts and starts, so that each request can
// end, or be refused, before the process must exit.
#pragma once

#include "base/clock.h"

namespace rattanramp::core {

struct StopPlan {
  /// When the stop was requested.
  TimePoint started;
  /// Time after `started` by which the process must have exited.
  Duration grace{};
};

/// Time after the start of a stop for which all work that can end in time is accepted. Work that is
/// accepted within 3 s may still run near the end of the grace time (users' rules); later work must
/// have ended by then.
inline constexpr Milliseconds kAcceptWorkTime{2'800};

/// Part of the grace time that is reserved for writing the last answers and for the exit of the
/// process.
inline constexpr Milliseconds kExitMargin{500};

/// Retry-After of requests that are refused because of a stop. Another process can take them at
/// once.
inline constexpr Milliseconds kStopRetryAfter{50};

/// Time at which all requests that are still open are ended.
TimePoint ForcedEnd(const StopPlan& plan);

/// Whether work is expected to end before the forced end. `expected` is the usual duration of such
/// work; it also ends at its deadline.
bool CanEndInTime(const StopPlan& plan, TimePoint now, TimePoint deadline, Duration expected);

/// Whether a request that arrives at `now` is accepted.
bool MayAccept(const StopPlan& plan, TimePoint now, TimePoint deadline, Duration expected);

}  // namespace rattanramp::core
