// Starts one thread for each request at the upstream.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>

namespace rattanramp::agent {

class Workers {
 public:
  explicit Workers(std::size_t limit) : limit_(limit) {}
  ~Workers() { Join(); }
  Workers(const Workers&) = delete;
  Workers& operator=(const Workers&) = delete;

  /// Runs task on a new thread. Returns false if the limit is reached or no thread can be started.
  bool Run(std::function<void()> task);
  /// Waits until all tasks have returned; no task is accepted afterwards.
  void Join();
  std::size_t running() const;

 private:
  void FinishTask();

  std::size_t limit_;
  mutable std::mutex mutex_;
  std::condition_variable idle_;
  std::size_t running_ = 0;
  bool closed_ = false;
};

}  // namespace rattanramp::agent
