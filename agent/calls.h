// Runs CALL attempts at a plain service. Link thread only.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "agent/attempts.h"
#include "agent/call_store.h"
#include "agent/context.h"
#include "core/agent_queue.h"
#include "core/call_ledger.h"

namespace rattanramp::agent {

class Calls {
 public:
  Calls(AgentContext& context, AttemptTable& attempts, store::PlatformStore& store);

  /// Grants, queues or refuses a new attempt.
  void Submit(Attempt& attempt);
  /// Cancels an attempt, for example because its lease has expired. A repeatable call is stopped;
  /// any other call that has been sent continues.
  void Cancel(Attempt& attempt);
  wire::KeyIssued IssueKey(const wire::IssueKey& request);
  void Tick(TimePoint now);

  std::int32_t running() const { return running_; }
  std::size_t queued() const { return queue_.items.size(); }
  const core::CallLedger& ledger() const { return ledger_; }
  std::size_t pending_results() const { return store_.pending_results(); }

 private:
  void DispatchQueued(TimePoint now);
  void Dispatch(Attempt& attempt);
  void DispatchAtMostOnce(Attempt& attempt);
  void Apply(Attempt& attempt, const core::CallDecision& decision);
  void Claim(const Attempt& attempt);
  void OnClaim(const std::string& name, const std::string& attempt, const core::ClaimReply& reply);
  void Send(Attempt& attempt, const std::string& name);
  void OnReply(const std::string& id, const CallReply& reply);
  void OnAtMostOnceReply(const std::string& name, const core::IntentRecord& record,
                         const CallReply& reply);
  void Answer(Attempt& attempt, const core::CallResult& result, bool replayed);
  void AnswerUnknown(Attempt& attempt, const std::string& message);
  /// Ends an attempt that did not run: finishes it if it was granted, refuses it otherwise.
  void Reject(Attempt& attempt, const wire::End& end, std::int64_t retry_after_ms);
  /// Refuses attempts whose claim has no reply by their deadline.
  void RefuseOverdueClaims(TimePoint now);
  void CountRefusedConnection(const CallReply& reply);
  std::string CallNameOf(const Attempt& attempt) const;
  core::CallLimits Limits() const;

  AgentContext& context_;
  AttemptTable& attempts_;
  core::AgentQueue queue_;
  core::CallLedger ledger_;
  std::int32_t running_ = 0;
  TimePoint next_eviction_;
  CallStore store_;
};

}  // namespace rattanramp::agent
