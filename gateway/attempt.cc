#include "gateway/attempt.h"

#include <utility>

#include "base/log.h"
#include "platform/request_format.h"

namespace rattanramp::gateway {
namespace {

// Interval at which the listener is asked again about an attempt that goes on although its upstream
// is silent.
constexpr Milliseconds kSilenceCheckInterval{100};

AttemptFailure AttemptFailureOf(http::ExchangeFailure failure) {
  switch (failure) {
    case http::ExchangeFailure::kNotConnected:
      return AttemptFailure::kNotConnected;
    case http::ExchangeFailure::kMalformed:
      return AttemptFailure::kMalformed;
    case http::ExchangeFailure::kConnectionClosed:
      return AttemptFailure::kConnectionClosed;
    case http::ExchangeFailure::kConnectionReset:
      break;
  }
  return AttemptFailure::kConnectionReset;
}

void AddLoad(core::UpstreamLoad& load, const core::UpstreamLoad& part, std::int64_t sign) {
  load.running += sign * part.running;
  load.reserved_tokens += sign * part.reserved_tokens;
  load.prefill_tokens += sign * part.prefill_tokens;
}

}  // namespace

std::string_view FailureName(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNotConnected:
      return "not connected";
    case AttemptFailure::kConnectionClosed:
      return "connection closed";
    case AttemptFailure::kConnectionReset:
      return "connection reset";
    case AttemptFailure::kMalformed:
      return "malformed answer";
    case AttemptFailure::kTimedOut:
      break;
  }
  return "silent";
}

std::unique_ptr<Attempt> Attempt::Start(asio::io_context& context, const Clock& clock,
                                        std::shared_ptr<Upstream> upstream, AttemptPlan plan,
                                        AttemptListener& listener) {
  std::unique_ptr<Attempt> attempt(
      new Attempt(context, clock, std::move(upstream), std::move(plan), listener));
  attempt->TimeSilence(attempt->plan_.first_byte_timeout);
  attempt->connection()->SetDeliveryTimeout(attempt->plan_.delivery_timeout);
  attempt->connection()->Send(std::move(attempt->plan_.head), attempt->plan_.body,
                              attempt->plan_.is_head_request, *attempt);
  return attempt;
}

Attempt::Attempt(asio::io_context& context, const Clock& clock, std::shared_ptr<Upstream> upstream,
                 AttemptPlan plan, AttemptListener& listener)
    : clock_(clock),
      upstream_(std::move(upstream)),
      plan_(std::move(plan)),
      listener_(&listener),
      upstream_connection_(AcquireConnection(*upstream_, context, plan_.request_id, clock.now())),
      sent_before_(connection()->requests_sent()),
      timer_(context),
      timer_sequence_(std::make_shared<std::uint64_t>(0)) {
  AddLoad(upstream_->local_load, plan_.load, 1);
}

Attempt::~Attempt() {
  ReleaseLoad();
  if (connection()) {
    connection()->Close();
  }
}

void Attempt::PauseReading() {
  is_paused_ = true;
  was_paused_ = true;
  ++*timer_sequence_;
  timer_.cancel();
  connection()->PauseReading();
}

void Attempt::ResumeReading() {
  is_paused_ = false;
  TimeSilence(plan_.read_timeout);
  connection()->ResumeReading();
}

bool Attempt::OnHead(const http::ResponseHead& head) {
  const core::AnswerFacts facts = platform::DecodeAnswer(head);
  if (facts.is_contradictory) {
    connection()->Close();
    OnFailure(http::ExchangeFailure::kMalformed);
    return false;
  }
  // An upstream may first send the delayed answer of an earlier request on this connection. It is
  // skipped. Upstreams state the request id in each answer; without it, only the first answer on a
  // connection can be attributed.
  const bool is_attributed = facts.request_id.empty() ? connection()->requests_sent() == 1
                                                      : facts.request_id == plan_.request_id;
  if (!is_attributed) {
    return false;
  }
  facts_ = facts;
  RecordOwnStatement(*upstream_, facts, clock_.now());
  if (!facts.wrong_instance) {
    RecordLifeSign(*upstream_, clock_.now());
  }
  TimeSilence(plan_.read_timeout);
  listener_->OnAnswerHead(head, facts);
  return true;
}

void Attempt::OnBody(std::string_view bytes) {
  if (has_local_load_) {
    // The answer begins after prefill, so the prompt no longer counts as queued prefill.
    upstream_->local_load.prefill_tokens -= std::exchange(plan_.load.prefill_tokens, 0);
  }
  if (!facts_.wrong_instance && !was_paused_) {
    RecordLifeSign(*upstream_, clock_.now());
  }
  const std::weak_ptr<std::uint64_t> lifetime = timer_sequence_;
  const BodyProgress progress = listener_->OnAnswerBody(bytes);
  if (lifetime.expired()) {
    return;
  }
  if (progress == BodyProgress::kProgress) {
    TimeSilence(plan_.read_timeout);
  } else if (progress != BodyProgress::kNone) {
    connection()->Close();
    OnFailure(http::ExchangeFailure::kMalformed);
  }
}

void Attempt::OnComplete(bool is_reusable) {
  timer_.cancel();
  ++*timer_sequence_;
  ReleaseLoad();
  UpstreamConnection finished = std::exchange(upstream_connection_, {});
  if (is_reusable) {
    ReleaseConnection(upstream_, std::move(finished), facts_.idle_timeout_ms, clock_.now());
  }
  listener_->OnAnswerComplete();
}

void Attempt::OnFailure(http::ExchangeFailure failure) {
  timer_.cancel();
  ++*timer_sequence_;
  ReleaseLoad();
  if (failure == http::ExchangeFailure::kNotConnected) {
    // The attempt may have been given up before it was sent.
    if (MaySend()) {
      RecordFailureSign(*upstream_, core::FailureSign::kNotConnected, clock_.now());
    }
  } else if (failure != http::ExchangeFailure::kMalformed) {
    RecordFailureSign(*upstream_, core::FailureSign::kConnectionLost, clock_.now());
  }
  listener_->OnAttemptFailure(AttemptFailureOf(failure));
}

void Attempt::TimeSilence(Duration timeout) {
  silent_for_ = Duration::zero();
  ArmTimer(timeout);
}

void Attempt::ArmTimer(Duration wait) {
  const std::uint64_t number = ++*timer_sequence_;
  if (wait == Duration::zero() || is_paused_) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(wait);
  std::weak_ptr<std::uint64_t> lifetime = timer_sequence_;
  timer_.async_wait([this, lifetime, number, wait](const std::error_code& error) {
    const std::shared_ptr<std::uint64_t> current = lifetime.lock();
    if (!error && current && *current == number) {
      OnTimer(wait);
    }
  });
}

void Attempt::OnTimer(Duration waited) {
  const bool is_first = silent_for_ == Duration::zero();
  if (is_first && plan_.silence_result) {
    core::RecordAnswer(upstream_->health, *plan_.silence_result, clock_.now());
  }
  silent_for_ += waited;
  if (!listener_->OnSilence(silent_for_)) {
    if (is_first) {
      Log(LogLevel::kInfo, "silent_attempt_continues",
          {{"request", plan_.request_id},
           {"upstream", upstream_->info.id},
           {"silent_ms", ToMs(silent_for_)}});
    }
    ArmTimer(kSilenceCheckInterval);
    return;
  }
  connection()->Close();
  ReleaseLoad();
  listener_->OnAttemptFailure(AttemptFailure::kTimedOut);
}

void Attempt::ReleaseLoad() {
  if (std::exchange(has_local_load_, false)) {
    AddLoad(upstream_->local_load, plan_.load, -1);
  }
}

}  // namespace rattanramp::gateway
