#include "control/poll_thread.h"

#include <utility>

#include "base/ids.h"

namespace rattanramp::control {
namespace {

/// Intervals vary by up to this fraction, so that processes that start at the same time do not poll
/// at the same time.
constexpr double kJitterFraction = 0.2;

}  // namespace

PollThread::PollThread(std::function<void()> task, std::function<Milliseconds()> interval)
    : task_(std::move(task)),
      interval_(std::move(interval)),
      random_(static_cast<std::uint32_t>(NewIncarnation())) {}

PollThread::~PollThread() { Stop(); }

void PollThread::Start() {
  if (!thread_.joinable()) {
    thread_ = std::thread([this] { Run(); });
  }
}

void PollThread::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  stop_condition_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void PollThread::Run() {
  for (bool stop = false; !stop;) {
    task_();
    const Duration wait = JitteredInterval();
    std::unique_lock<std::mutex> lock(mutex_);
    stop = stop_condition_.wait_for(lock, wait, [this] { return stopping_; });
  }
}

Duration PollThread::JitteredInterval() {
  std::uniform_real_distribution<double> factor(1.0 - kJitterFraction, 1.0 + kJitterFraction);
  return std::chrono::duration_cast<Duration>(interval_() * factor(random_));
}

}  // namespace rattanramp::control
