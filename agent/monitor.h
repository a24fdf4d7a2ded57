// Threads that poll the load and the cache events of the upstream, and that cancel its leftover
// requests after a start or a crash.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <thread>

#include "agent/upstream_port.h"
#include "base/result.h"

namespace rattanramp::agent {

class Monitor {
 public:
  struct Callbacks {
    /// completed_clean_up is the number of the last clean-up that succeeded before this load
    /// request.
    std::function<void(Result<UpstreamLoad> load, std::int64_t completed_clean_up)> on_load;
    std::function<void(CacheEvents events)> on_events;
  };

  /// The callbacks run on the threads of the monitor.
  Monitor(UpstreamPort& upstream, Callbacks callbacks);
  ~Monitor();
  Monitor(const Monitor&) = delete;
  Monitor& operator=(const Monitor&) = delete;

  void Start();
  void Stop();

  /// Requests the cancellation of all requests at the upstream. number must differ from the number
  /// of the last clean-up. Safe from any thread.
  void RequestCleanUp(std::int64_t number) { requested_clean_up_.store(number); }

 private:
  void LoadLoop();
  void EventLoop();

  UpstreamPort& upstream_;
  Callbacks callbacks_;
  std::atomic<std::int64_t> requested_clean_up_{0};
  std::atomic<bool> stopping_{false};
  std::thread load_thread_;
  std::thread event_thread_;
};

}  // namespace rattanramp::agent
