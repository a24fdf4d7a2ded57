// Intent and result records of calls in the platform's table, written in groups on their own
// thread.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "base/bounded_queue.h"
#include "base/clock.h"
#include "core/call_ledger.h"
#include "store/platform_store.h"

namespace rattanramp::agent {

/// Row of a call: `calls/` and the name with all characters but letters, digits, '-' and '/'
/// escaped as _XX, so that it can be part of a URL path.
std::string CallRowKey(std::string_view name);

class CallStore {
 public:
  /// Called on the store thread.
  using ClaimCallback = std::function<void(const std::string& name, const std::string& attempt,
                                           const core::ClaimReply& reply)>;

  CallStore(store::PlatformStore& store, const Clock& clock, ClaimCallback on_claim);
  ~CallStore();
  CallStore(const CallStore&) = delete;
  CallStore& operator=(const CallStore&) = delete;

  /// Writes the intent record unless the row exists. False when the ring is full; nothing is then
  /// written. Safe from any thread.
  bool Claim(const std::string& name, const core::IntentRecord& record);

  /// Replaces the record by one with the result. Retried until it is written or the process ends.
  /// Safe from any thread.
  void RecordResult(const std::string& name, const core::IntentRecord& record);

  /// Time that a claim waits for others to share its transaction.
  void SetGroupTime(Milliseconds time) { group_ms_.store(time.count()); }

  /// Results that are not written yet.
  std::size_t pending_results() const { return pending_results_.load(); }

 private:
  struct Item {
    std::string name;
    core::IntentRecord record;
    bool is_claim = false;
  };
  void RunLoop();
  std::vector<Item> CollectGroup();
  void CommitGroup(std::vector<Item> claims);
  /// Returns whether the results are written.
  bool CommitResults(const std::vector<Item>& results);
  void ResolveLostReply(const Item& claim);
  void ReportClaim(const Item& claim, core::ClaimStatus status,
                   const std::optional<store::Row>& row);

  store::PlatformStore& store_;
  const Clock& clock_;
  ClaimCallback on_claim_;
  BoundedQueue<Item> queue_;
  std::deque<Item> results_;
  TimePoint next_result_write_;
  std::atomic<std::int64_t> group_ms_{5};
  std::atomic<std::size_t> pending_results_{0};
  std::thread thread_;
};

}  // namespace rattanramp::agent
