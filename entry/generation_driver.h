// Runs one generation request: routing, prefill, KV transfer, decode and retries. Not thread-safe:
// each driver is used by one thread.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/route.h"
#include "core/stream.h"
#include "entry/attempt.h"
#include "entry/generation_request.h"
#include "entry/refusal.h"
#include "entry/request_stats.h"

namespace rattanramp::entry {

/// Result of GenerationDriver::Next.
struct GenerationOutput {
  enum class Kind {
    /// No new output before the given time.
    kWaiting,
    kText,
    /// Complete: all text was returned by earlier calls.
    kDone,
    kFailed,
  };
  Kind kind = Kind::kWaiting;
  std::string text;
  Refusal refusal;
};

class GenerationDriver {
 public:
  /// lease is the time for which an attempt stays open without a link.
  GenerationDriver(const DriverContext& context, GenerationRequest request,
                   std::string failure_domain, Milliseconds lease);
  /// Cancels all open attempts.
  ~GenerationDriver();
  GenerationDriver(const GenerationDriver&) = delete;
  GenerationDriver& operator=(const GenerationDriver&) = delete;

  /// Waits for the next output until the given time at the latest.
  GenerationOutput Next(TimePoint until);

  /// Cancels all open attempts immediately, for example when the caller has disconnected. A request
  /// that is not complete fails with kind "cancelled".
  void Cancel(const std::string& reason);

  const RequestStats& stats() const { return stats_; }
  const GenerationRequest& request() const { return request_; }
  /// Bytes of text delivered so far.
  std::size_t delivered_bytes() const { return delivered_.size(); }

 private:
  enum class Phase { kUnrouted, kRunning, kDone, kFailed };

  void Step(TimePoint until);
  void StartRoute();
  RouteQuery MakeQuery() const;
  bool SendPrefill();
  bool SendDecode(wire::WorkKind::type kind);
  void SendStartDecode();
  Result<Attempt> Open(wire::WorkKind::type kind, const std::string& agent_id);
  wire::Submit MakeSubmit(wire::WorkKind::type kind) const;

  void Handle(RequestEvent event);
  void OnGranted(Attempt& attempt);
  void OnRefused(Attempt& attempt, const wire::Refused& refused);
  void OnPrefillDone(const wire::PrefillDone& done);
  void OnChunk(const wire::Chunk& chunk);
  void OnEnd(Attempt& attempt, const wire::End& end);
  void OnLinkLost(Attempt& attempt);
  void OnLinkRestored(Attempt& attempt, std::int64_t incarnation);
  void OnOverflow();
  void CheckTimeouts(TimePoint now);
  TimePoint WakeTime(TimePoint until) const;

  void DeliverText(const std::string& text, std::int32_t tokens);
  void CheckStream();
  void RequestMissingOutput(TimePoint now);
  void FailAttempt(const std::string& agent_id, core::FailureKind kind, core::Outcome outcome,
                   Refusal refusal);
  void FailLostAttempt(Attempt& attempt, const std::string& message);
  void RetryLater(core::FailureKind kind, const Refusal& refusal);
  /// Returns whether the request waits for free engine memory and for the retry budget instead of
  /// failing. True for patient callers, and for a request whose output has partly been delivered.
  bool MayWait() const;
  void ScheduleRetry(const core::BackOff& back_off);
  bool TakeFromBudget();
  void Fail(Refusal refusal);
  void CloseRoute(const std::string& reason);
  void MergeOutcome(core::Outcome outcome);
  /// Returns the outcome to assume for an attempt without a result: kNotRun when it only reserved
  /// decode memory, else kUnknown.
  core::Outcome OutcomeOfOpenAttempt(const Attempt& attempt) const;
  bool RouteHasOutput() const;
  std::int32_t CrashCount() const;

  DriverContext context_;
  GenerationRequest request_;
  std::string failure_domain_;
  Milliseconds lease_;
  TimePoint deadline_;
  std::shared_ptr<Mailbox> mailbox_;

  Phase phase_ = Phase::kUnrouted;
  TimePoint retry_at_;
  std::vector<std::string> excluded_agents_;
  std::int32_t retries_ = 0;
  /// Failed attempts that count towards max_attempts.
  std::int32_t failures_ = 0;
  std::int32_t own_crashes_ = 0;
  /// A retry waits until the retry budget allows it.
  bool awaiting_budget_ = false;

  ChosenRoute route_;
  Attempt prefill_;
  Attempt decode_;
  wire::PrefillDone prefill_done_;
  /// Prefill tokens of the current route while it has not produced any text.
  std::int64_t prefill_tokens_without_output_ = 0;
  /// StartDecode was sent, or the route runs prefill and decode on one engine.
  bool decode_started_ = false;
  core::StreamAssembler stream_;
  /// Bytes of delivered text that the current attempt received as already_sent. The output of the
  /// attempt continues after them.
  std::size_t attempt_base_bytes_ = 0;
  std::size_t route_start_bytes_ = 0;
  std::int32_t attempt_base_tokens_ = 0;
  /// Time of the last progress of a stream with a gap; max() without a gap.
  TimePoint gap_since_ = TimePoint::max();
  TimePoint gap_resume_sent_at_;
  std::int64_t gap_offset_ = 0;

  /// All text received in order so far. ready_text_ is its tail that Next has not returned yet.
  std::string delivered_;
  std::string ready_text_;
  std::int32_t delivered_tokens_ = 0;
  std::size_t last_chunk_bytes_ = 0;
  std::int32_t last_chunk_tokens_ = 0;

  core::Outcome outcome_ = core::Outcome::kNotRun;
  Refusal refusal_;
  RequestStats stats_;
};

}  // namespace rattanramp::entry
