// Thread that repeats a task at a jittered interval until it is stopped.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <random>
#include <thread>

#include "base/clock.h"

namespace rattanramp::control {

class PollThread {
 public:
  /// task runs immediately after Start and then after each interval. interval is called after every
  /// run, so that a changed value applies to the next wait.
  PollThread(std::function<void()> task, std::function<Milliseconds()> interval);
  ~PollThread();
  PollThread(const PollThread&) = delete;
  PollThread& operator=(const PollThread&) = delete;

  void Start();
  /// Stops the thread and joins it; a running task is completed first.
  void Stop();

 private:
  void Run();
  Duration JitteredInterval();

  std::function<void()> task_;
  std::function<Milliseconds()> interval_;
  std::minstd_rand random_;
  std::mutex mutex_;
  std::condition_variable stop_condition_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace rattanramp::control
