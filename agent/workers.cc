#include "agent/workers.h"

#include <system_error>
#include <thread>
#include <utility>

#include "base/log.h"

namespace rattanramp::agent {

bool Workers::Run(std::function<void()> task) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (closed_ || running_ >= limit_) {
      return false;
    }
    ++running_;
  }
  try {
    std::thread([this, task = std::move(task)]() mutable {
      task();
      // Destroys the captured state before FinishTask, and therefore before Join returns.
      task = nullptr;
      FinishTask();
    }).detach();
  } catch (const std::system_error& error) {
    Log(LogLevel::kError, "thread_start_failed", {{"message", error.what()}});
    FinishTask();
    return false;
  }
  return true;
}

void Workers::FinishTask() {
  const std::lock_guard<std::mutex> lock(mutex_);
  --running_;
  idle_.notify_all();
}

void Workers::Join() {
  std::unique_lock<std::mutex> lock(mutex_);
  closed_ = true;
  idle_.wait(lock, [this] { return running_ == 0; });
}

std::size_t Workers::running() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return running_;
}

}  // namespace rattanramp::agent
