// Interruptible waits of handlers in a process that may be stopping.
#pragma once

#include <condition_variable>
#include <mutex>

#include "base/clock.h"

namespace rattanramp::standins {

class StopFlag {
 public:
  /// Ends all waits, also later ones.
  void Raise();
  /// Waits for the duration or until the flag is raised. Returns false when it is raised.
  bool Wait(Duration duration);

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool raised_ = false;
};

}  // namespace rattanramp::standins
