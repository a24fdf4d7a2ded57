// Serves one request of a plain service: forwards the complete answer of one upstream.
#pragma once

#include <asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "gateway/attempt.h"
#include "gateway/caller_sink.h"
#include "gateway/request_context.h"
#include "gateway/silent_call.h"

namespace rattanramp::gateway {

class PlainExchange final : public Exchange, private SilentCallOwner {
 public:
  static std::unique_ptr<PlainExchange> Start(RequestContext request, GatewayState& state,
                                              CallerSink& sink);
  ~PlainExchange() override;

  void OnCallerDisconnected() override;
  void OnBytesSent() override;
  void OnStopProgress() override;
  void EndForStop() override;

 private:
  PlainExchange(RequestContext request, GatewayState& state, CallerSink& sink);

  void Enqueue();
  bool TryStart();
  /// Ends the request if it crashes upstreams whenever it is sent.
  bool EndIfItMayNotRun();
  /// Sets the timer of the exchange.
  void WaitUntil(TimePoint time);
  void OnTimer();
  /// Refuses a request that is late and that the queue will not start before its deadline.
  bool RefuseIfHopeless();
  void OnDeadline();
  /// Whether the process stops before the request could end, if it were started now.
  bool IsTooLateInStop() const;
  /// Ends a request that has no answer yet: as not run if no upstream can have run it, otherwise
  /// with `unknown_status`.
  void EndUnanswered(int unknown_status, std::string_view reason,
                     std::optional<std::int64_t> retry_after_ms);
  /// The same when the last attempt was not run and no further one follows.
  void EndAfterRefusal(std::string_view reason, std::int64_t retry_after_ms);
  /// Queues the request for another upstream if a retry is allowed, and returns whether it is.
  /// may_have_run: the last attempt may have run the request.
  bool Retry(bool may_have_run, std::string_view why);
  /// Uses one retry out of the service's bound, unless one was used for this purpose before.
  bool TakeRetry();
  void ForwardAnswer();

  void OnAnswerHead(const http::ResponseHead& head, const core::AnswerFacts& facts) override;
  BodyProgress OnAnswerBody(std::string_view bytes) override;
  void OnAnswerComplete() override;
  void OnAttemptFailure(AttemptFailure failure) override;
  bool OnSilence(Duration silent_for) override;
  void OnCallAnswered() override;
  void OnCallLost(AttemptFailure failure, bool is_refused) override;
  /// Whether another server may run the request besides those that may run it already.
  bool MayMoveLater() const;
  /// Sets the silent attempt aside and asks another server.
  void AskOtherServer();
  /// Ends what was tried at another server and goes on with the silent attempt. False: there is
  /// none.
  bool TakeBackSilentCall();

  RequestContext request_;
  GatewayState& state_;
  CallerSink& sink_;
  asio::steady_timer deadline_timer_;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
  PlainCall call_;
  /// The attempt at a silent server, while call_ is at another one. Null: there is none.
  std::unique_ptr<SilentCall> silent_;
  std::uint64_t queue_id_ = 0;
  http::ResponseHead answer_head_;
  core::AnswerFacts answer_facts_;
  std::string answer_body_;
  core::AnswerAllowance answer_allowance_;
  /// Reading from the upstream is paused for lack of memory.
  bool is_paused_ = false;
  /// Number of attempts that may have run the request.
  std::int64_t possible_runs_ = 0;
  bool is_done_ = false;
  /// A retry was taken from the bound and has not been used yet.
  bool has_retry_ = false;
  /// Another server is to be asked, and not before that time.
  bool is_move_planned_ = false;
  TimePoint next_move_;
  /// Number of times that the silent attempt was taken back.
  int taken_back_ = 0;
  /// Number of attempts whose connection could not be made.
  std::int64_t failed_connections_ = 0;
  /// Number of attempts, without those whose connection could not be made.
  std::int64_t sent_attempts_ = 0;
};

}  // namespace rattanramp::gateway
