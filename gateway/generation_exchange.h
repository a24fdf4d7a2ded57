// Serves one generation: prefill on one engine, decode on another, events to the caller as they
// come. A stream that breaks is continued elsewhere where its route allows.
#pragma once

#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/event_splitter.h"
#include "core/placement.h"
#include "gateway/attempt.h"
#include "gateway/caller_sink.h"
#include "gateway/request_context.h"

namespace rattanramp::gateway {

class GenerationExchange final : public Exchange, private AttemptListener {
 public:
  static std::unique_ptr<GenerationExchange> Start(RequestContext request, GatewayState& state,
                                                   CallerSink& sink);
  ~GenerationExchange() override;

  void OnCallerDisconnected() override;
  void OnBytesSent() override;

 private:
  enum class Phase { kWaiting, kPrefill, kDecode, kDone };

  GenerationExchange(RequestContext request, GatewayState& state, CallerSink& sink);

  void Enqueue();
  /// The caller has spent a part of its time on earlier attempts.
  bool IsRetriedByCaller() const;
  /// When the caller leaves for want of a first event.
  TimePoint CallerTimeoutAt() const;
  /// Refuses at once when the line is so long that the first event would be late.
  bool RefuseIfQueueIsLong();
  bool TryStart();
  void OnCallerTimeout();
  /// Takes turns with the peers when requests wait there too.
  bool MayTakeCapacity(std::span<const core::PlacementCandidate> candidates,
                       const core::GenerationNeed& need, TimePoint now);
  void StartPrefill(const std::shared_ptr<Upstream>& prefill);
  void StartDecode(const std::string& kv_source);
  void OnDeadline();
  /// Chooses another decode engine, once the prompt is read, when several gateways have chosen the
  /// same one at once.
  void MoveIfOverloaded(TimePoint now);
  /// Holds the memory of the decode engine while the prompt is prefilled elsewhere.
  void ReserveDecode(const std::shared_ptr<Upstream>& decode);
  void ReleaseDecode();
  /// Memory that the request takes on average for the rest of its run, in tokens.
  std::int64_t MemoryTokens() const;
  /// Tokens of output that have arrived here.
  std::int64_t generated_tokens() const;
  /// Adjusts the reservation to the progress of the stream.
  void UpdateReservation();
  std::optional<std::int64_t> ResumePoint() const;

  void OnPrefillAnswer();
  void OnPrefillFailure(std::string_view why);
  void OnDecodeNotRun(std::string_view why);
  void OnDecodeBroken(AttemptFailure failure);
  void EndWithFailure(std::string_view why, std::int64_t retry_ms);
  void ForwardAnswer();

  void OnAnswerHead(const http::ResponseHead& head, const core::AnswerFacts& facts) override;
  void OnAnswerBody(std::string_view bytes) override;
  void OnAnswerComplete() override;
  void OnAttemptFailure(AttemptFailure failure) override;

  RequestContext request_;
  GatewayState& state_;
  CallerSink& sink_;
  asio::steady_timer deadline_timer_;
  /// Until the caller leaves for want of a first event.
  asio::steady_timer caller_timeout_timer_;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
  Phase phase_ = Phase::kWaiting;
  std::unique_ptr<Attempt> attempt_;
  std::shared_ptr<Upstream> decode_;
  bool has_reservation_ = false;
  std::int64_t reserved_tokens_ = 0;
  TimePoint reserved_at_;
  std::uint64_t queue_id_ = 0;
  TimePoint next_capacity_try_;
  std::uint64_t capacity_tries_ = 0;
  http::ResponseHead answer_head_;
  core::AnswerFacts answer_facts_;
  /// Answers that are not streams are passed whole.
  std::string answer_body_;
  core::EventSplitter splitter_;
  /// The caller has the head of the stream.
  bool is_stream_open_ = false;
  bool is_streaming_ = false;
  bool is_paused_ = false;
  /// A prefilled prompt that no decode engine has taken, and until when it is kept.
  std::string kv_source_;
  TimePoint kv_source_expiry_;
  /// The one that the present attempt named.
  std::string sent_kv_source_;
  /// Engines that may have run it.
  std::int64_t possible_runs_ = 0;
  /// Prefills that an engine accepted.
  std::int64_t accepted_prefills_ = 0;
  /// Refusals and failures that did not run it.
  std::int64_t failures_without_run_ = 0;
  std::optional<TimePoint> first_event_;
};

}  // namespace rattanramp::gateway
