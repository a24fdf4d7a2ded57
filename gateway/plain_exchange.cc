#include "gateway/plain_exchange.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "core/placement.h"
#include "gateway/caller_check.h"
#include "gateway/crash_guard.h"

namespace rattanramp::gateway {
namespace {

// Share of the latency target after which an unanswered repeatable request is sent to another
// upstream, if one has capacity. On average an upstream answers within a fifth of the target; one
// request in a hundred takes more than two thirds of it.
constexpr double kFirstByteTimeoutShare = 0.7;

// Silence after which an answer counts as lost and is asked for again, also at the same upstream if
// all were tried: longer than a sound upstream is silent (about a second, users' documentation).
constexpr Milliseconds kLostAnswerTime{1'500};

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
  exchange->deadline_timer_.expires_after(exchange->request_.deadline - state.clock.now());
  exchange->deadline_timer_.async_wait(
      [raw = exchange.get(),
       lifetime = std::weak_ptr<bool>(exchange->lifetime_)](const std::error_code& error) {
        if (!error && lifetime.lock()) {
          raw->OnDeadline();
        }
      });
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
  attempt_.reset();
  state_.dispatcher.Wake(request_.service->name);
}

void PlainExchange::OnCallerDisconnected() {
  if (std::exchange(is_done_, true)) {
    return;
  }
  LogRequestEnd(request_, state_, 499, "caller_gone",
                attempt_ ? "while the request ran" : "while the request was queued");
  attempt_.reset();
}

void PlainExchange::Enqueue() {
  core::QueuedRequest waiting;
  waiting.priority = request_.priority();
  waiting.due = request_.target;
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
  if (!request_.started) {
    request_.started = now;
  }
  attempt_started_ = now;
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
  const bool may_retry_elsewhere = request_.route->kind == core::RequestKind::kRepeatable &&
                                   possible_runs_ + 1 < request_.route->max_upstreams;
  if (may_retry_elsewhere) {
    plan.first_byte_timeout = Milliseconds(static_cast<std::int64_t>(
        kFirstByteTimeoutShare * static_cast<double>(request_.route->target_latency_ms)));
    // One slow request is weak evidence of an unhealthy upstream.
    plan.silence_result = core::AnswerResult::kErrorAnswer;
  }
  ++sent_attempts_;
  answer_body_.clear();
  answer_allowance_.Release();
  plan.send_before = request_.deadline;
  attempt_ = Attempt::Start(state_.context, state_.clock, upstream, std::move(plan), *this);
  return true;
}

bool PlainExchange::EndIfItMayNotRun() {
  const std::optional<CrashRefusal> refusal = CheckAttempt(request_, state_);
  if (refusal) {
    EndUnanswered(502, refusal->reason, refusal->retry_after_ms);
  }
  return refusal.has_value();
}

void PlainExchange::OnDeadline() {
  EndUnanswered(504,
                attempt_ ? "deadline passed during an attempt" : "deadline passed in the queue",
                std::nullopt);
}

bool PlainExchange::IsTooLateInStop() const {
  return state_.stop && !core::CanEndInTime(*state_.stop, state_.clock.now(), request_.deadline,
                                            ExpectedDuration(request_, state_));
}

void PlainExchange::OnStopProgress() {
  if (!attempt_ && IsTooLateInStop()) {
    EndForStop();
  }
}

void PlainExchange::EndForStop() {
  EndUnanswered(502,
                attempt_ ? "the process stops during an attempt"
                         : "the process stops while the request is queued",
                core::kStopRetryAfter.count());
}

void PlainExchange::EndUnanswered(int unknown_status, std::string_view reason,
                                  std::optional<std::int64_t> retry_after_ms) {
  if (std::exchange(is_done_, true)) {
    return;
  }
  const bool may_have_run = possible_runs_ > 0 || (attempt_ && attempt_->has_sent());
  attempt_.reset();
  if (may_have_run) {
    AnswerOutcomeUnknown(request_, state_, sink_, unknown_status, reason);
  } else {
    AnswerNotRun(request_, state_, sink_, reason, retry_after_ms);
  }
}

void PlainExchange::EndAfterRefusal(std::string_view reason, std::int64_t retry_after_ms) {
  attempt_.reset();
  EndUnanswered(502, reason, retry_after_ms);
}

bool PlainExchange::Retry(bool may_have_run, std::string_view why) {
  if (may_have_run && (request_.route->kind != core::RequestKind::kRepeatable ||
                       possible_runs_ >= request_.route->max_upstreams)) {
    return false;
  }
  const bool has_sent_attempt = sent_attempts_ > 0;
  if (has_sent_attempt && !TakeRetry()) {
    return false;
  }
  LogRequestStep(request_, "try_again", attempt_->upstream(), why);
  attempt_.reset();
  if (state_.fleet.OfService(request_.service->name).size() <= request_.tried.size()) {
    request_.tried.clear();
  }
  Enqueue();
  return true;
}

bool PlainExchange::TakeRetry() {
  return std::exchange(has_retry_, false) || TakeExtraArrival(state_, request_.service->name);
}

bool PlainExchange::OnSilence(Duration silent_for) {
  // Ending the attempt is of use only if another upstream can take the request at once; until then
  // this one may still answer.
  if (IsTooLateInStop()) {
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
  return has_retry_;
}

void PlainExchange::OnAnswerHead(const http::ResponseHead& head, const core::AnswerFacts& facts) {
  answer_head_ = head;
  answer_facts_ = facts;
  if (!facts.wrong_instance) {
    RecordRunningUpstream(state_, attempt_->upstream(), attempt_started_);
  }
}

BodyProgress PlainExchange::OnAnswerBody(std::string_view bytes) {
  if (!answer_allowance_.Take(bytes.size())) {
    return BodyProgress::kTooLarge;
  }
  answer_body_.append(bytes);
  return BodyProgress::kProgress;
}

void PlainExchange::OnAnswerComplete() {
  if (is_done_) {
    return;
  }
  const TimePoint now = state_.clock.now();
  const int status = answer_head_.status;
  core::UpstreamHealth& health = attempt_->upstream().health;
  state_.dispatcher.Wake(request_.service->name);
  if (answer_facts_.wrong_instance) {
    ExcludeMisdirected(state_, attempt_->upstream());
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
    RecordAnsweredStart(request_, state_, attempt_started_);
  }
  if (status >= 500 && Retry(true, "the upstream answered with a server error")) {
    return;
  }
  ForwardAnswer();
}

void PlainExchange::ForwardAnswer() {
  is_done_ = true;
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
    core::RecordAnswer(attempt_->upstream().health, core::AnswerResult::kNoAnswer, now);
    --sent_attempts_;
    if (++failed_connections_ >= kMaxFailedConnections || !Retry(false, "connection failed")) {
      EndAfterRefusal("connections to the upstreams failed", kNoUpstreamRetryMs);
    }
    return;
  }
  ++possible_runs_;
  if (failure != AttemptFailure::kTimedOut) {
    core::RecordAnswer(attempt_->upstream().health, core::AnswerResult::kLost, now);
  }
  if (IsConnectionLost(failure)) {
    RecordStartLoss(request_, state_, attempt_->upstream(), attempt_started_);
  }
  if (!Retry(true, FailureName(failure))) {
    is_done_ = true;
    AnswerOutcomeUnknown(request_, state_, sink_, 502,
                         "connection to the upstream lost before the complete answer");
  }
}

}  // namespace rattanramp::gateway
