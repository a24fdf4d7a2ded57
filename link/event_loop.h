// Asio event loop that runs on one thread. All links and timers of a process use it.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <thread>

#include "base/clock.h"

namespace rattanramp::link {

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  asio::io_context& context() { return context_; }

  void Start();
  /// Stops the loop and joins its thread; pending tasks are discarded.
  void Stop();

  /// Runs task on the loop's thread.
  void Post(std::function<void()> task);
  /// Runs task on the loop's thread after each period until the loop stops. A period begins when
  /// the previous run has returned.
  void RunEvery(Duration period, std::function<void()> task);

 private:
  void Schedule(const std::shared_ptr<asio::steady_timer>& timer, Duration period,
                const std::shared_ptr<std::function<void()>>& task);

  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
  std::thread thread_;
};

}  // namespace rattanramp::link
