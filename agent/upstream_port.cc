#include "agent/upstream_port.h"

#include <utility>

namespace rattanramp::agent {

void RunControl::Stop() {
  const std::lock_guard<std::mutex> lock(mutex_);
  stopped_ = true;
  if (interrupt_) {
    interrupt_();
  }
}

bool RunControl::stopped() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return stopped_;
}

void RunControl::SetInterrupt(std::function<void()> interrupt) {
  const std::lock_guard<std::mutex> lock(mutex_);
  interrupt_ = std::move(interrupt);
}

void RunControl::ClearInterrupt() {
  const std::lock_guard<std::mutex> lock(mutex_);
  interrupt_ = nullptr;
}

}  // namespace rattanramp::agent
