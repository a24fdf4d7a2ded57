#include "gateway/event_loop_delay.h"

#include <algorithm>

#include "base/log.h"

namespace rattanramp::gateway {
namespace {

constexpr Milliseconds kLogInterval{1'000};

}  // namespace

bool EventLoopDelay::Record(TimePoint due, TimePoint now) {
  const Duration delay = std::max(Duration::zero(), now - due);
  metrics_.Observe("event_loop_delay_ms", ToMs(delay));
  if (delay < kLateDelay || (last_logged_ && now - *last_logged_ < kLogInterval)) {
    return false;
  }
  last_logged_ = now;
  Log(LogLevel::kWarning, "event_loop_late", {{"delay_ms", ToMs(delay)}});
  return true;
}

}  // namespace rattanramp::gateway
