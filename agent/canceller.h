// Cancels requests at the upstream on its own thread, with a limited number of retries.
#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "agent/upstream_port.h"
#include "base/bounded_queue.h"
#include "base/clock.h"

namespace rattanramp::agent {

class Canceller {
 public:
  Canceller(UpstreamPort& upstream, const Clock& clock);
  ~Canceller();
  Canceller(const Canceller&) = delete;
  Canceller& operator=(const Canceller&) = delete;

  /// Queues the cancellation of a request. Safe from any thread.
  void Cancel(const std::string& request_id);
  /// Number of cancellations that are not finished yet.
  std::size_t pending() const { return pending_count_.load(); }

 private:
  struct Pending {
    std::string request_id;
    int attempts = 0;
    TimePoint next_attempt;
  };
  void RunLoop();
  /// Returns false if the cancellation must be repeated.
  bool TryCancel(Pending& pending);

  UpstreamPort& upstream_;
  const Clock& clock_;
  BoundedQueue<std::string> queue_;
  std::vector<Pending> pending_;
  std::atomic<std::size_t> pending_count_{0};
  std::thread thread_;
};

}  // namespace rattanramp::agent
