// Runs PREFILL, DECODE and GENERATE attempts at a model engine. Link thread only.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "agent/attempts.h"
#include "agent/context.h"
#include "core/agent_queue.h"
#include "core/memory_ledger.h"

namespace rattanramp::agent {

class Generation {
 public:
  Generation(AgentContext& context, AttemptTable& attempts)
      : context_(context), attempts_(attempts) {}

  /// Grants or refuses a new attempt.
  void Submit(Attempt& attempt);
  void StartDecode(Attempt& attempt, const wire::StartDecode& start);
  /// Stops the attempt at the engine and releases its memory. Sends no reply to the entry.
  void Cancel(Attempt& attempt);
  /// Starts queued work, expires reservations and handles timeouts of running requests.
  void Tick(TimePoint now);
  void OnLoad(const UpstreamLoad& load);
  /// Ends all attempts and records a crash for the fingerprint of each running one.
  void OnCrash(const std::string& reason);

  /// Called when a crash of the engine is detected; the agent then calls OnCrash.
  std::function<void(const std::string&)> on_crash_detected;

  const core::MemoryLedger& memory() const { return memory_; }
  const core::AgentQueue& queue() const { return queue_; }
  /// Number of prompt tokens that are queued for prefill or being prefilled.
  std::int64_t PendingPrefillTokens() const;
  /// Pieces that can be granted now.
  std::int32_t GrantablePieces() const;
  std::int32_t running() const;

 private:
  enum class EngineCall { kDecode, kGenerate, kResume };

  void SubmitPrefill(Attempt& attempt);
  void StartQueuedPrefills(TimePoint now);
  bool StartPrefill(Attempt& attempt, const core::QueuedWork& work);
  void OnPrefillEnd(const std::string& id, int number, const core::QueuedWork& work,
                    const PrefillResult& result);

  void BeginImport(Attempt& attempt);
  void BeginGenerate(Attempt& attempt);
  void BeginResume(Attempt& attempt, const std::string& reason);
  void Launch(Attempt& attempt, EngineCall call, RunStage stage, Duration timeout);
  void OnAccepted(const std::string& id, int number);
  void OnOutput(const std::string& id, int number, const OutputChunk& chunk);
  void OnRunEnd(const std::string& id, int number, const std::string& engine_id,
                const RunResult& result);
  void OnImportFailed(Attempt& attempt, const std::string& reason, bool source_has_kv);
  void OnMemoryFull(Attempt& attempt);
  void OnDeadline(Attempt& attempt);
  void Complete(Attempt& attempt, const RunResult& result);
  /// Ends the attempt. stop_at_engine also stops its request at the engine.
  void Fail(Attempt& attempt, const wire::End& end, bool stop_at_engine);
  void StopRun(Attempt& attempt);
  void ReleaseReservation(Attempt& attempt);

  std::int32_t PiecesOf(const Attempt& attempt) const;
  Duration IdleTimeout(const Attempt& attempt) const;
  Duration ImportTimeout(const Attempt& attempt) const;
  Duration PrefillTimeout(const Attempt& attempt) const;
  std::int64_t EstimatedWaitMs() const;

  AgentContext& context_;
  AttemptTable& attempts_;
  core::MemoryLedger memory_;
  core::AgentQueue queue_;
  std::int32_t prefills_running_ = 0;
};

}  // namespace rattanramp::agent
