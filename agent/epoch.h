// Agent epoch: the fencing token of orders, incremented in the platform's table at each start of
// the agent.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include "store/platform_store.h"

namespace rattanramp::agent {

/// Increments `agents/<id>/epoch` and returns the new epoch. After a lost reply the row is read
/// back; the write has succeeded if the row contains this incarnation. Errors: kUnavailable,
/// kReplyLost (unknown whether the epoch was acquired; call again), kConflict (another process
/// incremented the epoch first; call again).
Result<std::int64_t> AcquireEpoch(store::PlatformStore& store, const std::string& agent_id,
                                  std::int64_t incarnation);

/// Acquires the epoch on its own thread and retries until it succeeds.
class EpochAcquirer {
 public:
  /// on_epoch is called once, on the thread of this object.
  EpochAcquirer(store::PlatformStore& store, std::string agent_id, std::int64_t incarnation,
                std::function<void(std::int64_t)> on_epoch);
  ~EpochAcquirer();
  EpochAcquirer(const EpochAcquirer&) = delete;
  EpochAcquirer& operator=(const EpochAcquirer&) = delete;

  /// Zero until the epoch has been acquired.
  std::int64_t epoch() const { return epoch_.load(); }

 private:
  void RunLoop();

  store::PlatformStore& store_;
  std::string agent_id_;
  std::int64_t incarnation_;
  std::function<void(std::int64_t)> on_epoch_;
  std::atomic<std::int64_t> epoch_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace rattanramp::agent
