#include "standins/stop_flag.h"

namespace rattanramp::standins {

void StopFlag::Raise() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    raised_ = true;
  }
  changed_.notify_all();
}

bool StopFlag::Wait(Duration duration) {
  std::unique_lock<std::mutex> lock(mutex_);
  return !changed_.wait_for(lock, duration, [this] { return raised_; });
}

}  // namespace rattanramp::standins
