// Time source. Production code uses SystemClock; tests use ManualClock, which changes only when
// it is advanced.
#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>

namespace rattanramp {

using Milliseconds = std::chrono::milliseconds;
using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;

class Clock {
 public:
  virtual ~Clock() = default;
  /// Monotonic time.
  virtual TimePoint now() const = 0;
  /// Wall-clock time in milliseconds since 1970, for records that other processes read.
  virtual std::int64_t unix_ms() const = 0;
};

class SystemClock : public Clock {
 public:
  TimePoint now() const override;
  std::int64_t unix_ms() const override;
};

/// Also counts the time for which the VM was suspended, which the steady clock leaves out. Waits of
/// the runtime do not count it: they are set by a duration, not by a point of this clock.
class SuspensionClock : public SystemClock {
 public:
  TimePoint now() const override;
};

class ManualClock : public Clock {
 public:
  TimePoint now() const override;
  std::int64_t unix_ms() const override;
  void Advance(Duration step);

 private:
  mutable std::mutex mutex_;
  TimePoint now_{std::chrono::hours(1)};
};

/// Process-wide SystemClock.
const Clock& DefaultClock();

/// Duration in fractional milliseconds.
double ToMs(Duration duration);

}  // namespace rattanramp
