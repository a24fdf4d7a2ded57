#include "gateway/silent_call.h"

#include <utility>

namespace rattanramp::gateway {

SilentCall::SilentCall(PlainCall call, SilentCallOwner& owner)
    : call_(std::move(call)), owner_(owner) {
  call_.attempt->SetListener(*this);
}

PlainCall SilentCall::Release() {
  call_.attempt->SetListener(owner_);
  return std::move(call_);
}

void SilentCall::OnAnswerHead(const http::ResponseHead& head, const core::AnswerFacts& facts) {
  is_refused_ = facts.not_run || facts.wrong_instance;
  if (!is_refused_ && core::IsAnswerOfRun(facts, head.status) && head.status < 500) {
    SilentCallOwner& owner = owner_;
    owner.OnCallAnswered();
    owner.OnAnswerHead(head, facts);
  }
}

void SilentCall::OnAnswerComplete() {
  owner_.OnCallLost(AttemptFailure::kConnectionClosed, is_refused_);
}

void SilentCall::OnAttemptFailure(AttemptFailure failure) {
  owner_.OnCallLost(failure, failure == AttemptFailure::kNotConnected);
}

}  // namespace rattanramp::gateway
