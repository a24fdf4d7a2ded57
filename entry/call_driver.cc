#include "entry/call_driver.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/ids.h"

namespace rattanramp::entry {
namespace {

/// Interval of the checks whether the caller has disconnected.
constexpr Milliseconds kCallerCheckInterval{200};
/// Maximum wait for a link to an agent that is dialled on demand or redialled.
constexpr Milliseconds kLinkTimeout{2'000};
/// Maximum wait for the KeyIssued response of one agent.
constexpr Milliseconds kIssueKeyTimeout{1'000};
constexpr core::BackOff kRetryBackOff{5.0, 500.0};
constexpr const char* kIssuedKeyPrefix = "rr1.";
constexpr int kKeyFieldsAfterAgent = 3;
/// Maximum number of consecutive redirects to another owner of an idempotency key.
constexpr std::int32_t kMaxOwnerRedirects = 3;

Refusal MakeRefusal(const char* kind, int status, std::string message, std::string remedy) {
  Refusal refusal;
  refusal.kind = kind;
  refusal.status = status;
  refusal.message = std::move(message);
  refusal.remedy = std::move(remedy);
  return refusal;
}

Refusal UpstreamLostRefusal(const std::string& message) {
  Refusal refusal =
      MakeRefusal("upstream_lost", kBadGateway, message,
                  "retry with the same Idempotency-Key, or check the state of the service");
  refusal.outcome = core::Outcome::kUnknown;
  return refusal;
}

}  // namespace

std::string AgentOfIssuedKey(const std::string& key) {
  if (!key.starts_with(kIssuedKeyPrefix)) {
    return "";
  }
  // The agent id may contain dots; the fields after it do not.
  std::size_t end = key.size();
  for (int i = 0; i < kKeyFieldsAfterAgent; ++i) {
    end = key.rfind('.', end - 1);
    if (end == std::string::npos || end < 4) {
      return "";
    }
  }
  const std::size_t begin = std::string_view(kIssuedKeyPrefix).size();
  return end > begin ? key.substr(begin, end - begin) : "";
}

CallDriver::CallDriver(const DriverContext& context, CallRequest request, Milliseconds lease,
                       std::function<bool()> caller_disconnected)
    : context_(context),
      request_(std::move(request)),
      lease_(lease),
      caller_disconnected_(std::move(caller_disconnected)),
      deadline_(request_.arrived + Milliseconds(request_.service->settings.deadline_ms)),
      fingerprint_(Fingerprint(request_.service->name, request_.method + " " + request_.path,
                               request_.body)),
      mailbox_(std::make_shared<Mailbox>()) {
  if (!request_.service->settings.repeatable) {
    pinned_agent_ = AgentOfIssuedKey(request_.idempotency_key);
  }
  context_.budgets.Count(*request_.service);
}

CallDriver::~CallDriver() = default;

RefusalOr<CallAnswer> CallDriver::Run() {
  if (CrashCount() >= request_.service->settings.crash_limit) {
    return MakeRefusal(
        "suspect", kUnprocessable, "the request has crashed upstreams and is not retried",
        "change the request, or retry after suspicion_ttl_ms, when its crash count has expired");
  }
  while (true) {
    RefusalOr<std::string> agent = ChooseAgent();
    if (!agent && !excluded_agents_.empty()) {
      // No other upstream is available: allow those that failed this request again.
      excluded_agents_.clear();
      agent = ChooseAgent();
    }
    if (!agent) {
      Refusal refusal = std::move(agent.error());
      refusal.outcome = outcome_;
      return refusal;
    }
    AttemptResult result = RunAttempt(agent.value());
    if (result) {
      return std::move(result.value());
    }
    Failure& failure = result.error();
    if (outcome_ != core::Outcome::kRan && failure.refusal.outcome != core::Outcome::kNotRun) {
      outcome_ = failure.refusal.outcome;
    }
    if (!PrepareRetry(failure, agent.value())) {
      failure.refusal.outcome = outcome_;
      return std::move(failure.refusal);
    }
  }
}

RefusalOr<std::string> CallDriver::ChooseAgent() const {
  if (!owner_agent_.empty()) {
    return owner_agent_;
  }
  if (!pinned_agent_.empty()) {
    return pinned_agent_;
  }
  Result<std::string> chosen =
      context_.fleet.ChooseServiceAgent(request_.service->name, excluded_agents_);
  if (!chosen) {
    Refusal refusal = MakeRefusal("no_upstream", kServiceUnavailable, chosen.error().message,
                                  chosen.error().remedy);
    refusal.retry_after_ms = kLinkTimeout.count();
    return refusal;
  }
  return chosen.value();
}

CallDriver::AttemptResult CallDriver::RunAttempt(const std::string& agent_id) {
  stream_ = core::StreamAssembler();
  answer_ = CallAnswer();
  Failure unreachable;
  unreachable.kind = core::FailureKind::kUnavailable;
  unreachable.refusal = MakeRefusal("agent_unreachable", kServiceUnavailable,
                                    "no link to agent '" + agent_id + "'; the request was not sent",
                                    "retry with the same Idempotency-Key");
  if (!WaitForLink(agent_id)) {
    return unreachable;
  }
  AttemptLoad load;
  load.quarantined = CrashCount() > 0;
  Result<Attempt> opened = OpenAttempt(context_, mailbox_, agent_id, MakeSubmit(), load);
  if (!opened) {
    unreachable.refusal.message = opened.error().message;
    return unreachable;
  }
  ++stats_.attempts;
  Attempt attempt = std::move(opened.value());
  AttemptResult result = WaitForAnswer(attempt);
  CancelAttempt(context_, attempt, "the entry has ended the attempt");
  return result;
}

bool CallDriver::WaitForLink(const std::string& agent_id) {
  if (context_.links.IncarnationOf(agent_id)) {
    return true;
  }
  // Registered only to receive link events of the agent. This id is never sent to an agent.
  const std::string wait_id = NewId("link");
  context_.attempts.Add(wait_id, agent_id, mailbox_);
  bool linked = false;
  if (context_.links.DialOnDemand(agent_id)) {
    const TimePoint until = std::min(deadline_, context_.clock.now() + kLinkTimeout);
    linked = context_.links.IncarnationOf(agent_id).has_value();
    while (!linked && context_.clock.now() < until && !caller_disconnected_() &&
           !context_.aborting.load()) {
      const Duration remaining = until - context_.clock.now();
      static_cast<void>(mailbox_->events.Pop(std::min<Duration>(remaining, kCallerCheckInterval)));
      linked = context_.links.IncarnationOf(agent_id).has_value();
    }
  }
  context_.attempts.Remove(wait_id);
  return linked;
}

CallDriver::AttemptResult CallDriver::WaitForAnswer(Attempt& attempt) {
  while (true) {
    const TimePoint now = context_.clock.now();
    TimePoint wake_time = std::min(deadline_, now + kCallerCheckInterval);
    wake_time = std::min(wake_time, LeaseEnd(attempt, lease_));
    if (mailbox_->events.size() == 0 && mailbox_->overflowed.exchange(false)) {
      SendResume(context_, attempt, stream_.next_offset);
    }
    std::optional<RequestEvent> event =
        mailbox_->events.Pop(std::max(Duration(0), wake_time - now));
    std::optional<Failure> failure;
    if (event && event->attempt_id == attempt.id) {
      failure = Handle(attempt, std::move(*event));
    } else if (!event && core::HasGap(stream_)) {
      // The call has run and this is its valid response, so the missing part is requested again
      // every kCallerCheckInterval until the deadline.
      SendResume(context_, attempt, stream_.next_offset);
    }
    if (!failure && core::IsComplete(stream_)) {
      FinishAttempt(context_, attempt);
      return std::move(answer_);
    }
    if (!failure) {
      failure = CheckTermination(attempt);
    }
    if (failure) {
      return std::move(*failure);
    }
  }
}

std::optional<CallDriver::Failure> CallDriver::Handle(Attempt& attempt, RequestEvent event) {
  if (std::holds_alternative<LinkLost>(event.body)) {
    if (!attempt.link_lost_at) {
      attempt.link_lost_at = context_.clock.now();
    }
    return std::nullopt;
  }
  if (const LinkRestored* restored = std::get_if<LinkRestored>(&event.body)) {
    if (restored->incarnation != attempt.incarnation) {
      return Failure{core::FailureKind::kLost, UpstreamLostRefusal("the agent has restarted"), ""};
    }
    attempt.link_lost_at.reset();
    SendResume(context_, attempt, stream_.next_offset);
    return std::nullopt;
  }
  attempt.last_message_at = context_.clock.now();
  context_.fleet.OnAcknowledged(attempt.agent_id, attempt.id);
  if (const auto* chunk = std::get_if<std::unique_ptr<wire::Chunk>>(&event.body)) {
    answer_.body += core::AcceptChunk(stream_, (*chunk)->offset, (*chunk)->data);
    if (!answer_.body.empty() && !stats_.first_token_ms) {
      stats_.first_token_ms = ToMs(context_.clock.now() - request_.arrived);
    }
  } else if (const auto* refused = std::get_if<std::unique_ptr<wire::Refused>>(&event.body)) {
    FinishAttempt(context_, attempt);
    Failure failure{FailureKindOf((*refused)->kind), FromWire(**refused), (*refused)->owner_agent};
    context_.metrics.Count("agent_refusals_total{kind=\"" + failure.refusal.kind + "\"}");
    if ((*refused)->kind == wire::RefusalKind::LEAVING) {
      context_.fleet.OnAgentLeaving(attempt.agent_id);
    }
    return failure;
  } else if (const auto* end = std::get_if<std::unique_ptr<wire::End>>(&event.body)) {
    return OnEnd(attempt, **end);
  }
  return std::nullopt;
}

std::optional<CallDriver::Failure> CallDriver::OnEnd(Attempt& attempt, const wire::End& end) {
  if (!end.complete) {
    FinishAttempt(context_, attempt);
    const core::FailureKind kind =
        end.__isset.error ? FailureKindOf(end.error) : core::FailureKind::kUpstreamError;
    return Failure{kind, FromWire(end), ""};
  }
  const Result<void> accepted = core::AcceptEnd(stream_, end.total_bytes);
  if (!accepted) {
    FinishAttempt(context_, attempt);
    Refusal refusal = UpstreamLostRefusal(accepted.error().message);
    refusal.outcome = core::Outcome::kRan;
    return Failure{core::FailureKind::kUpstreamError, std::move(refusal), ""};
  }
  answer_.status = end.status;
  answer_.content_type = end.content_type;
  answer_.replayed = end.replayed;
  answer_.is_end_stated = !(end.__isset.end_unstated && end.end_unstated);
  return std::nullopt;
}

std::optional<CallDriver::Failure> CallDriver::CheckTermination(Attempt& attempt) {
  SendResumeIfInactive(context_, attempt, lease_, stream_.next_offset);
  const TimePoint now = context_.clock.now();
  Failure failure;
  failure.kind = core::FailureKind::kRejected;
  if (caller_disconnected_()) {
    failure.refusal = UpstreamLostRefusal("the caller has disconnected");
    failure.refusal.kind = "cancelled";
    failure.refusal.status = kCallerDisconnected;
    return failure;
  }
  if (context_.aborting.load()) {
    failure.refusal = UpstreamLostRefusal("the entry was stopped before the response was complete");
    failure.refusal.kind = "shutting_down";
    failure.refusal.status = kServiceUnavailable;
    return failure;
  }
  if (now >= deadline_) {
    failure.refusal = UpstreamLostRefusal("the call did not finish before its deadline");
    failure.refusal.kind = "deadline";
    failure.refusal.status = kGatewayTimeout;
    return failure;
  }
  if (now >= LeaseEnd(attempt, lease_)) {
    return Failure{core::FailureKind::kLost,
                   UpstreamLostRefusal("the link to the agent was down for longer than the lease"),
                   ""};
  }
  return std::nullopt;
}

bool CallDriver::PrepareRetry(const Failure& failure, const std::string& agent_id) {
  const Service& service = *request_.service;
  if (failure.kind == core::FailureKind::kCrashed) {
    ++own_crashes_;
  }
  core::FailedAttempt failed;
  failed.kind = failure.kind;
  failed.outcome = outcome_;
  failed.repeatable = service.settings.repeatable;
  failed.pinned = !pinned_agent_.empty() || !owner_agent_.empty();
  failed.crash_count = CrashCount();
  failed.crash_limit = static_cast<std::int32_t>(service.settings.crash_limit);
  const core::RetryTarget target = core::ChooseRetryTarget(failed);
  ++failures_;
  if (target == core::RetryTarget::kNamedOwner) {
    // A redirect to the owner is not a retry: no other agent has accepted the call.
    owner_agent_ = failure.owner_agent;
    return !owner_agent_.empty() && owner_agent_ != agent_id && failures_ <= kMaxOwnerRedirects;
  }
  const TimePoint now = context_.clock.now();
  if (target == core::RetryTarget::kNoRetry || failures_ >= service.settings.max_attempts ||
      now >= deadline_) {
    return false;
  }
  // When the call has not run, a refusal counts as a redirect: it is limited by max_attempts but
  // does not use the retry budget.
  const bool redirect =
      failure.kind == core::FailureKind::kUnavailable && outcome_ == core::Outcome::kNotRun;
  if (!redirect && !context_.budgets.Take(service, now)) {
    context_.metrics.Count("retry_budget_spent_total{service=\"" + service.name + "\"}");
    return false;
  }
  context_.metrics.Count("retries_total{service=\"" + service.name + "\"}");
  if (target == core::RetryTarget::kOtherUpstream) {
    excluded_agents_.push_back(agent_id);
  }
  const double wait_ms = core::BackOffMs(kRetryBackOff, failures_, Hash64(request_.request_id));
  // No attempt is open, so no event arrives and Pop waits for the whole back-off.
  static_cast<void>(mailbox_->events.Pop(
      std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(wait_ms))));
  return true;
}

std::int32_t CallDriver::CrashCount() const {
  const Milliseconds ttl(request_.service->settings.suspicion_ttl_ms);
  return std::max(own_crashes_,
                  context_.crash_tracker.CrashCount(fingerprint_, ttl, context_.clock.now()));
}

wire::Submit CallDriver::MakeSubmit() const {
  const settings::Settings& settings = request_.service->settings;
  const double remaining_ms = ToMs(deadline_ - context_.clock.now());
  wire::Submit submit;
  submit.request_id = request_.request_id;
  submit.kind = wire::WorkKind::CALL;
  submit.service_name = request_.service->name;
  submit.customer = settings.customer;
  submit.body = request_.body;
  submit.deadline_ms = std::max<std::int64_t>(1, static_cast<std::int64_t>(remaining_ms));
  submit.priority = static_cast<std::int32_t>(settings.priority);
  submit.method = request_.method;
  submit.path = request_.path;
  submit.content_type = request_.content_type;
  submit.idempotency_key = request_.idempotency_key;
  submit.body_hash = SignedHash64(request_.body, Hash64(request_.method + " " + request_.path));
  submit.fingerprint = fingerprint_;
  submit.crash_count = CrashCount();
  submit.repeatable = settings.repeatable;
  submit.patient = settings.patient;
  return submit;
}

RefusalOr<std::string> IssueKey(const DriverContext& context, const Service& service,
                                const std::string& request_id,
                                const std::function<bool()>& caller_disconnected) {
  const std::shared_ptr<Mailbox> mailbox = std::make_shared<Mailbox>();
  std::vector<std::string> excluded;
  Refusal refusal =
      MakeRefusal("no_upstream", kServiceUnavailable, "no agent issued an idempotency key",
                  "retry later; no call was run");
  refusal.retry_after_ms = kIssueKeyTimeout.count();
  for (std::int64_t i = 0; i < service.settings.max_attempts && !caller_disconnected(); ++i) {
    const Result<std::string> agent = context.fleet.ChooseServiceAgent(service.name, excluded);
    if (!agent) {
      break;
    }
    excluded.push_back(agent.value());
    // Each try has its own id, so that a late response to an earlier try is ignored.
    wire::IssueKey issue;
    issue.request_id = request_id + "/" + std::to_string(i);
    issue.service_name = service.name;
    wire::Frame frame;
    frame.__set_issue_key(issue);
    context.attempts.Add(issue.request_id, agent.value(), mailbox);
    std::optional<RequestEvent> event;
    if (context.links.Send(agent.value(), frame)) {
      event = mailbox->events.Pop(kIssueKeyTimeout);
    }
    context.attempts.Remove(issue.request_id);
    const auto* issued =
        event ? std::get_if<std::unique_ptr<wire::KeyIssued>>(&event->body) : nullptr;
    if (issued != nullptr && event->attempt_id == issue.request_id) {
      if ((*issued)->error.empty()) {
        return (*issued)->key;
      }
      refusal.message = (*issued)->error;
    }
  }
  return refusal;
}

}  // namespace rattanramp::entry
