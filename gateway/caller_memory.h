// Memory and connections of a gateway's callers: applies the decisions of core/memory_budget.
#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "base/clock.h"
#include "base/metrics.h"
#include "core/memory_budget.h"

namespace rattanramp::gateway {

/// Bytes that an open connection of a caller takes without a request: its object with the buffer of
/// one read, timer, and entries of tables.
inline constexpr std::size_t kConnectionBytes = 10 * 1024;

/// Bytes of a stream that are kept for a caller that reads slowly, and the same while more than
/// half of the budget is in use.
inline constexpr std::size_t kMaxUnsentBytes = 256 * 1024;
inline constexpr std::size_t kMaxUnsentBytesInNeed = 16 * 1024;

/// Connections that may be open to callers. max_descriptors: of the VM; 0: not known, then the
/// limit of the process counts alone.
std::size_t CallerConnectionLimit(std::int64_t max_descriptors, const core::MemoryShares& shares);

class CallerMemory {
 public:
  class Holder {
   public:
    virtual ~Holder() = default;
    /// The wait for memory has ended.
    virtual void OnMemory() = 0;
    /// Ends a connection that has stalled, and returns whether it did.
    virtual bool CloseForRoom() = 0;
  };

  CallerMemory(asio::io_context& context, const Clock& clock, Metrics& metrics,
               const core::MemoryShares& shares, std::size_t max_connections);

  core::HolderId Join(Holder& holder);
  void Leave(core::HolderId id);
  void Report(core::HolderId id, const core::HeldBytes& held, core::HolderPhase phase);
  void ReportMoved(core::HolderId id, std::size_t bytes);
  /// As core::MayTake; Holder::OnMemory is called at the end of the wait.
  bool MayTake(core::HolderId id, std::size_t bytes);
  void StopWaiting(core::HolderId id);
  /// Counts a request that was refused for lack of memory.
  void CountRefusal();

  std::size_t max_unsent_bytes() const;
  bool is_full() const { return holders_.size() >= max_connections_; }
  /// Closes the connection that has been idle for longest. Returns false if there is none.
  bool MakeRoomForConnection();
  /// Closes stalled connections while others lack memory. Called at short intervals.
  void Tick();
  void UpdateMetrics();

  nlohmann::json StateDump() const;

 private:
  void ScheduleGrants();
  void GrantWaiting();
  void CountClosed(std::string_view cause);

  asio::io_context& context_;
  const Clock& clock_;
  Metrics& metrics_;
  /// Time for which this process has run. Progress is measured by it, so that no caller counts as
  /// stalled because this process did not run.
  TimePoint running_time_;
  TimePoint last_tick_;
  core::MemoryBudget budget_;
  std::size_t max_connections_;
  std::unordered_map<core::HolderId, Holder*> holders_;
  bool are_grants_scheduled_ = false;
  /// Events since the last log line, and its time.
  std::size_t unlogged_closed_ = 0;
  std::size_t unlogged_refused_ = 0;
  std::optional<TimePoint> logged_;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace rattanramp::gateway
