// Writes intent and result records of calls to the platform's table, in groups on its own thread.
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

/// Row key of a call: `calls/` and its name. Characters other than letters, digits, '-' and '/' are
/// escaped as _XX, so that the key can be part of a URL path.
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

  /// Queues the intent record, which is written unless the row exists. Returns false if the queue
  /// is full; the record is then not written. Safe from any thread.
  bool Claim(const std::string& name, const core::IntentRecord& record);

  /// Replaces the record by one with the result. The write is retried until it succeeds, the result
  /// is dropped because too many are pending, or the process ends. Safe from any thread.
  void RecordResult(const std::string& name, const core::IntentRecord& record);

  /// Sets how long a claim waits for other claims to share its transaction.
  void SetGroupTime(Milliseconds time) { group_ms_.store(time.count()); }

  /// Number of results that have not been written yet.
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
  /// Returns true if the results have been written.
  bool CommitResults(const std::vector<Item>& results);
  /// Reads the row back to find out whether the claim was written.
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
