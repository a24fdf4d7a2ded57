#include "gateway/silent_run.h"

#include <utility>

#include "gateway/request_context.h"

namespace rattanramp::gateway {

SilentRun::SilentRun(EngineRun run, core::EventSplitter splitter, StreamEnd stream_end,
                     SilentRunOwner& owner)
    : run_(std::move(run)), splitter_(std::move(splitter)), stream_end_(stream_end), owner_(owner) {
  run_.attempt->SetListener(*this);
}

EngineRun SilentRun::Release() {
  run_.attempt->SetListener(owner_);
  return std::move(run_);
}

void SilentRun::OnAnswerHead(const http::ResponseHead& head, const core::AnswerFacts& facts) {
  run_.answer_head = head;
  run_.answer_facts = facts;
  if (IsStream(head, facts)) {
    SilentRunOwner& owner = owner_;
    owner.OnRunGoesOn();
    owner.OnAnswerHead(head, facts);
  }
}

BodyProgress SilentRun::OnAnswerBody(std::string_view bytes) {
  if (!run_.is_streaming) {
    return BodyProgress::kNone;
  }
  core::EventSplitter splitter = splitter_;
  core::TakeCompleteEvents(splitter, bytes);
  if (splitter.events > splitter_.events) {
    SilentRunOwner& owner = owner_;
    owner.OnRunGoesOn();
    return owner.OnAnswerBody(bytes);
  }
  if (splitter.is_malformed) {
    return BodyProgress::kMalformed;
  }
  splitter_ = std::move(splitter);
  return splitter_.partial.size() > core::kMaxEventBytes ? BodyProgress::kTooLarge
                                                         : BodyProgress::kNone;
}

void SilentRun::OnAnswerComplete() {
  const core::StreamEnding ending =
      core::JudgeEnding(splitter_, StreamEndOf(run_.answer_head) == StreamEnd::kStated);
  const bool is_whole =
      run_.is_streaming &&
      (ending == core::StreamEnding::kWhole ||
       (ending == core::StreamEnding::kUnstated && stream_end_ == StreamEnd::kByClose));
  SilentRunOwner& owner = owner_;
  if (!is_whole) {
    owner.OnRunLost(AttemptFailure::kConnectionClosed, run_.answer_facts.not_run);
    return;
  }
  owner.OnRunGoesOn();
  owner.OnAnswerComplete();
}

void SilentRun::OnAttemptFailure(AttemptFailure failure) {
  owner_.OnRunLost(failure, failure == AttemptFailure::kNotConnected);
}

bool SilentRun::OnSilence(Duration silent_for) { return owner_.IsSilentTooLong(silent_for); }

}  // namespace rattanramp::gateway
