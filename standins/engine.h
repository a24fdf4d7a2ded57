// Simulated language-model engine with continuous batching, paged memory, a prefix cache, and
// export and import of KV caches.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "standins/cache_event_log.h"
#include "standins/engine_options.h"
#include "standins/engine_types.h"
#include "standins/prefix_cache.h"

namespace rattanramp::standins {

/// Tokens in one piece of engine memory.
inline constexpr std::int64_t kPieceTokens = 2'048;

/// Thread-safe. Methods that wait call caller_disconnected periodically and return early when it
/// returns true; the request itself continues.
class Engine {
 public:
  using CallerDisconnected = std::function<bool()>;

  /// options must have passed FindOptionProblem.
  explicit Engine(const EngineOptions& options);
  ~Engine();

  /// Ends all waits. Unfinished requests fail with status 503 and the error "stopping".
  void Stop();

  /// Waits until the prefill has finished. Errors: memory_full, cancelled, wrong_role,
  /// duplicate_request, stale_fence.
  EngineResult<PrefillResponse> Prefill(const EngineCall& call,
                                        const CallerDisconnected& caller_disconnected);
  /// Imports KV if the call requires it and waits until the request starts. Errors: those of
  /// Prefill and kv_gone.
  EngineResult<RequestPtr> Decode(const EngineCall& call,
                                  const CallerDisconnected& caller_disconnected);
  /// Error: unknown_request.
  EngineResult<RequestPtr> FindStream(const std::string& request_id) const;
  /// Waits up to 100 ms for output of the request after the first offset bytes.
  StreamStep NextStep(const RequestPtr& request, std::int64_t offset);

  /// Returns false if there is no request or KV with this request ID.
  bool Cancel(const std::string& request_id);
  /// Returns the number of cancelled requests.
  int CancelAll();

  /// Waits until the simulated transfer has finished. Transfers use the link one after another.
  /// Errors: kv_gone, cancelled.
  EngineResult<KvExport> Export(const std::string& kv_handle,
                                const CallerDisconnected& caller_disconnected);

  /// Rejects a token that is lower than the highest token so far with the error stale_fence.
  /// Accepts every token unless options().checks_fencing is set.
  EngineResult<void> CheckFencingToken(std::optional<std::int64_t> fencing_token);
  void SetRole(const std::string& role);
  void LoadModel(const std::string& name);
  void UnloadModel(const std::string& name);

  EngineFaults faults() const;
  void SetFaults(const EngineFaults& faults);

  /// Load of the engine load_lag_ms ago.
  EngineLoad ReportedLoad() const;
  std::vector<CacheEvent> EventsAfter(std::int64_t sequence) const;
  /// Current state, without the delay of ReportedLoad.
  EngineSnapshot Snapshot();

  const EngineOptions& options() const { return options_; }
  std::int64_t incarnation() const { return incarnation_; }

 private:
  struct Transfer {
    std::uint64_t transfer_id = 0;
    std::int64_t bytes = 0;
    std::optional<TimePoint> done_at;
  };

  void Run();
  TimePoint Advance(TimePoint now);
  void AdvancePrefill(TimePoint now);
  void AdvanceDecode(TimePoint now);
  void StartQueued(TimePoint now);
  void ExpireKv(TimePoint now);
  void RemoveExpiredRequests(TimePoint now);
  TimePoint NextWakeTime(TimePoint now) const;
  Duration DecodeStepTime() const;

  EngineResult<RequestPtr> Submit(const EngineCall& call, bool is_prefill);
  EngineResult<void> Import(const RequestPtr& request, const EngineCall& call);
  EngineResult<void> UseLocalKv(const RequestPtr& request, const std::string& kv_handle);
  /// Marks the KV with this seed as imported. Returns false if the KV is for another prompt.
  static bool AcceptKv(EngineRequest& request, std::uint64_t seed);
  void Enqueue(const RequestPtr& request);
  void FinishPrefill(const RequestPtr& request, TimePoint now);
  void Finish(const RequestPtr& request, TimePoint now);
  void Fail(const RequestPtr& request, EngineError error, TimePoint now);
  void RemoveKv(const std::string& kv_handle, bool wasted);
  void CrashIfPromptMatches(const EngineRequest& request) const;

  std::optional<Allocation> Allocate(const EngineRequest& request);
  void StoreBlocks(const std::vector<std::int64_t>& hashes, Allocation& allocation);
  void Release(Allocation& allocation);
  int HeldPieces() const;
  int FreePieces() const;
  int RunningCount() const;
  void AddWastedTokens(double tokens) { prefill_tokens_wasted_ += tokens; }
  EngineLoad CurrentLoad() const;
  void RecordLoad(TimePoint now);
  void Wake();

  const EngineOptions options_;
  const std::int64_t incarnation_;
  mutable std::mutex mutex_;
  std::condition_variable work_;
  std::condition_variable transfers_changed_;
  bool stopping_ = false;
  bool woken_ = false;

  std::string role_;
  std::vector<std::string> models_;
  std::int64_t highest_fencing_token_ = 0;
  EngineFaults faults_;

  std::uint64_t last_arrival_number_ = 0;
  std::uint64_t last_handle_number_ = 0;
  std::unordered_map<std::string, RequestPtr> requests_;
  std::deque<std::pair<TimePoint, RequestPtr>> finished_;
  /// Queued and prefilling requests are keyed by priority and arrival number.
  std::map<std::pair<std::int64_t, std::uint64_t>, RequestPtr> queued_;
  std::map<std::pair<std::int64_t, std::uint64_t>, RequestPtr> prefilling_;
  std::vector<RequestPtr> decoding_;
  std::vector<RequestPtr> importing_;
  TimePoint prefill_advanced_at_;
  TimePoint next_decode_step_;

  std::unordered_map<std::string, KvResult> kv_results_;
  std::deque<Transfer> transfers_;
  std::uint64_t last_transfer_id_ = 0;

  CacheEventLog events_;
  PrefixCache cache_;
  int uncached_pieces_ = 0;

  double prefill_tokens_spent_ = 0;
  double prefill_tokens_wasted_ = 0;
  std::int64_t output_tokens_ = 0;
  std::int64_t wrong_continuations_ = 0;
  std::deque<std::pair<TimePoint, EngineLoad>> load_history_;
  std::thread thread_;
};

}  // namespace rattanramp::standins
