#include "agent/calls.h"

#include <algorithm>
#include <utility>

#include "agent/failures.h"
#include "base/ids.h"
#include "base/log.h"

namespace rattanramp::agent {
namespace {

/// Maximum number of concurrent calls at the service. Each uses a thread and a connection.
constexpr std::int32_t kMaxRunningCalls = 128;
constexpr std::size_t kMaxKeyBytes = 256;
/// Minimum timeout of a call that must run at most once. A timeout leaves its outcome unknown.
constexpr std::int64_t kMinAtMostOnceTimeoutMs = 120'000;
constexpr std::int64_t kStoreRetryMs = 1000;
constexpr std::int64_t kQueueRetryMs = 200;
constexpr Milliseconds kEvictionPeriod{10'000};

core::CallResult ResultOf(const CallReply& reply) {
  return {reply.http_status, reply.content_type, reply.body, reply.is_end_stated};
}

wire::RefusalKind::type RefusalKindOf(core::CallRefusal refusal) {
  switch (refusal) {
    case core::CallRefusal::kKeyReused:
      return wire::RefusalKind::KEY_REUSED;
    case core::CallRefusal::kOwnedElsewhere:
      return wire::RefusalKind::OWNED_ELSEWHERE;
    case core::CallRefusal::kOwnerGone:
      return wire::RefusalKind::OWNER_GONE;
    case core::CallRefusal::kKeyExpired:
      return wire::RefusalKind::KEY_EXPIRED;
    case core::CallRefusal::kAbandoned:
      return wire::RefusalKind::ABANDONED;
    case core::CallRefusal::kStoreUnavailable:
      return wire::RefusalKind::STORE_UNAVAILABLE;
    case core::CallRefusal::kTableFull:
      return wire::RefusalKind::QUEUE_FULL;
    case core::CallRefusal::kOutcomeUnknown:
    case core::CallRefusal::kNone:
      return wire::RefusalKind::UPSTREAM_ERROR;
  }
  return wire::RefusalKind::UPSTREAM_ERROR;
}

wire::Refused MakeCallRefusal(const core::CallDecision& decision) {
  const wire::RefusalKind::type kind = RefusalKindOf(decision.refusal);
  const wire::Outcome::type outcome =
      core::IsNotRun(decision.refusal) ? wire::Outcome::NOT_RUN : wire::Outcome::UNKNOWN;
  wire::Refused refused;
  switch (decision.refusal) {
    case core::CallRefusal::kKeyReused:
      refused = MakeRefused(kind, outcome, "the key was used with another body",
                            "use a new key for a new request", -1);
      break;
    case core::CallRefusal::kOwnedElsewhere:
      refused = MakeRefused(kind, outcome, "another agent owns the key",
                            "submit the call to the agent that owns the key", 0);
      break;
    case core::CallRefusal::kOwnerGone:
      refused = MakeRefused(kind, outcome, "the agent that owned the key no longer runs",
                            "check at the service whether the call took effect", -1);
      break;
    case core::CallRefusal::kKeyExpired:
      refused = MakeRefused(kind, outcome, "the key is older than the retention time of keys",
                            "check at the service whether the call took effect", -1);
      break;
    case core::CallRefusal::kAbandoned:
      refused = MakeRefused(kind, outcome, "the attempt has already been abandoned",
                            "submit the call again", kQueueRetryMs);
      break;
    case core::CallRefusal::kStoreUnavailable:
      refused = MakeRefused(kind, outcome, "the platform's table is unavailable",
                            "use an issued key or retry later", kStoreRetryMs);
      break;
    case core::CallRefusal::kTableFull:
      refused = MakeRefused(kind, outcome, "the agent's table of keys is full of running calls",
                            "retry later", kStoreRetryMs);
      break;
    case core::CallRefusal::kOutcomeUnknown:
    case core::CallRefusal::kNone:
      refused = MakeRefused(kind, outcome, "the call was sent but its answer was lost",
                            "check at the service whether the call took effect", -1);
      break;
  }
  refused.owner_agent = decision.owner_agent;
  refused.owner_incarnation = decision.owner_incarnation;
  return refused;
}

}  // namespace

Calls::Calls(AgentContext& context, AttemptTable& attempts, store::PlatformStore& store)
    : context_(context),
      attempts_(attempts),
      next_eviction_(context.clock.now()),
      store_(store, context.clock,
             [this](const std::string& name, const std::string& attempt,
                    const core::ClaimReply& reply) {
               context_.loop.Post([this, name, attempt, reply] { OnClaim(name, attempt, reply); });
             }) {
  ledger_.agent = context.boot.id;
  ledger_.incarnation = context.incarnation;
}

void Calls::Submit(Attempt& attempt) {
  if (!attempt.submit.repeatable) {
    const std::string& key = attempt.submit.idempotency_key;
    if (key.empty() || key.size() > kMaxKeyBytes) {
      attempts_.Refuse(
          attempt, MakeRefused(wire::RefusalKind::MALFORMED, wire::Outcome::NOT_RUN,
                               "a call that must run at most once needs a key of 1 to 256 bytes",
                               "send an Idempotency-Key header", -1));
      return;
    }
  }
  core::QueuedWork work;
  work.id = attempt.id;
  work.priority = attempt.submit.priority;
  work.patient = attempt.submit.patient;
  work.arrived = attempt.arrived;
  work.not_before = attempt.arrived;
  work.deadline = attempt.arrived + Milliseconds(attempt.submit.deadline_ms);
  if (!core::Enqueue(queue_, std::move(work))) {
    Reject(attempt,
           MakeFailure(wire::RefusalKind::QUEUE_FULL, wire::Outcome::NOT_RUN, "call queue is full",
                       "choose another upstream or retry later"),
           kQueueRetryMs);
    return;
  }
  context_.load_changed(false);
  DispatchQueued(context_.clock.now());
}

void Calls::DispatchQueued(TimePoint now) {
  while (running_ < kMaxRunningCalls) {
    const std::optional<core::QueuedWork> work = core::TakeNext(queue_, now);
    if (!work) {
      return;
    }
    Attempt* attempt = attempts_.Find(work->id);
    if (attempt != nullptr && attempt->phase == Phase::kQueued) {
      Dispatch(*attempt);
    }
  }
}

void Calls::Dispatch(Attempt& attempt) {
  if (!attempt.submit.repeatable) {
    DispatchAtMostOnce(attempt);
    return;
  }
  attempts_.Grant(attempt, 0);
  Send(attempt, "");
}

void Calls::DispatchAtMostOnce(Attempt& attempt) {
  core::CallSubmit submit;
  submit.attempt = attempt.id;
  submit.service = attempt.submit.service_name;
  submit.key = attempt.submit.idempotency_key;
  submit.body_hash = attempt.submit.body_hash;
  attempt.phase = Phase::kHeld;
  const core::CallDecision decision =
      core::SubmitCall(ledger_, submit, Limits(), context_.clock.unix_ms());
  if (decision.action == core::CallAction::kClaim) {
    Claim(attempt);
    return;
  }
  Apply(attempt, decision);
}

void Calls::Claim(const Attempt& attempt) {
  core::IntentRecord record;
  record.agent = ledger_.agent;
  record.incarnation = ledger_.incarnation;
  record.attempt = attempt.id;
  record.body_hash = attempt.submit.body_hash;
  const std::string name = CallNameOf(attempt);
  store_.SetGroupTime(Milliseconds(context_.SettingsOf("").call_group_ms));
  if (!store_.Claim(name, record)) {
    OnClaim(name, attempt.id, core::ClaimReply{core::ClaimStatus::kUnavailable, std::nullopt});
  }
}

void Calls::OnClaim(const std::string& name, const std::string& attempt_id,
                    const core::ClaimReply& reply) {
  const std::vector<core::CallDecision> decisions =
      core::FinishClaim(ledger_, name, attempt_id, reply, context_.clock.unix_ms());
  for (const core::CallDecision& decision : decisions) {
    Attempt* attempt = attempts_.Find(decision.attempt);
    if (attempt != nullptr && attempt->phase != Phase::kEnded) {
      Apply(*attempt, decision);
    }
  }
}

void Calls::Apply(Attempt& attempt, const core::CallDecision& decision) {
  switch (decision.action) {
    case core::CallAction::kRun:
      attempts_.Grant(attempt, 0);
      Send(attempt, CallNameOf(attempt));
      return;
    case core::CallAction::kWait:
      if (!attempt.granted) {
        attempts_.Grant(attempt, 0);
      }
      return;
    case core::CallAction::kReplay:
      if (!attempt.granted) {
        attempts_.Grant(attempt, 0);
      }
      Answer(attempt, decision.result, true);
      return;
    case core::CallAction::kRefuse: {
      const wire::Refused refused = MakeCallRefusal(decision);
      wire::End end = MakeFailure(refused.kind, refused.outcome, refused.message, refused.remedy);
      if (attempt.granted) {
        attempts_.Finish(attempt, std::move(end));
        return;
      }
      attempts_.Refuse(attempt, refused);
      return;
    }
    case core::CallAction::kClaim:
      return;
  }
}

void Calls::Send(Attempt& attempt, const std::string& name) {
  attempt.phase = Phase::kRunning;
  attempt.run.control = std::make_shared<RunControl>();
  CallRequest request;
  request.method = attempt.submit.method;
  request.path = attempt.submit.path;
  request.content_type = attempt.submit.content_type;
  request.body = attempt.submit.body;
  request.idempotency_key = attempt.submit.idempotency_key;
  request.request_id = attempt.submit.request_id;
  const std::int64_t deadline_ms = std::max<std::int64_t>(1, attempt.submit.deadline_ms);
  request.timeout =
      Milliseconds(name.empty() ? deadline_ms : std::max(deadline_ms, kMinAtMostOnceTimeoutMs));
  core::IntentRecord record;
  record.agent = ledger_.agent;
  record.incarnation = ledger_.incarnation;
  record.attempt = attempt.id;
  record.body_hash = attempt.submit.body_hash;
  const bool started = context_.workers.Run(
      [this, id = attempt.id, name, record, request, control = attempt.run.control] {
        CallReply reply = context_.upstream.Call(request, *control);
        context_.loop.Post([this, id, name, record, reply = std::move(reply)] {
          --running_;
          CountRefusedConnection(reply);
          if (name.empty()) {
            OnReply(id, reply);
          } else {
            OnAtMostOnceReply(name, record, reply);
          }
          context_.load_changed(false);
          DispatchQueued(context_.clock.now());
        });
      });
  if (started) {
    ++running_;
    return;
  }
  CallReply reply;
  reply.status = RunStatus::kRefused;
  reply.message = "agent has no free thread for the call";
  if (name.empty()) {
    OnReply(attempt.id, reply);
  } else {
    OnAtMostOnceReply(name, record, reply);
  }
}

void Calls::OnReply(const std::string& id, const CallReply& reply) {
  Attempt* attempt = attempts_.Find(id);
  if (attempt == nullptr || attempt->phase != Phase::kRunning) {
    return;
  }
  if (reply.status == RunStatus::kDone) {
    Answer(*attempt, ResultOf(reply), false);
    return;
  }
  if (reply.status == RunStatus::kRefused) {
    attempts_.Finish(*attempt, MakeFailure(wire::RefusalKind::UPSTREAM_DOWN, wire::Outcome::NOT_RUN,
                                           "service refused the connection: " + reply.message,
                                           "choose another upstream"));
    return;
  }
  attempts_.Finish(
      *attempt, MakeFailure(wire::RefusalKind::UPSTREAM_ERROR, wire::Outcome::UNKNOWN,
                            "service did not answer: " + reply.message, "submit the call again"));
}

void Calls::OnAtMostOnceReply(const std::string& name, const core::IntentRecord& claim,
                              const CallReply& reply) {
  const std::int64_t now_ms = context_.clock.unix_ms();
  const auto entry = ledger_.calls.find(name);
  const bool caller_key = entry != ledger_.calls.end() && !entry->second.issued;
  core::IntentRecord record = claim;
  if (reply.status == RunStatus::kDone) {
    const core::CallResult result = ResultOf(reply);
    record.state = "done";
    record.result = result;
    if (caller_key) {
      store_.RecordResult(name, record);
    }
    for (const std::string& id : core::FinishRun(ledger_, name, result, now_ms)) {
      Attempt* attempt = attempts_.Find(id);
      if (attempt != nullptr && attempt->phase != Phase::kEnded) {
        Answer(*attempt, result, id != claim.attempt);
      }
    }
    return;
  }
  if (reply.status == RunStatus::kRefused) {
    for (const std::string& id : core::CancelRun(ledger_, name, now_ms)) {
      Attempt* attempt = attempts_.Find(id);
      if (attempt != nullptr && attempt->phase != Phase::kEnded) {
        attempts_.Finish(*attempt,
                         MakeFailure(wire::RefusalKind::UPSTREAM_DOWN, wire::Outcome::NOT_RUN,
                                     "service refused the connection: " + reply.message,
                                     "retry later with the same key"));
      }
    }
    return;
  }
  record.state = "unknown";
  if (caller_key) {
    store_.RecordResult(name, record);
  }
  Log(LogLevel::kWarning, "call_outcome_unknown",
      {{"call", name}, {"attempt", claim.attempt}, {"message", reply.message}});
  for (const std::string& id : core::RecordLostAnswer(ledger_, name, now_ms)) {
    Attempt* attempt = attempts_.Find(id);
    if (attempt != nullptr && attempt->phase != Phase::kEnded) {
      AnswerUnknown(*attempt, reply.message);
    }
  }
}

void Calls::Answer(Attempt& attempt, const core::CallResult& result, bool replayed) {
  attempts_.Append(attempt, 0, result.body, 0);
  wire::End end;
  end.outcome = wire::Outcome::RAN;
  end.complete = true;
  end.status = result.status;
  end.content_type = result.content_type;
  if (!result.is_end_stated) {
    end.__set_end_unstated(true);
  }
  end.replayed = replayed;
  attempts_.Finish(attempt, std::move(end));
}

void Calls::AnswerUnknown(Attempt& attempt, const std::string& message) {
  attempts_.Finish(attempt, MakeFailure(wire::RefusalKind::UPSTREAM_ERROR, wire::Outcome::UNKNOWN,
                                        "the call was sent but its answer was lost: " + message,
                                        "check at the service whether the call took effect"));
}

void Calls::Reject(Attempt& attempt, const wire::End& end, std::int64_t retry_after_ms) {
  if (!attempt.submit.repeatable) {
    core::AbandonAttempt(ledger_, CallNameOf(attempt), attempt.id, context_.clock.unix_ms());
  }
  if (attempt.granted) {
    attempts_.Finish(attempt, end);
    return;
  }
  attempts_.Refuse(attempt, ToRefused(end, retry_after_ms));
}

void Calls::Cancel(Attempt& attempt) {
  if (attempt.phase == Phase::kEnded) {
    return;
  }
  core::RemoveQueued(queue_, attempt.id);
  if (attempt.submit.repeatable) {
    if (attempt.run.control) {
      attempt.run.control->Stop();
    }
    return;
  }
  core::AbandonAttempt(ledger_, CallNameOf(attempt), attempt.id, context_.clock.unix_ms());
}

wire::KeyIssued Calls::IssueKey(const wire::IssueKey& request) {
  constexpr std::int64_t kMsPerSecond = 1000;
  core::IssuedKey key;
  key.agent = ledger_.agent;
  key.incarnation = ledger_.incarnation;
  key.issued_s = context_.clock.unix_ms() / kMsPerSecond;
  wire::KeyIssued issued;
  issued.request_id = request.request_id;
  issued.key = core::FormatIssuedKey(key, NewId("k"));
  return issued;
}

void Calls::Tick(TimePoint now) {
  for (const std::string& id : core::TakeOverdue(queue_, now)) {
    Attempt* attempt = attempts_.Find(id);
    if (attempt != nullptr && attempt->phase == Phase::kQueued) {
      Reject(*attempt,
             MakeFailure(wire::RefusalKind::DEADLINE, wire::Outcome::NOT_RUN,
                         "deadline passed in the queue", "none"),
             -1);
    }
  }
  RefuseOverdueClaims(now);
  DispatchQueued(now);
  if (now >= next_eviction_) {
    core::EvictOldCalls(ledger_, Limits(), context_.clock.unix_ms());
    next_eviction_ = now + kEvictionPeriod;
  }
}

void Calls::RefuseOverdueClaims(TimePoint now) {
  for (const std::string& id : attempts_.ActiveIds()) {
    Attempt& attempt = *attempts_.Find(id);
    const bool overdue = attempt.arrived + Milliseconds(attempt.submit.deadline_ms) <= now;
    if (attempt.phase != Phase::kHeld || attempt.granted || !overdue) {
      continue;
    }
    if (core::AbandonAttempt(ledger_, CallNameOf(attempt), id, context_.clock.unix_ms())) {
      attempts_.Refuse(attempt,
                       MakeRefused(wire::RefusalKind::STORE_UNAVAILABLE, wire::Outcome::NOT_RUN,
                                   "the platform's table did not answer before the deadline",
                                   "use an issued key or retry later", kStoreRetryMs));
    }
  }
}

void Calls::CountRefusedConnection(const CallReply& reply) {
  if (reply.status == RunStatus::kRefused) {
    context_.metrics.Count("agent_upstream_refused_total");
  }
}

std::string Calls::CallNameOf(const Attempt& attempt) const {
  return core::CallName(attempt.submit.service_name, attempt.submit.idempotency_key);
}

core::CallLimits Calls::Limits() const {
  const settings::Settings& settings = context_.SettingsOf("");
  core::CallLimits limits;
  limits.max_entries = static_cast<std::size_t>(settings.call_memory_entries);
  limits.retention_ms = settings.call_memory_ms;
  return limits;
}

}  // namespace rattanramp::agent
