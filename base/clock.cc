#include "base/clock.h"

#include <ctime>

namespace rattanramp {

TimePoint SystemClock::now() const { return std::chrono::steady_clock::now(); }

std::int64_t SystemClock::unix_ms() const {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

TimePoint SuspensionClock::now() const {
  timespec time{};
  if (clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
    return SystemClock::now();
  }
  return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

TimePoint ManualClock::now() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return now_;
}

std::int64_t ManualClock::unix_ms() const {
  return std::chrono::duration_cast<Milliseconds>(now().time_since_epoch()).count();
}

void ManualClock::Advance(Duration step) {
  const std::lock_guard<std::mutex> lock(mutex_);
  now_ += step;
}

const Clock& DefaultClock() {
  static const SystemClock clock;
  return clock;
}

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace rattanramp
