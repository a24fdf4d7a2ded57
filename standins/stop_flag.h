// Flag that interrupts the waits of request handlers when the process stops.
#pragma once

#include <condition_variable>
#include <mutex>

#include "base/clock.h"

namespace rattanramp::standins {

class StopFlag {
 public:
  /// Ends all current waits. Later waits return immediately.
  void Raise();
  /// Waits until the duration has elapsed or the flag is raised. Returns false if it is raised.
  bool Wait(Duration duration);

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool raised_ = false;
};

}  // namespace rattanramp::standins
