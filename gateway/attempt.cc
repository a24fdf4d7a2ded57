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
                                        AttemptOwner& owner) {
  std::unique_ptr<Attempt> attempt(
      new Attempt(context, std::move(upstream), std::move(plan), owner));
  attempt->ArmTimer(attempt->plan_.first_byte_timeout);
  attempt->connection_->Send(std::move(attempt->plan_.head), attempt->plan_.body,
                             attempt->plan_.is_head_request, *attempt);
  return attempt;
}

Attempt::Attempt(asio::io_context& context, std::shared_ptr<Upstream> upstream, AttemptPlan plan,
                 AttemptOwner& owner)
    : upstream_(std::move(upstream)),
      plan_(std::move(plan)),
      owner_(owner),
      connection_(TakeConnection(*upstream_, context, DefaultClock().now())),
      timer_(context),
      timer_number_(std::make_shared<std::uint64_t>(0)) {
  AddLoad(upstream_->local_load, plan_.load, 1);
}

Attempt::~Attempt() {
  ReturnLoad();
  if (connection_) {
    connection_->Close();
  }
}

bool Attempt::OnHead(const http::ResponseHead& head) {
  const core::AnswerFacts facts = platform::DecodeAnswer(head);
  // An upstream may send an answer that it had lost before the one that is due.
  if (!facts.request_id.empty() && facts.request_id != plan_.request_id) {
    return false;
  }
  facts_ = facts;
  ArmTimer(plan_.silence_timeout);
  owner_.OnAnswerHead(head, facts);
  return true;
}

void Attempt::OnBody(std::string_view bytes) {
  ArmTimer(plan_.silence_timeout);
  if (has_load_) {
    // The prompt has been read once the answer begins.
    upstream_->local_load.prefill_tokens -= std::exchange(plan_.load.prefill_tokens, 0);
  }
  owner_.OnAnswerBody(bytes);
}

void Attempt::OnComplete(bool is_reusable) {
  timer_.cancel();
  ++*timer_number_;
  ReturnLoad();
  std::shared_ptr<http::ClientConnection> connection = std::move(connection_);
  if (is_reusable) {
    KeepConnection(upstream_, std::move(connection), facts_.idle_timeout_ms, DefaultClock().now());
  }
  owner_.OnAnswerComplete();
}

void Attempt::OnFailure(http::ExchangeFailure failure) {
  timer_.cancel();
  ++*timer_number_;
  ReturnLoad();
  owner_.OnAttemptFailure(failure == http::ExchangeFailure::kNotConnected
                              ? AttemptFailure::kNotSent
                              : AttemptFailure::kBroken);
}

void Attempt::ArmTimer(Duration wait) {
  const std::uint64_t number = ++*timer_number_;
  if (wait == Duration::zero()) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(wait);
  std::weak_ptr<std::uint64_t> alive = timer_number_;
  timer_.async_wait([this, alive, number](const std::error_code& error) {
    const std::shared_ptr<std::uint64_t> current = alive.lock();
    if (error || !current || *current != number) {
      return;
    }
    connection_->Close();
    ReturnLoad();
    owner_.OnAttemptFailure(AttemptFailure::kSilent);
  });
}

void Attempt::ReturnLoad() {
  if (std::exchange(has_load_, false)) {
    AddLoad(upstream_->local_load, plan_.load, -1);
  }
}

}  // namespace rattanramp::gateway
