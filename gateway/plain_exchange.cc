#include "gateway/plain_exchange.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <asio/post.hpp>
#include <utility>
#include <vector>

#include "core/placement.h"
#include "gateway/caller_check.h"
#include "gateway/crash_guard.h"
#include "gateway/speed_exchange.h"

namespace rattanramp::gateway {
namespace {

// Share of the latency target after which an unanswered repeatable request is sent to another
// upstream, if one has capacity. On average an upstream answers within a fifth of the target; one
// request in a hundred takes more than two thirds of it.
constexpr double kFirstByteTimeoutShare = 0.7;

// Silence after which an answer counts as lost and is asked for again, also at the same upstream if
// all were tried: longer than a sound upstream is silent (about a second, users' documentation).
constexpr Milliseconds kLostAnswerTime{1'500};

// Time until another server is asked again while one is silent, doubled each time.
constexpr Milliseconds kMoveBackOff{100};

// Retry-After when a service has no usable upstream. The initial back-off after a failed answer has
// ended by then.
constexpr std::int64_t kNoUpstreamRetryMs = 400;

// Retry-After when the upstreams have no capacity: a few times the duration of one request.
constexpr std::int64_t kNoCapacityRetryMs = 100;

// Failed connections for one request after which it is refused.
constexpr std::int64_t kMaxFailedConnections = 4;

}  // namespace

std::unique_ptr<PlainExchange> PlainExchange::Start(RequestContext request, GatewayState& state,
                                                    CallerSink& sink) {
  std::unique_ptr<PlainExchange> exchange(new PlainExchange(std::move(request), state, sink));
  MarkSentAgain(exchange->request_, state);
  exchange->WaitUntil(
      std::min(LatestStart(exchange->request_, state), exchange->request_.deadline));
  PrepareCrashGuard(exchange->request_);
  if (!exchange->EndIfItMayNotRun()) {
    exchange->Enqueue();
  }
  return exchange;
}

PlainExchange::PlainExchange(RequestContext request, GatewayState& state, CallerSink& sink)
    : request_(std::move(request)),
      state_(state),
      sink_(sink),
      deadline_timer_(state.context),
      answer_allowance_(state.answer_budget) {}

PlainExchange::~PlainExchange() {
  if (queue_id_ != 0) {
    state_.dispatcher.Remove(request_.service->name, queue_id_);
  }
  silent_.reset();
  call_.attempt.reset();
  state_.dispatcher.Wake(request_.service->name);
}

void PlainExchange::WaitUntil(TimePoint time) {
  deadline_timer_.expires_after(std::max(Duration(0), time - state_.clock.now()));
  deadline_timer_.async_wait(
      [this, lifetime = std::weak_ptr<bool>(lifetime_)](const std::error_code& error) {
        if (!error && lifetime.lock()) {
          OnTimer();
        }
      });
}

void PlainExchange::OnTimer() {
  if (state_.clock.now() >= request_.deadline) {
    OnDeadline();
  } else if (!RefuseIfHopeless()) {
    WaitUntil(request_.deadline);
  }
}

bool PlainExchange::RefuseIfHopeless() {
  if (queue_id_ == 0 || call_.attempt || possible_runs_ > 0 || is_done_) {
    return false;
  }
  const std::optional<Duration> wait = state_.dispatcher.ExpectedLateWait(request_.service->name);
  const TimePoint now = state_.clock.now();
  if (wait && now + *wait + PlannedServiceTime(request_, state_) <= request_.deadline) {
    return false;
  }
  CountRefusal(request_, state_, "late_queue");
  EndUnanswered(503, "no capacity before the deadline", RetryAfterBurstMs(request_, state_));
  return true;
}

void PlainExchange::OnCallerDisconnected() {
  if (std::exchange(is_done_, true)) {
    return;
  }
  LogRequestEnd(request_, state_, 499, "caller_gone",
                call_.attempt ? "while the request ran" : "while the request was queued");
  silent_.reset();
  call_.attempt.reset();
}

void PlainExchange::OnBytesSent() {
  if (std::exchange(is_paused_, false) && call_.attempt && !is_done_) {
    call_.attempt->ResumeReading();
  }
}

void PlainExchange::Enqueue() {
  core::QueuedRequest waiting;
  waiting.priority = request_.priority();
  waiting.workspace = std::string(request_.workspace_name());
  waiting.due = LatestStart(request_, state_);
  waiting.deadline = request_.deadline;
  queue_id_ =
      state_.dispatcher.Add(request_.service->name, waiting, 0, [this] { return TryStart(); });
}

bool PlainExchange::TryStart() {
  if (is_done_) {
    queue_id_ = 0;
    return true;
  }
  const TimePoint now = state_.clock.now();
  if (now >= request_.deadline) {
    // The process was paused, so the deadline timer has not expired yet.
    queue_id_ = 0;
    OnDeadline();
    return true;
  }
  if (IsTooLateInStop()) {
    queue_id_ = 0;
    EndForStop();
    return true;
  }
  const std::uint64_t queue_id = std::exchange(queue_id_, 0);
  if (EndIfItMayNotRun()) {
    return true;
  }
  queue_id_ = queue_id;
  std::vector<core::PlacementCandidate> candidates;
  state_.fleet.FillCandidates(request_.service->name, *request_.service, request_.tried, {}, now,
                              candidates);
  const std::optional<std::size_t> placement = core::PlacePlain(candidates, request_.seed);
  if (!placement) {
    const bool has_usable =
        std::any_of(candidates.begin(), candidates.end(),
                    [](const core::PlacementCandidate& c) { return c.is_usable; });
    if (has_usable) {
      return false;
    }
    const std::optional<TimePoint> paused_until =
        state_.fleet.PausedUntil(request_.service->name, core::UpstreamStage::kPlain, now);
    if (paused_until && *paused_until < request_.target) {
      return false;
    }
    queue_id_ = 0;
    if (paused_until) {
      EndAfterRefusal("all upstreams have asked for a pause",
                      std::chrono::duration_cast<Milliseconds>(*paused_until - now).count());
      return true;
    }
    EndAfterRefusal("the service has no usable upstream", kNoUpstreamRetryMs);
    return true;
  }
  queue_id_ = 0;
  const std::shared_ptr<Upstream>& upstream =
      state_.fleet.OfService(request_.service->name)[*placement];
  request_.tried.push_back(upstream->key);
  request_.tried_ids.push_back(upstream->info.id);
  RecordFirstStart(request_, state_);
  call_.started = now;
  call_.running_before = upstream->local_load.running + upstream->peer_load.running;
  AttemptPlan plan;
  platform::UpstreamRequest call;
  call.instance = upstream->info.id;
  call.remaining_ms = RemainingMs(request_, now);
  call.workspace = request_.workspace_name();
  plan.head = platform::EncodeUpstreamRequest(request_.head, request_.body->size(), call);
  plan.body = request_.body;
  plan.request_id = request_.facts.request_id;
  plan.is_head_request = request_.head.method == "HEAD";
  plan.load.running = 1;
  if (MayMoveLater()) {
    plan.first_byte_timeout = Milliseconds(static_cast<std::int64_t>(
        kFirstByteTimeoutShare * static_cast<double>(request_.route->target_latency_ms)));
    // One slow request is weak evidence of an unhealthy upstream.
    plan.silence_result = core::AnswerResult::kErrorAnswer;
  }
  ++sent_attempts_;
  answer_body_ = {};
  answer_allowance_.Release();
  sink_.KeepAnswer(0);
  is_paused_ = false;
  plan.send_before = request_.deadline;
  call_.attempt = Attempt::Start(state_.context, state_.clock, upstream, std::move(plan), *this);
  return true;
}

bool PlainExchange::EndIfItMayNotRun() {
  const std::optional<CrashRefusal> refusal = CheckAttempt(request_, state_);
  if (refusal) {
    EndAfterRefusal(refusal->reason, refusal->retry_after_ms);
  }
  return refusal.has_value();
}

void PlainExchange::OnDeadline() {
  EndUnanswered(
      504, call_.attempt ? "deadline passed during an attempt" : "deadline passed in the queue",
      std::nullopt);
}

bool PlainExchange::IsTooLateInStop() const {
  return state_.stop && !core::CanEndInTime(*state_.stop, state_.clock.now(), request_.deadline,
                                            ExpectedDuration(request_, state_));
}

void PlainExchange::OnStopProgress() {
  if (!call_.attempt && IsTooLateInStop()) {
    EndForStop();
  }
}

void PlainExchange::EndForStop() {
  EndUnanswered(502,
                call_.attempt ? "the process stops during an attempt"
                              : "the process stops while the request is queued",
                core::kStopRetryAfter.count());
}

void PlainExchange::EndUnanswered(int unknown_status, std::string_view reason,
                                  std::optional<std::int64_t> retry_after_ms) {
  if (std::exchange(is_done_, true)) {
    return;
  }
  const bool may_have_run =
      possible_runs_ > 0 || silent_ || (call_.attempt && call_.attempt->has_sent());
  silent_.reset();
  call_.attempt.reset();
  if (may_have_run) {
    AnswerOutcomeUnknown(request_, state_, sink_, unknown_status, reason);
  } else {
    AnswerNotRun(request_, state_, sink_, reason, retry_after_ms);
  }
}

void PlainExchange::EndAfterRefusal(std::string_view reason, std::int64_t retry_after_ms) {
  if (TakeBackSilentCall()) {
    return;
  }
  call_.attempt.reset();
  EndUnanswered(502, reason, retry_after_ms);
}

bool PlainExchange::Retry(bool may_have_run, std::string_view why) {
  if (silent_) {
    LogRequestStep(request_, "try_again", call_.attempt->upstream(), why);
    if (!may_have_run) {
      // The server may have free capacity when it is asked again.
      std::erase(request_.tried, call_.attempt->upstream().key);
    }
    call_.attempt.reset();
    return TakeBackSilentCall();
  }
  if (may_have_run && (request_.route->kind != core::RequestKind::kRepeatable ||
                       possible_runs_ >= request_.route->max_upstreams)) {
    return false;
  }
  const bool has_sent_attempt = sent_attempts_ > 0;
  if (has_sent_attempt && !TakeRetry()) {
    return false;
  }
  LogRequestStep(request_, "try_again", call_.attempt->upstream(), why);
  call_.attempt.reset();
  if (state_.fleet.OfService(request_.service->name).size() <= request_.tried.size()) {
    request_.tried.clear();
  }
  Enqueue();
  return true;
}

bool PlainExchange::TakeRetry() {
  return std::exchange(has_retry_, false) || TakeExtraArrival(state_, request_.service->name);
}

bool PlainExchange::MayMoveLater() const {
  return request_.route->kind == core::RequestKind::kRepeatable &&
         possible_runs_ + (silent_ ? 2 : 1) < request_.route->max_upstreams;
}

bool PlainExchange::OnSilence(Duration silent_for) {
  // Another server is of use only if it can take the request at once.
  if (IsTooLateInStop() || !MayMoveLater() || state_.clock.now() < next_move_) {
    return false;
  }
  std::vector<core::PlacementCandidate> candidates;
  state_.fleet.FillCandidates(request_.service->name, *request_.service, request_.tried, {},
                              state_.clock.now(), candidates);
  const bool has_other = core::PlacePlain(candidates, request_.seed).has_value();
  const bool may_be_lost =
      silent_for >= kLostAnswerTime &&
      state_.fleet.OfService(request_.service->name).size() <= request_.tried.size();
  has_retry_ = (has_other || may_be_lost) && TakeRetry();
  if (!has_retry_ || silent_) {
    return has_retry_;
  }
  if (!std::exchange(is_move_planned_, true)) {
    // Not in the call of an attempt, which may have to be ended.
    asio::post(state_.context, [this, lifetime = std::weak_ptr<bool>(lifetime_)] {
      if (lifetime.lock()) {
        AskOtherServer();
      }
    });
  }
  return false;
}

void PlainExchange::AskOtherServer() {
  is_move_planned_ = false;
  if (is_done_ || silent_ || !call_.attempt || call_.attempt->silent_for() == Duration::zero()) {
    return;
  }
  LogRequestStep(request_, "try_again", call_.attempt->upstream(), "silent");
  SilentCallOwner& owner = *this;
  silent_ = std::make_unique<SilentCall>(std::exchange(call_, {}), owner);
  if (state_.fleet.OfService(request_.service->name).size() <= request_.tried.size()) {
    request_.tried.clear();
  }
  has_retry_ = false;
  if (!TryStart()) {
    // Another request took the capacity first, so nothing was sent.
    has_retry_ = true;
    TakeBackSilentCall();
  }
}

bool PlainExchange::TakeBackSilentCall() {
  if (!silent_) {
    return false;
  }
  possible_runs_ += call_.attempt && call_.attempt->has_sent() ? 1 : 0;
  PlainCall call = silent_->Release();
  silent_.reset();
  answer_body_ = {};
  answer_allowance_.Release();
  sink_.KeepAnswer(0);
  is_paused_ = false;
  call_ = std::move(call);
  next_move_ = state_.clock.now() + kMoveBackOff * (1 << std::min(taken_back_++, 4));
  return true;
}

void PlainExchange::OnCallAnswered() { TakeBackSilentCall(); }

void PlainExchange::OnCallLost(AttemptFailure failure, bool is_refused) {
  const PlainCall lost = silent_->Release();
  silent_.reset();
  possible_runs_ += is_refused ? 0 : 1;
  core::RecordAnswer(lost.attempt->upstream().health,
                     is_refused ? core::AnswerResult::kErrorAnswer : core::AnswerResult::kLost,
                     state_.clock.now());
  if (IsConnectionLost(failure) && !is_refused) {
    RecordStartLoss(request_, state_, lost.attempt->upstream(), lost.started);
  }
}

void PlainExchange::OnAnswerHead(const http::ResponseHead& head, const core::AnswerFacts& facts) {
  answer_head_ = head;
  answer_facts_ = facts;
  if (!facts.wrong_instance) {
    RecordRunningUpstream(state_, call_.attempt->upstream(), call_.started);
  }
}

BodyProgress PlainExchange::OnAnswerBody(std::string_view bytes) {
  if (!answer_allowance_.Take(bytes.size())) {
    return BodyProgress::kTooLarge;
  }
  answer_body_.append(bytes);
  if (!sink_.KeepAnswer(answer_body_.size())) {
    is_paused_ = true;
    call_.attempt->PauseReading();
  }
  return BodyProgress::kProgress;
}

void PlainExchange::OnAnswerComplete() {
  if (is_done_) {
    return;
  }
  const TimePoint now = state_.clock.now();
  const int status = answer_head_.status;
  core::UpstreamHealth& health = call_.attempt->upstream().health;
  state_.dispatcher.Wake(request_.service->name);
  if (answer_facts_.wrong_instance) {
    ExcludeMisdirected(state_, call_.attempt->upstream());
    if (!Retry(false, "another process answers at the upstream's address")) {
      EndAfterRefusal("the upstream was replaced by another process", kNoCapacityRetryMs);
    }
    return;
  }
  if (answer_facts_.not_run) {
    core::RecordAnswer(health, core::AnswerResult::kErrorAnswer, now);
    if (!Retry(false, "the upstream refused the request")) {
      EndAfterRefusal("the upstreams have no capacity", kNoCapacityRetryMs);
    }
    return;
  }
  ++possible_runs_;
  if (!core::IsAnswerOfRun(answer_facts_, status)) {
    core::RecordAnswer(health, core::AnswerResult::kNoAnswer, now);
    constexpr std::string_view kReason =
        "answer without a signature, with an encoding, or with an unfounded refusal";
    if (!Retry(true, kReason)) {
      is_done_ = true;
      AnswerOutcomeUnknown(request_, state_, sink_, 502, kReason);
    }
    return;
  }
  core::RecordAnswer(
      health, status >= 500 ? core::AnswerResult::kErrorAnswer : core::AnswerResult::kSuccess, now);
  if (status < 500) {
    RecordPlainAnswer(request_, state_, call_.attempt->upstream(), now - call_.started,
                      call_.running_before);
    RecordAnsweredStart(request_, state_, call_.started);
    core::RecordServiceTime(state_.service_times[request_.service->name], now - call_.started, now);
  }
  if (status >= 500 && Retry(true, "the upstream answered with a server error")) {
    return;
  }
  ForwardAnswer();
}

void PlainExchange::ForwardAnswer() {
  is_done_ = true;
  silent_.reset();
  if (answer_head_.status < 500) {
    CountIfOnTime(request_, state_, state_.clock.now());
  }
  LogRequestEnd(request_, state_, answer_head_.status, "answered",
                fmt::format("framing {}", http::FramingName(answer_head_.framing)));
  ForwardWholeAnswer(sink_, answer_head_, std::move(answer_body_));
}

void PlainExchange::OnAttemptFailure(AttemptFailure failure) {
  if (is_done_) {
    return;
  }
  const TimePoint now = state_.clock.now();
  state_.dispatcher.Wake(request_.service->name);
  if (failure == AttemptFailure::kNotConnected) {
    core::RecordAnswer(call_.attempt->upstream().health, core::AnswerResult::kNoAnswer, now);
    --sent_attempts_;
    if (++failed_connections_ >= kMaxFailedConnections || !Retry(false, "connection failed")) {
      EndAfterRefusal("connections to the upstreams failed", kNoUpstreamRetryMs);
    }
    return;
  }
  ++possible_runs_;
  if (failure != AttemptFailure::kTimedOut) {
    core::RecordAnswer(call_.attempt->upstream().health, core::AnswerResult::kLost, now);
  }
  if (IsConnectionLost(failure)) {
    RecordStartLoss(request_, state_, call_.attempt->upstream(), call_.started);
  }
  if (!Retry(true, FailureName(failure))) {
    is_done_ = true;
    AnswerOutcomeUnknown(request_, state_, sink_, 502,
                         "connection to the upstream lost before the complete answer");
  }
}

}  // namespace rattanramp::gateway
