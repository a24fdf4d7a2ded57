// Records how late the event loop runs its timers.
#pragma once

#include <optional>

#include "base/clock.h"
#include "base/metrics.h"

namespace rattanramp::gateway {

/// Times on the clock that the timers use.
class EventLoopDelay {
 public:
  explicit EventLoopDelay(Metrics& metrics) : metrics_(metrics) {}

  /// Records a timer that was due at `due` and runs at `now` in the summary `event_loop_delay_ms`.
  /// A delay of kLateDelay or more is logged as `event_loop_late`, at most once a second. Returns
  /// whether it was logged.
  bool Record(TimePoint due, TimePoint now);

  static constexpr Milliseconds kLateDelay{100};

 private:
  Metrics& metrics_;
  std::optional<TimePoint> last_logged_;
};

}  // namespace rattanramp::gateway
