// An attempt at a plain server that has not begun to answer. It stays open while another server is
// asked, and its answer is taken if it comes first.
#pragma once

#include <cstdint>
#include <memory>

#include "gateway/attempt.h"

namespace rattanramp::gateway {

struct PlainCall {
  std::unique_ptr<Attempt> attempt;
  TimePoint started;
  /// Requests that the server had when the attempt started.
  std::int64_t running_before = 0;
};

/// Each call ends the SilentCall: the owner takes the attempt back, or drops it.
class SilentCallOwner : public AttemptListener {
 public:
  /// The server answers. The head comes next, as a call of the AttemptListener.
  virtual void OnCallAnswered() = 0;
  /// The attempt has failed. is_refused: the request has not run there.
  virtual void OnCallLost(AttemptFailure failure, bool is_refused) = 0;
};

class SilentCall final : private AttemptListener {
 public:
  SilentCall(PlainCall call, SilentCallOwner& owner);

  /// Returns the attempt, which then reports to the owner.
  PlainCall Release();

 private:
  void OnAnswerHead(const http::ResponseHead& head, const core::AnswerFacts& facts) override;
  BodyProgress OnAnswerBody(std::string_view /*bytes*/) override { return BodyProgress::kNone; }
  void OnAnswerComplete() override;
  void OnAttemptFailure(AttemptFailure failure) override;
  bool OnSilence(Duration /*silent_for*/) override { return false; }

  PlainCall call_;
  SilentCallOwner& owner_;
  bool is_refused_ = false;
};

}  // namespace rattanramp::gateway
