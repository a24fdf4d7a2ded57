#include "entry/attempt.h"

#include <utility>

#include "base/ids.h"

namespace rattanramp::entry {

Result<Attempt> OpenAttempt(const DriverParts& parts, const std::shared_ptr<Mailbox>& mailbox,
                            const std::string& agent_id, wire::Submit submit,
                            const AttemptLoad& load) {
  Attempt attempt;
  attempt.id = NewId("att");
  attempt.agent_id = agent_id;
  attempt.kind = submit.kind;
  attempt.incarnation = parts.links.IncarnationOf(agent_id).value_or(0);
  attempt.open = true;
  attempt.last_message_at = parts.clock.now();
  submit.attempt_id = attempt.id;
  wire::Frame frame;
  frame.submit = std::move(submit);
  frame.__isset.submit = true;
  parts.attempts.Add(attempt.id, agent_id, mailbox);
  parts.fleet.NoteSubmitted(agent_id, attempt.id, load);
  const Result<void> sent = parts.links.Send(agent_id, frame);
  if (!sent) {
    FinishAttempt(parts, attempt);
    return sent.error();
  }
  return attempt;
}

void FinishAttempt(const DriverParts& parts, Attempt& attempt) {
  parts.attempts.Remove(attempt.id);
  parts.fleet.NoteFinished(attempt.agent_id, attempt.id);
  attempt.open = false;
}

void CancelAttempt(const DriverParts& parts, Attempt& attempt, const std::string& reason) {
  if (!attempt.open) {
    return;
  }
  FinishAttempt(parts, attempt);
  parts.links.Cancel(attempt.agent_id, attempt.id, reason);
}

void SendResume(const DriverParts& parts, const Attempt& attempt, std::int64_t offset) {
  wire::Resume resume;
  resume.attempt_id = attempt.id;
  resume.offset = offset;
  wire::Frame frame;
  frame.__set_resume(resume);
  // Without a link the agent is asked when the link is restored.
  static_cast<void>(parts.links.Send(attempt.agent_id, frame));
}

void AskIfSilent(const DriverParts& parts, Attempt& attempt, Milliseconds lease,
                 std::int64_t offset) {
  const TimePoint now = parts.clock.now();
  if (attempt.open && !attempt.lost_at && now - attempt.last_message_at >= lease) {
    attempt.last_message_at = now;
    SendResume(parts, attempt, offset);
  }
}

TimePoint LeaseEnd(const Attempt& attempt, Milliseconds lease) {
  return attempt.lost_at ? *attempt.lost_at + lease : TimePoint::max();
}

}  // namespace rattanramp::entry
