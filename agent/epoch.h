// Agent epoch: the fencing number of orders, incremented in the platform's table at each start.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include "store/platform_store.h"

namespace rattanramp::agent {

/// Increments `agents/<id>/epoch` and returns the new number. After a lost reply the row is read
/// back and recognised by the incarnation in it. Errors: kUnavailable, kReplyLost (not known
/// whether the number was taken; call again), kConflict (another process was faster; call again).
Result<std::int64_t> AcquireEpoch(store::PlatformStore& store, const std::string& agent_id,
                                  std::int64_t incarnation);

/// Takes the epoch on its own thread and repeats until the platform answers.
class EpochAcquirer {
 public:
  /// on_epoch is called once, on the keeper's thread.
  EpochAcquirer(store::PlatformStore& store, std::string agent_id, std::int64_t incarnation,
                std::function<void(std::int64_t)> on_epoch);
  ~EpochAcquirer();
  EpochAcquirer(const EpochAcquirer&) = delete;
  EpochAcquirer& operator=(const EpochAcquirer&) = delete;

  /// Zero while it is not known.
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
