#include "agent/attempts.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace rattanramp::agent {
namespace {

/// Largest amount of output in a chunk; well below the maximum size of a frame.
constexpr std::size_t kMaxChunkBytes = 1024 * 1024;

/// Time for which an ended attempt is kept if the entry does not acknowledge it with Cancel. Frames
/// that the link has not delivered by then are lost in any case, because a link closes after it
/// has received nothing for a few seconds.
constexpr Milliseconds kEndedRetention{10'000};

/// Time for which the id of a removed attempt is kept. Links close after they have received
/// nothing for a few seconds, so no copy of a Submit arrives later than this.
constexpr Milliseconds kRemovedIdRetention{600'000};

const char* OutcomeName(wire::Outcome::type outcome) {
  switch (outcome) {
    case wire::Outcome::NOT_RUN:
      return "not_run";
    case wire::Outcome::RAN:
      return "ran";
    case wire::Outcome::UNKNOWN:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

Attempt* AttemptTable::Find(const std::string& id) {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : &found->second;
}

Attempt& AttemptTable::Add(wire::Submit submit, const std::shared_ptr<link::Link>& link,
                           core::ConnectionId connection) {
  Attempt& attempt = attempts_[submit.attempt_id];
  attempt.id = submit.attempt_id;
  attempt.submit = std::move(submit);
  attempt.link = link;
  attempt.arrived = context_.clock.now();
  core::GrantLease(leases_, attempt.id, connection, attempt.arrived);
  return attempt;
}

void AttemptTable::Remove(const std::string& id) {
  core::DropLease(leases_, id);
  attempts_.erase(id);
  MarkRemoved(id);
}

void AttemptTable::MarkRemoved(const std::string& id) { removed_[id] = context_.clock.now(); }

void AttemptTable::Grant(Attempt& attempt, std::int64_t wait_ms) {
  attempt.granted = true;
  attempt.wait_ms = wait_ms;
  wire::Frame frame;
  wire::Granted granted;
  granted.attempt_id = attempt.id;
  granted.wait_ms = wait_ms;
  frame.__set_granted(granted);
  Send(attempt, frame);
}

void AttemptTable::Refuse(Attempt& attempt, wire::Refused refused) {
  refused.attempt_id = attempt.id;
  refused.__set_load(context_.snapshot());
  context_.metrics.Count("agent_refusals_total{kind=\"" + wire::to_string(refused.kind) + "\"}");
  Log(LogLevel::kDebug, "attempt_refused",
      {{"attempt", attempt.id}, {"kind", wire::to_string(refused.kind)}});
  attempt.refused = std::move(refused);
  MarkEnded(attempt);
  wire::Frame frame;
  frame.__set_refused(*attempt.refused);
  Send(attempt, frame);
}

void AttemptTable::FinishPrefill(Attempt& attempt, const wire::PrefillDone& done) {
  attempt.prefill_done = done;
  MarkEnded(attempt);
  wire::Frame frame;
  frame.__set_prefill_done(done);
  Send(attempt, frame);
}

bool AttemptTable::Append(Attempt& attempt, std::int64_t offset, std::string_view text,
                          std::int32_t tokens) {
  const std::int64_t end = static_cast<std::int64_t>(attempt.output.size());
  if (offset > end) {
    return false;
  }
  const std::size_t received = static_cast<std::size_t>(end - offset);
  if (received >= text.size()) {
    return true;
  }
  attempt.output.append(text.substr(received));
  attempt.output_tokens += tokens;
  SendOutput(attempt, end, tokens);
  return true;
}

void AttemptTable::Finish(Attempt& attempt, wire::End end) {
  end.attempt_id = attempt.id;
  end.total_bytes = static_cast<std::int64_t>(attempt.output.size());
  if (end.output_tokens == 0) {
    end.output_tokens = attempt.output_tokens;
  }
  const std::string error = end.__isset.error ? wire::to_string(end.error) : "none";
  context_.metrics.Count(std::string("agent_ends_total{outcome=\"") + OutcomeName(end.outcome) +
                         "\",error=\"" + error + "\"}");
  Log(end.complete ? LogLevel::kDebug : LogLevel::kInfo, "attempt_ended",
      {{"attempt", attempt.id},
       {"request", attempt.submit.request_id},
       {"outcome", OutcomeName(end.outcome)},
       {"error", error},
       {"message", end.message},
       {"bytes", end.total_bytes}});
  attempt.end = std::move(end);
  MarkEnded(attempt);
  wire::Frame frame;
  frame.__set_attempt_end(*attempt.end);
  Send(attempt, frame);
}

void AttemptTable::Resume(Attempt& attempt, const std::shared_ptr<link::Link>& link,
                          core::ConnectionId connection, std::int64_t offset) {
  attempt.link = link;
  core::GrantLease(leases_, attempt.id, connection, context_.clock.now());
  wire::Frame frame;
  if (attempt.refused) {
    frame.__set_refused(*attempt.refused);
    Send(attempt, frame);
    return;
  }
  if (attempt.granted) {
    Grant(attempt, attempt.wait_ms);
  }
  if (attempt.prefill_done) {
    frame.__set_prefill_done(*attempt.prefill_done);
    Send(attempt, frame);
    return;
  }
  SendOutput(attempt, std::max<std::int64_t>(0, offset), 0);
  if (attempt.end) {
    frame.__set_attempt_end(*attempt.end);
    Send(attempt, frame);
  }
}

void AttemptTable::RemoveDelivered(TimePoint now) {
  std::vector<std::string> delivered;
  for (const auto& [id, attempt] : attempts_) {
    const bool linked = attempt.link && attempt.link->is_up();
    if (attempt.phase == Phase::kEnded && linked && now - attempt.ended_at >= kEndedRetention) {
      delivered.push_back(id);
    }
  }
  for (const std::string& id : delivered) {
    Remove(id);
  }
  std::erase_if(removed_,
                [now](const auto& mark) { return now - mark.second >= kRemovedIdRetention; });
}

std::size_t AttemptTable::active() const {
  return static_cast<std::size_t>(
      std::count_if(attempts_.begin(), attempts_.end(),
                    [](const auto& entry) { return entry.second.phase != Phase::kEnded; }));
}

std::vector<std::string> AttemptTable::ActiveIds() const {
  std::vector<std::string> ids;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.phase != Phase::kEnded) {
      ids.push_back(id);
    }
  }
  return ids;
}

void AttemptTable::Send(const Attempt& attempt, const wire::Frame& frame) {
  if (!attempt.link || !attempt.link->is_up()) {
    return;
  }
  const Result<void> sent = attempt.link->Send(frame);
  if (!sent && sent.error().kind == ErrorKind::kOverloaded) {
    // The frame was dropped, so the output on this link has a gap. When the link closes, the entry
    // resumes the attempt at the offset that it has received.
    attempt.link->Close("send queue is full");
  }
}

void AttemptTable::SendOutput(const Attempt& attempt, std::int64_t offset, std::int32_t tokens) {
  std::size_t position = static_cast<std::size_t>(offset);
  while (position < attempt.output.size()) {
    wire::Chunk chunk;
    chunk.attempt_id = attempt.id;
    chunk.offset = static_cast<std::int64_t>(position);
    chunk.data = attempt.output.substr(position, kMaxChunkBytes);
    chunk.tokens = tokens;
    position += chunk.data.size();
    wire::Frame frame;
    frame.__set_chunk(chunk);
    Send(attempt, frame);
  }
}

void AttemptTable::MarkEnded(Attempt& attempt) {
  attempt.phase = Phase::kEnded;
  attempt.ended_at = context_.clock.now();
  attempt.run.stage = RunStage::kNone;
  // Frees the inputs; only the output is still needed.
  attempt.submit.body = {};
  attempt.submit.already_sent = {};
}

}  // namespace rattanramp::agent
