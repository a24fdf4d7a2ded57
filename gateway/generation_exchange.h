// Serves one generation: prefill on one engine, decode on another, and events forwarded to the
// caller as they arrive. An interrupted stream is resumed on another engine if its route allows
// this.
#pragma once

#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/event_splitter.h"
#include "core/placement.h"
#include "core/prefill_handle.h"
#include "gateway/attempt.h"
#include "gateway/caller_sink.h"
#include "gateway/early_connection.h"
#include "gateway/engine_run.h"
#include "gateway/generation_queue.h"
#include "gateway/request_context.h"
#include "gateway/silent_run.h"

namespace rattanramp::gateway {

class GenerationExchange final : public Exchange, private SilentRunOwner {
 public:
  static std::unique_ptr<GenerationExchange> Start(RequestContext request, GatewayState& state,
                                                   CallerSink& sink);
  ~GenerationExchange() override;

  void OnCallerDisconnected() override;
  void OnBytesSent() override;
  void OnStopProgress() override;
  void EndForStop() override;

 private:
  enum class Phase { kWaiting, kPrefill, kDecode, kDone };

  GenerationExchange(RequestContext request, GatewayState& state, CallerSink& sink);

  void Enqueue();
  /// Refuses the request on arrival when the queue is so long that its first event would be late
  /// (or, for a request that the caller has retried, would miss the caller's timeout).
  bool RefuseIfQueueIsLong();
  bool TryStart();
  /// Ends the request if CheckAttempt refuses it.
  bool EndIfItMayNotRun();
  /// Refuses a waiting request whose first event can't be on time while the queue has no room for
  /// late ones, and any that can't have it before its caller's own limit.
  void OnWaited();
  void WaitUntil(TimePoint time);
  void Refuse(std::string_view cause, std::string_view reason);
  /// Whether the process stops before the request could end, if it were started now. An open stream
  /// is continued as long as possible.
  bool IsTooLateInStop() const;
  void StartPrefill(const std::shared_ptr<Upstream>& prefill);
  /// The decode engine takes the prompt of run_ if that is held, and reads the prompt itself
  /// otherwise.
  void StartDecode();
  void OnDeadline();
  /// Ends a request whose answer is not complete. unknown_status: the status if it may have run and
  /// no part of the answer was sent.
  void EndIncomplete(int unknown_status, std::string_view cause,
                     std::optional<std::int64_t> retry_after_ms);
  /// Connects to the decode engine while another one prefills the prompt.
  void ConnectEarly();
  /// Chooses another decode engine if the chosen one has ended or takes no requests, or if several
  /// gateways have chosen it at the same time and it is overloaded. Returns false if the prompt has
  /// no engine to go to.
  bool ConfirmDecode();
  /// Reserves memory of the decode engine, also while another engine prefills the prompt.
  void ReserveDecode(const std::shared_ptr<Upstream>& decode);
  void ReleaseDecode();
  /// Reserves memory of the prefill engine until a decode engine has taken the prompt.
  void ReservePrefill(const std::shared_ptr<Upstream>& prefill);
  void ReleasePrefill();
  /// Memory that the request is expected to take on average for the rest of its run, in tokens.
  std::int64_t MemoryTokens() const;
  /// Output tokens received from the engines so far.
  std::int64_t generated_tokens() const;
  /// Adjusts the reservation to the progress of the stream.
  void UpdateReservation();
  std::optional<std::int64_t> ResumePoint() const;
  /// Whether another engine may go on with the request if the current decode attempt breaks.
  bool MayMoveLater() const;
  /// Whether an engine other than that of the current attempt could go on with the request at once.
  bool HasOtherEngine() const;
  /// Sets the silent run aside and asks another engine to continue the stream.
  void AskOtherEngine();
  /// Ends what was tried at another engine and goes on with the silent run. False: there is none.
  bool TakeBackSilentRun();
  /// The engine of run_ has accepted the stream: ends the silent run, and sends the head unless
  /// this was done before.
  void OpenStream();
  /// Ends all attempts and releases what is reserved for them.
  void DropRuns();
  /// Uses one retry out of the service's bound, unless one was used for this purpose before.
  bool TakeRetry();

  std::string DescribeLoss(std::string_view cause) const;
  /// Measures the pace of the stream.
  void RecordEvents(std::int64_t events);
  /// Called for each event, and at the end of a stream.
  void CheckProven(bool is_complete);
  void RecordLossUnlessProven();
  void OnPrefillAnswer();
  void OnPrefillFailure(std::string_view why);
  void OnDecodeNotRun(std::string_view why);
  void OnDecodeBroken(AttemptFailure failure);
  void EndWithFailure(std::string_view why, std::int64_t retry_ms);
  void ForwardAnswer();

  void OnAnswerHead(const http::ResponseHead& head, const core::AnswerFacts& facts) override;
  BodyProgress OnAnswerBody(std::string_view bytes) override;
  void OnAnswerComplete() override;
  void OnAttemptFailure(AttemptFailure failure) override;
  bool OnSilence(Duration silent_for) override;
  void OnRunGoesOn() override;
  void OnRunLost(AttemptFailure failure, bool is_refused) override;
  bool IsSilentTooLong(Duration silent_for) const override;

  RequestContext request_;
  GatewayState& state_;
  CallerSink& sink_;
  asio::steady_timer deadline_timer_;
  /// Expires before the caller would disconnect for lack of a first event.
  asio::steady_timer caller_timeout_timer_;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
  Phase phase_ = Phase::kWaiting;
  EngineRun run_;
  /// The run of an engine that has gone silent, while run_ is that of another one that is asked to
  /// continue the stream. Null: there is none.
  std::unique_ptr<SilentRun> silent_;
  std::unique_ptr<EarlyConnection> early_connection_;
  std::uint64_t queue_id_ = 0;
  CapacityShare capacity_share_;
  /// Body of an answer that is not a stream; it is forwarded when it is complete.
  std::string answer_body_;
  core::AnswerAllowance answer_allowance_;
  core::EventSplitter splitter_;
  /// The head of the stream has been sent to the caller.
  bool is_stream_open_ = false;
  /// How the end of that stream is shown to the caller.
  StreamEnd stream_end_ = StreamEnd::kStated;
  /// The head of the current attempt's answer has arrived.
  bool has_answer_head_ = false;
  bool is_paused_ = false;
  bool was_paused_ = false;
  /// Number of decode attempts that may have run the request.
  std::int64_t possible_runs_ = 0;
  /// Number of prefills that an engine has completed.
  std::int64_t completed_prefills_ = 0;
  /// Number of refusals and failures that did not run the request.
  std::int64_t failures_without_run_ = 0;
  /// A retry was taken from the bound and has not been used yet.
  bool has_retry_ = false;
  std::optional<TimePoint> first_event_;
  TimePoint last_event_;
  /// Tokens that the prefill engine had to read before this prompt.
  std::int64_t queued_tokens_ = 0;
  /// Another engine is to be asked to continue the stream, and not before that time.
  bool is_move_planned_ = false;
  TimePoint next_move_;
};

}  // namespace rattanramp::gateway
