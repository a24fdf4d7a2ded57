#include "entry/generation_driver.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace rattanramp::entry {
namespace {

/// An attempt fails when a gap in its output makes no progress for this time.
constexpr Milliseconds kGapTimeout{1'000};
/// Interval at which missing output is requested again until kGapTimeout.
constexpr Milliseconds kGapResumeInterval{250};
constexpr core::BackOff kRetryBackOff{10.0, 1'000.0};
/// Back-off of requests that wait for free engine memory or for the retry budget.
constexpr core::BackOff kCapacityBackOff{100.0, 2'000.0};
constexpr std::int64_t kOverloadRetryAfterMs = 1'000;

Refusal MakeRefusal(const char* kind, int status, std::string message, std::string remedy) {
  Refusal refusal;
  refusal.kind = kind;
  refusal.status = status;
  refusal.message = std::move(message);
  refusal.remedy = std::move(remedy);
  return refusal;
}

Refusal NoRouteRefusal(const Error& error) {
  const bool overloaded = error.kind == ErrorKind::kOverloaded;
  Refusal refusal = MakeRefusal(overloaded ? "overloaded" : "no_upstream", kServiceUnavailable,
                                error.message, error.remedy);
  refusal.retry_after_ms = kOverloadRetryAfterMs;
  return refusal;
}

}  // namespace

GenerationDriver::GenerationDriver(const DriverContext& context, GenerationRequest request,
                                   std::string failure_domain, Milliseconds lease)
    : context_(context),
      request_(std::move(request)),
      failure_domain_(std::move(failure_domain)),
      lease_(lease),
      deadline_(request_.arrived + Milliseconds(request_.service->settings.deadline_ms)),
      mailbox_(std::make_shared<Mailbox>()),
      retry_at_(request_.arrived) {
  stats_.prompt_tokens = request_.prompt_tokens;
  context_.budgets.Count(*request_.service);
}

GenerationDriver::~GenerationDriver() { CloseRoute("the request has ended"); }

GenerationOutput GenerationDriver::Next(TimePoint until) {
  while (true) {
    if (!ready_text_.empty()) {
      GenerationOutput output{GenerationOutput::Kind::kText, std::move(ready_text_), {}};
      ready_text_.clear();
      return output;
    }
    if (phase_ == Phase::kDone) {
      return {GenerationOutput::Kind::kDone, "", {}};
    }
    if (phase_ == Phase::kFailed) {
      return {GenerationOutput::Kind::kFailed, "", refusal_};
    }
    if (context_.clock.now() >= until) {
      return {};
    }
    Step(until);
  }
}

void GenerationDriver::Cancel(const std::string& reason) {
  CloseRoute(reason);
  if (phase_ != Phase::kDone) {
    Fail(MakeRefusal("cancelled", kCallerDisconnected, reason, "send the request again"));
  }
}

void GenerationDriver::Step(TimePoint until) {
  const TimePoint now = context_.clock.now();
  if (context_.aborting.load()) {
    CloseRoute("the entry is shutting down");
    Fail(NotServing("shutting_down", "the entry was stopped before the response was complete"));
    return;
  }
  if (now >= deadline_) {
    CloseRoute("the deadline has passed");
    const int status = outcome_ == core::Outcome::kNotRun ? kServiceUnavailable : kGatewayTimeout;
    Fail(MakeRefusal("deadline", status, "the request did not finish before its deadline",
                     "retry later; the limit is the setting deadline_ms of the service"));
    return;
  }
  if (phase_ == Phase::kUnrouted && now >= retry_at_) {
    StartRoute();
    return;
  }
  if (mailbox_->events.size() == 0 && mailbox_->overflowed.exchange(false)) {
    OnOverflow();
    return;
  }
  const TimePoint wake_time = WakeTime(until);
  std::optional<RequestEvent> event = mailbox_->events.Pop(std::max(Duration(0), wake_time - now));
  if (event) {
    Handle(std::move(*event));
  }
  CheckTimeouts(context_.clock.now());
}

TimePoint GenerationDriver::WakeTime(TimePoint until) const {
  TimePoint wake_time = std::min(until, deadline_);
  if (phase_ == Phase::kUnrouted) {
    return std::min(wake_time, retry_at_);
  }
  wake_time = std::min(wake_time, LeaseEnd(decode_, lease_));
  return gap_since_ == TimePoint::max()
             ? wake_time
             : std::min(wake_time, gap_resume_sent_at_ + kGapResumeInterval);
}

RouteQuery GenerationDriver::MakeQuery() const {
  const settings::Settings& settings = request_.service->settings;
  RouteQuery query;
  query.model = request_.model;
  query.failure_domain = failure_domain_;
  query.naive = settings.policy == "naive";
  query.policy.in_place_prompt_tokens = static_cast<std::int32_t>(settings.in_place_prompt_tokens);
  query.policy.hold_margin_ms = static_cast<double>(settings.hold_margin_ms);
  query.request.prompt_tokens = request_.prompt_tokens + delivered_tokens_;
  query.request.max_output_tokens = std::max(1, request_.max_output_tokens - delivered_tokens_);
  query.request.expected_output_tokens = std::min(
      query.request.max_output_tokens, static_cast<std::int32_t>(settings.expected_output_tokens));
  query.request.first_output_target_ms = static_cast<double>(settings.first_output_target_ms);
  query.request.pace_target_ms = static_cast<double>(settings.pace_target_ms);
  query.request.patient = settings.patient;
  query.request.quarantined = CrashCount() > 0;
  query.request.seed = Hash64(request_.request_id);
  query.excluded_agents = excluded_agents_;
  return query;
}

void GenerationDriver::StartRoute() {
  const settings::Settings& settings = request_.service->settings;
  if (awaiting_budget_ && !TakeFromBudget()) {
    // A request that may wait is retried when the budget allows it instead of failing.
    ScheduleRetry(kCapacityBackOff);
    return;
  }
  if (CrashCount() >= settings.crash_limit) {
    Fail(MakeRefusal(
        "suspect", kUnprocessable, "the request has crashed upstreams and is not retried",
        "change the request, or retry after suspicion_ttl_ms, when its crash count has expired"));
    return;
  }
  Result<ChosenRoute> chosen = context_.fleet.Choose(MakeQuery());
  if (!chosen && !excluded_agents_.empty()) {
    // No other upstream is available: allow those that failed this request again.
    excluded_agents_.clear();
    chosen = context_.fleet.Choose(MakeQuery());
  }
  if (!chosen) {
    const core::FailureKind kind = chosen.error().kind == ErrorKind::kOverloaded
                                       ? core::FailureKind::kOverloaded
                                       : core::FailureKind::kUnavailable;
    const Refusal refusal = NoRouteRefusal(chosen.error());
    if (failures_ == 0 && !MayWait()) {
      Fail(refusal);
    } else {
      RetryLater(kind, refusal);
    }
    return;
  }
  route_ = std::move(chosen.value());
  prefill_ = Attempt();
  decode_ = Attempt();
  decode_started_ = false;
  gap_since_ = TimePoint::max();
  route_start_bytes_ = delivered_.size();
  attempt_base_bytes_ = delivered_.size();
  attempt_base_tokens_ = delivered_tokens_;
  if (delivered_tokens_ >= request_.max_output_tokens) {
    // All tokens were delivered but the End is missing. The last chunk is generated again so that
    // the agent sends a new End.
    attempt_base_bytes_ -= last_chunk_bytes_;
    attempt_base_tokens_ -= last_chunk_tokens_;
  }
  stream_ = core::StreamAssembler();
  stream_.next_offset = static_cast<std::int64_t>(delivered_.size() - attempt_base_bytes_);
  phase_ = Phase::kRunning;
  ++stats_.attempts;
  if (route_.route.in_place) {
    decode_started_ = true;
    SendDecode(wire::WorkKind::GENERATE);
  } else if (settings.policy == "naive") {
    SendPrefill();
  } else {
    SendDecode(wire::WorkKind::DECODE);
  }
}

bool GenerationDriver::SendDecode(wire::WorkKind::type kind) {
  Result<Attempt> opened = Open(kind, route_.decode_agent);
  if (!opened) {
    FailAttempt(route_.decode_agent, core::FailureKind::kUnavailable, core::Outcome::kNotRun,
                NoRouteRefusal(opened.error()));
    return false;
  }
  decode_ = std::move(opened.value());
  return true;
}

bool GenerationDriver::SendPrefill() {
  Result<Attempt> opened = Open(wire::WorkKind::PREFILL, route_.prefill_agent);
  if (!opened) {
    FailAttempt(route_.prefill_agent, core::FailureKind::kUnavailable, core::Outcome::kNotRun,
                NoRouteRefusal(opened.error()));
    return false;
  }
  prefill_ = std::move(opened.value());
  return true;
}

Result<Attempt> GenerationDriver::Open(wire::WorkKind::type kind, const std::string& agent_id) {
  AttemptLoad load;
  load.quarantined = CrashCount() > 0;
  if (kind != wire::WorkKind::DECODE) {
    load.prefill_tokens = request_.prompt_tokens + attempt_base_tokens_;
  }
  if (kind == wire::WorkKind::PREFILL) {
    load.pieces = core::PiecesFor(request_.prompt_tokens + attempt_base_tokens_, 0);
  } else {
    load.pieces = route_.route.pieces;
  }
  return OpenAttempt(context_, mailbox_, agent_id, MakeSubmit(kind), load);
}

wire::Submit GenerationDriver::MakeSubmit(wire::WorkKind::type kind) const {
  const settings::Settings& settings = request_.service->settings;
  const Duration remaining = deadline_ - context_.clock.now();
  wire::Submit submit;
  submit.request_id = request_.request_id;
  submit.kind = kind;
  submit.service_name = request_.service->name;
  submit.model = request_.model;
  submit.customer = settings.customer;
  submit.body = request_.prompt;
  submit.prompt_tokens = request_.prompt_tokens;
  submit.max_output_tokens = std::max(1, request_.max_output_tokens - attempt_base_tokens_);
  submit.expected_output_tokens = std::min(
      submit.max_output_tokens, static_cast<std::int32_t>(settings.expected_output_tokens));
  submit.deadline_ms = std::max<std::int64_t>(1, static_cast<std::int64_t>(ToMs(remaining)));
  submit.priority = static_cast<std::int32_t>(settings.priority);
  submit.hold_ms = static_cast<std::int64_t>(route_.route.hold_ms);
  submit.already_sent = delivered_.substr(0, attempt_base_bytes_);
  submit.fingerprint = request_.fingerprint;
  submit.crash_count = CrashCount();
  submit.repeatable = settings.repeatable;
  submit.patient = settings.patient;
  return submit;
}

void GenerationDriver::SendStartDecode() {
  wire::StartDecode start;
  start.attempt_id = decode_.id;
  start.kv_handle = prefill_done_.kv_handle;
  start.source_url = prefill_done_.source_url;
  start.kv_bytes = prefill_done_.kv_bytes;
  wire::Frame frame;
  frame.__set_start_decode(start);
  decode_started_ = true;
  const Result<void> sent = context_.links.Send(decode_.agent_id, frame);
  if (!sent) {
    FailLostAttempt(decode_, sent.error().message);
  }
}

void GenerationDriver::Handle(RequestEvent event) {
  const bool from_decode = decode_.open && event.attempt_id == decode_.id;
  const bool from_prefill = prefill_.open && event.attempt_id == prefill_.id;
  if (phase_ != Phase::kRunning || (!from_decode && !from_prefill)) {
    return;
  }
  Attempt& attempt = from_decode ? decode_ : prefill_;
  if (std::holds_alternative<LinkLost>(event.body)) {
    OnLinkLost(attempt);
    return;
  }
  if (const LinkRestored* restored = std::get_if<LinkRestored>(&event.body)) {
    OnLinkRestored(attempt, restored->incarnation);
    return;
  }
  attempt.last_message_at = context_.clock.now();
  context_.fleet.OnAcknowledged(attempt.agent_id, attempt.id);
  if (std::holds_alternative<std::unique_ptr<wire::Granted>>(event.body)) {
    OnGranted(attempt);
  } else if (const auto* refused = std::get_if<std::unique_ptr<wire::Refused>>(&event.body)) {
    OnRefused(attempt, **refused);
  } else if (const auto* done = std::get_if<std::unique_ptr<wire::PrefillDone>>(&event.body)) {
    if (from_prefill) {
      OnPrefillDone(**done);
    }
  } else if (const auto* chunk = std::get_if<std::unique_ptr<wire::Chunk>>(&event.body)) {
    if (from_decode) {
      OnChunk(**chunk);
    }
  } else if (const auto* end = std::get_if<std::unique_ptr<wire::End>>(&event.body)) {
    OnEnd(attempt, **end);
  }
}

void GenerationDriver::OnGranted(Attempt& attempt) {
  const bool decode_reserved = attempt.kind == wire::WorkKind::DECODE && !attempt.granted;
  attempt.granted = true;
  // The prefill starts only after the decode engine has reserved memory for its KV cache.
  if (decode_reserved && !decode_started_ && !prefill_.open) {
    SendPrefill();
  }
}

void GenerationDriver::OnRefused(Attempt& attempt, const wire::Refused& refused) {
  FinishAttempt(context_, attempt);
  context_.metrics.Count("agent_refusals_total{kind=\"" + FromWire(refused).kind + "\"}");
  if (refused.kind == wire::RefusalKind::LEAVING) {
    context_.fleet.OnAgentLeaving(attempt.agent_id);
  }
  FailAttempt(attempt.agent_id, FailureKindOf(refused.kind), FromWire(refused.outcome),
              FromWire(refused));
}

void GenerationDriver::OnPrefillDone(const wire::PrefillDone& done) {
  FinishAttempt(context_, prefill_);
  MergeOutcome(core::Outcome::kRan);
  stats_.prefill_tokens += done.prefill_tokens;
  prefill_tokens_without_output_ += done.prefill_tokens;
  prefill_done_ = done;
  if (!decode_.open && !SendDecode(wire::WorkKind::DECODE)) {
    return;
  }
  SendStartDecode();
}

void GenerationDriver::OnChunk(const wire::Chunk& chunk) {
  const std::string text = core::AcceptChunk(stream_, chunk.offset, chunk.data);
  if (!text.empty()) {
    const bool complete = text.size() == chunk.data.size() && chunk.tokens > 0;
    DeliverText(text, complete ? chunk.tokens : EstimateTokens(text.size()));
  }
  CheckStream();
}

void GenerationDriver::OnEnd(Attempt& attempt, const wire::End& end) {
  const bool decode = attempt.id == decode_.id;
  stats_.prefill_tokens += end.prefill_tokens;
  if (!RouteHasOutput()) {
    prefill_tokens_without_output_ += end.prefill_tokens;
  }
  if (!end.complete) {
    FinishAttempt(context_, attempt);
    const core::FailureKind kind =
        end.__isset.error ? FailureKindOf(end.error) : core::FailureKind::kUpstreamError;
    FailAttempt(attempt.agent_id, kind, FromWire(end.outcome), FromWire(end));
    return;
  }
  if (!decode) {
    return;
  }
  const Result<void> accepted = core::AcceptEnd(stream_, end.total_bytes);
  if (!accepted) {
    FinishAttempt(context_, attempt);
    FailAttempt(attempt.agent_id, core::FailureKind::kUpstreamError, core::Outcome::kRan,
                MakeRefusal("incomplete_stream", kBadGateway, accepted.error().message,
                            "send the request again"));
    return;
  }
  if (attempt_base_bytes_ == 0 && end.output_tokens > 0) {
    stats_.output_tokens = end.output_tokens;
  }
  CheckStream();
}

void GenerationDriver::CheckStream() {
  if (core::IsComplete(stream_)) {
    FinishAttempt(context_, decode_);
    phase_ = Phase::kDone;
    return;
  }
  if (!core::HasGap(stream_)) {
    gap_since_ = TimePoint::max();
    return;
  }
  const TimePoint now = context_.clock.now();
  if (gap_since_ == TimePoint::max()) {
    RequestMissingOutput(now);
  }
  if (gap_since_ == TimePoint::max() || stream_.next_offset > gap_offset_) {
    gap_since_ = now;
    gap_offset_ = stream_.next_offset;
  }
}

void GenerationDriver::RequestMissingOutput(TimePoint now) {
  gap_resume_sent_at_ = now;
  SendResume(context_, decode_, stream_.next_offset);
}

void GenerationDriver::OnOverflow() {
  // Events were dropped. After StartDecode the missing output is requested again. Before it, a
  // dropped message cannot be requested again, so the attempt fails.
  if (phase_ != Phase::kRunning) {
    return;
  }
  if (!decode_started_) {
    FailLostAttempt(prefill_.open ? prefill_ : decode_,
                    "the event queue of the request was full and events were dropped");
    return;
  }
  const std::optional<std::int64_t> incarnation = context_.links.IncarnationOf(decode_.agent_id);
  if (incarnation) {
    OnLinkRestored(decode_, *incarnation);
  } else {
    OnLinkLost(decode_);
  }
}

void GenerationDriver::OnLinkLost(Attempt& attempt) {
  // Output can be resumed, and a granted decode reservation stays valid. A missing grant or prefill
  // is not waited for: the KV cache of the prefill is evicted in less than a second.
  const bool resumable = attempt.id == decode_.id && (decode_started_ || attempt.granted);
  if (!resumable) {
    FailLostAttempt(attempt, "the link to the agent was lost");
    return;
  }
  if (!attempt.link_lost_at) {
    attempt.link_lost_at = context_.clock.now();
  }
}

void GenerationDriver::OnLinkRestored(Attempt& attempt, std::int64_t incarnation) {
  if (incarnation != attempt.incarnation) {
    FailLostAttempt(attempt, "the agent has restarted");
    return;
  }
  attempt.link_lost_at.reset();
  if (attempt.id != decode_.id) {
    return;
  }
  SendResume(context_, attempt, stream_.next_offset);
  if (decode_started_ && attempt.kind == wire::WorkKind::DECODE && !RouteHasOutput()) {
    // The first StartDecode may have been lost with the link. Agents ignore a duplicate.
    SendStartDecode();
  }
}

void GenerationDriver::CheckTimeouts(TimePoint now) {
  if (phase_ != Phase::kRunning) {
    return;
  }
  SendResumeIfInactive(context_, prefill_, lease_, 0);
  SendResumeIfInactive(context_, decode_, lease_, stream_.next_offset);
  if (now >= LeaseEnd(decode_, lease_)) {
    FailLostAttempt(decode_, "the link to the agent was down for longer than the lease");
  } else if (gap_since_ == TimePoint::max() || decode_.link_lost_at) {
    return;
  } else if (now >= gap_since_ + kGapTimeout) {
    FailLostAttempt(decode_, "the agent did not resend missing output in time");
  } else if (now >= gap_resume_sent_at_ + kGapResumeInterval) {
    RequestMissingOutput(now);
  }
}

void GenerationDriver::DeliverText(const std::string& text, std::int32_t tokens) {
  MergeOutcome(core::Outcome::kRan);
  prefill_tokens_without_output_ = 0;
  delivered_ += text;
  ready_text_ += text;
  delivered_tokens_ += tokens;
  last_chunk_bytes_ = text.size();
  last_chunk_tokens_ = tokens;
  RecordOutput(stats_, tokens, request_.arrived, context_.clock.now());
}

void GenerationDriver::FailLostAttempt(Attempt& attempt, const std::string& message) {
  const std::string agent_id = attempt.agent_id;
  const core::Outcome outcome = OutcomeOfOpenAttempt(attempt);
  FailAttempt(agent_id, core::FailureKind::kLost, outcome,
              MakeRefusal("upstream_lost", kBadGateway, message, "send the request again"));
}

void GenerationDriver::FailAttempt(const std::string& agent_id, core::FailureKind kind,
                                   core::Outcome outcome, Refusal refusal) {
  MergeOutcome(outcome);
  CloseRoute("another attempt of the request failed");
  if (kind == core::FailureKind::kCrashed) {
    ++own_crashes_;
  }
  const settings::Settings& settings = request_.service->settings;
  core::FailedAttempt failure;
  failure.kind = kind;
  failure.outcome = outcome_;
  failure.repeatable = settings.repeatable;
  failure.crash_count = CrashCount();
  failure.crash_limit = static_cast<std::int32_t>(settings.crash_limit);
  switch (core::ChooseRetryTarget(failure)) {
    case core::RetryTarget::kNoRetry:
    case core::RetryTarget::kNamedOwner:
      Fail(std::move(refusal));
      return;
    case core::RetryTarget::kOtherUpstream:
      excluded_agents_.push_back(agent_id);
      break;
    case core::RetryTarget::kAnyUpstream:
      break;
  }
  RetryLater(kind, refusal);
}

void GenerationDriver::RetryLater(core::FailureKind kind, const Refusal& refusal) {
  const Service& service = *request_.service;
  const bool waits_for_capacity = MayWait() && (kind == core::FailureKind::kOverloaded ||
                                                kind == core::FailureKind::kUnavailable ||
                                                kind == core::FailureKind::kQuarantined);
  if (waits_for_capacity) {
    // The request waits in the entry until an engine is free, so these refusals do not count
    // towards max_attempts.
    excluded_agents_.clear();
  } else if (kind == core::FailureKind::kUnavailable && outcome_ == core::Outcome::kNotRun) {
    // Nothing has run: the refusal corrects a stale fleet table and counts as a redirect, not as a
    // retry. It is limited by max_attempts but does not use the retry budget.
    if (++failures_ >= service.settings.max_attempts) {
      Fail(refusal);
      return;
    }
  } else {
    ++failures_;
    if (failures_ >= service.settings.max_attempts) {
      Fail(refusal);
      return;
    }
    refusal_ = refusal;
    if (!TakeFromBudget() && !MayWait()) {
      Fail(refusal);
      return;
    }
  }
  ScheduleRetry(waits_for_capacity || awaiting_budget_ ? kCapacityBackOff : kRetryBackOff);
}

bool GenerationDriver::MayWait() const {
  return request_.service->settings.patient || !delivered_.empty();
}

void GenerationDriver::ScheduleRetry(const core::BackOff& back_off) {
  ++retries_;
  const double wait_ms = core::BackOffMs(back_off, retries_, Hash64(request_.request_id));
  retry_at_ = context_.clock.now() + std::chrono::duration_cast<Duration>(
                                         std::chrono::duration<double, std::milli>(wait_ms));
  phase_ = Phase::kUnrouted;
}

bool GenerationDriver::TakeFromBudget() {
  const Service& service = *request_.service;
  awaiting_budget_ = !context_.budgets.Take(service, context_.clock.now());
  const char* name = awaiting_budget_ ? "retry_budget_spent_total" : "retries_total";
  context_.metrics.Count(std::string(name) + "{service=\"" + service.name + "\"}");
  return !awaiting_budget_;
}

void GenerationDriver::Fail(Refusal refusal) {
  refusal_ = std::move(refusal);
  refusal_.outcome = outcome_;
  phase_ = Phase::kFailed;
}

void GenerationDriver::CloseRoute(const std::string& reason) {
  for (Attempt* attempt : {&prefill_, &decode_}) {
    if (attempt->open) {
      MergeOutcome(OutcomeOfOpenAttempt(*attempt));
      CancelAttempt(context_, *attempt, reason);
    }
  }
  stats_.wasted_prefill_tokens += prefill_tokens_without_output_;
  prefill_tokens_without_output_ = 0;
  gap_since_ = TimePoint::max();
}

bool GenerationDriver::RouteHasOutput() const { return delivered_.size() > route_start_bytes_; }

core::Outcome GenerationDriver::OutcomeOfOpenAttempt(const Attempt& attempt) const {
  const bool only_reserved = attempt.kind == wire::WorkKind::DECODE && !decode_started_;
  return only_reserved ? core::Outcome::kNotRun : core::Outcome::kUnknown;
}

void GenerationDriver::MergeOutcome(core::Outcome outcome) {
  if (outcome_ == core::Outcome::kRan || outcome == core::Outcome::kNotRun) {
    return;
  }
  outcome_ = outcome;
}

std::int32_t GenerationDriver::CrashCount() const {
  const Milliseconds ttl(request_.service->settings.suspicion_ttl_ms);
  return std::max(own_crashes_, context_.crash_tracker.CrashCount(request_.fingerprint, ttl,
                                                                  context_.clock.now()));
}

}  // namespace rattanramp::entry
