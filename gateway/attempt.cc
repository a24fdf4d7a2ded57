#include "gateway/attempt.h"

#include <utility>

#include "platform/request_format.h"

namespace rattanramp::gateway {
namespace {

void AddLoad(core::UpstreamLoad& load, const core::UpstreamLoad& part, std::int64_t sign) {
  load.running += sign * part.running;
  load.reserved_tokens += sign * part.reserved_tokens;
  load.prefill_tokens += sign * part.prefill_tokens;
}

}  // namespace

std::unique_ptr<Attempt> Attempt::Start(asio::io_context& context,
                                        std::shared_ptr<Upstream> upstream, AttemptPlan plan,
                                        AttemptListener& listener) {
  std::unique_ptr<Attempt> attempt(
      new Attempt(context, std::move(upstream), std::move(plan), listener));
  attempt->ArmTimer(attempt->plan_.first_byte_timeout);
  attempt->connection_->Send(std::move(attempt->plan_.head), attempt->plan_.body,
                             attempt->plan_.is_head_request, *attempt);
  return attempt;
}

Attempt::Attempt(asio::io_context& context, std::shared_ptr<Upstream> upstream, AttemptPlan plan,
                 AttemptListener& listener)
    : upstream_(std::move(upstream)),
      plan_(std::move(plan)),
      listener_(listener),
      connection_(AcquireConnection(*upstream_, context, DefaultClock().now())),
      timer_(context),
      timer_sequence_(std::make_shared<std::uint64_t>(0)) {
  AddLoad(upstream_->local_load, plan_.load, 1);
}

Attempt::~Attempt() {
  ReleaseLoad();
  if (connection_) {
    connection_->Close();
  }
}

bool Attempt::OnHead(const http::ResponseHead& head) {
  const core::AnswerFacts facts = platform::DecodeAnswer(head);
  // An upstream may first send the delayed answer of an earlier request on this connection. Such an
  // answer carries another request id and is skipped.
  if (!facts.request_id.empty() && facts.request_id != plan_.request_id) {
    return false;
  }
  facts_ = facts;
  ArmTimer(plan_.read_timeout);
  listener_.OnAnswerHead(head, facts);
  return true;
}

void Attempt::OnBody(std::string_view bytes) {
  ArmTimer(plan_.read_timeout);
  if (has_local_load_) {
    // The answer begins after prefill, so the prompt no longer counts as queued prefill.
    upstream_->local_load.prefill_tokens -= std::exchange(plan_.load.prefill_tokens, 0);
  }
  listener_.OnAnswerBody(bytes);
}

void Attempt::OnComplete(bool is_reusable) {
  timer_.cancel();
  ++*timer_sequence_;
  ReleaseLoad();
  std::shared_ptr<http::ClientConnection> connection = std::move(connection_);
  if (is_reusable) {
    ReleaseConnection(upstream_, std::move(connection), facts_.idle_timeout_ms,
                      DefaultClock().now());
  }
  listener_.OnAnswerComplete();
}

void Attempt::OnFailure(http::ExchangeFailure failure) {
  timer_.cancel();
  ++*timer_sequence_;
  ReleaseLoad();
  listener_.OnAttemptFailure(failure == http::ExchangeFailure::kNotConnected
                                 ? AttemptFailure::kNotConnected
                                 : AttemptFailure::kConnectionLost);
}

void Attempt::ArmTimer(Duration wait) {
  const std::uint64_t number = ++*timer_sequence_;
  if (wait == Duration::zero()) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(wait);
  std::weak_ptr<std::uint64_t> lifetime = timer_sequence_;
  timer_.async_wait([this, lifetime, number](const std::error_code& error) {
    const std::shared_ptr<std::uint64_t> current = lifetime.lock();
    if (error || !current || *current != number) {
      return;
    }
    connection_->Close();
    ReleaseLoad();
    listener_.OnAttemptFailure(AttemptFailure::kTimedOut);
  });
}

void Attempt::ReleaseLoad() {
  if (std::exchange(has_local_load_, false)) {
    AddLoad(upstream_->local_load, plan_.load, -1);
  }
}

}  // namespace rattanramp::gateway
