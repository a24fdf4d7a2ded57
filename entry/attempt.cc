#include "entry/attempt.h"

#include <utility>

#include "base/ids.h"

namespace rattanramp::entry {

Result<Attempt> OpenAttempt(const DriverContext& context, const std::shared_ptr<Mailbox>& mailbox,
                            const std::string& agent_id, wire::Submit submit,
                            const AttemptLoad& load) {
  Attempt attempt;
  attempt.id = NewId("att");
  attempt.agent_id = agent_id;
  attempt.kind = submit.kind;
  attempt.incarnation = context.links.IncarnationOf(agent_id).value_or(0);
  attempt.open = true;
  attempt.last_message_at = context.clock.now();
  submit.attempt_id = attempt.id;
  wire::Frame frame;
  frame.submit = std::move(submit);
  frame.__isset.submit = true;
  context.attempts.Add(attempt.id, agent_id, mailbox);
  context.fleet.OnSubmitted(agent_id, attempt.id, load);
  const Result<void> sent = context.links.Send(agent_id, frame);
  if (!sent) {
    FinishAttempt(context, attempt);
    return sent.error();
  }
  return attempt;
}

void FinishAttempt(const DriverContext& context, Attempt& attempt) {
  context.attempts.Remove(attempt.id);
  context.fleet.OnFinished(attempt.agent_id, attempt.id);
  attempt.open = false;
}

void CancelAttempt(const DriverContext& context, Attempt& attempt, const std::string& reason) {
  if (!attempt.open) {
    return;
  }
  FinishAttempt(context, attempt);
  context.links.Cancel(attempt.agent_id, attempt.id, reason);
}

void SendResume(const DriverContext& context, const Attempt& attempt, std::int64_t offset) {
  wire::Resume resume;
  resume.attempt_id = attempt.id;
  resume.offset = offset;
  wire::Frame frame;
  frame.__set_resume(resume);
  // Without a link, the Resume is sent when the link is restored.
  static_cast<void>(context.links.Send(attempt.agent_id, frame));
}

void SendResumeIfInactive(const DriverContext& context, Attempt& attempt, Milliseconds lease,
                          std::int64_t offset) {
  const TimePoint now = context.clock.now();
  if (attempt.open && !attempt.link_lost_at && now - attempt.last_message_at >= lease) {
    attempt.last_message_at = now;
    SendResume(context, attempt, offset);
  }
}

TimePoint LeaseEnd(const Attempt& attempt, Milliseconds lease) {
  return attempt.link_lost_at ? *attempt.link_lost_at + lease : TimePoint::max();
}

}  // namespace rattanramp::entry
