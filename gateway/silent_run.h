// A run whose engine has gone silent. It stays open while another engine is asked to continue the
// stream, and goes on if its engine does so before the first event of the other one.
#pragma once

#include <memory>
#include <string_view>

#include "core/event_splitter.h"
#include "gateway/caller_sink.h"
#include "gateway/engine_run.h"

namespace rattanramp::gateway {

/// Each call ends the SilentRun: the owner takes the run back, or drops it.
class SilentRunOwner : public AttemptListener {
 public:
  /// The engine goes on. What it sent comes next, as calls of the AttemptListener.
  virtual void OnRunGoesOn() = 0;
  /// The run cannot go on. is_refused: the engine has stated that it has not run the request.
  virtual void OnRunLost(AttemptFailure failure, bool is_refused) = 0;
  /// Whether the caller will not wait longer for an engine that has been silent for this time.
  virtual bool IsSilentTooLong(Duration silent_for) const = 0;
};

class SilentRun final : private AttemptListener {
 public:
  /// splitter: the stream as received so far. stream_end: how its end is shown to the caller.
  SilentRun(EngineRun run, core::EventSplitter splitter, StreamEnd stream_end,
            SilentRunOwner& owner);

  const EngineRun& run() const { return run_; }
  /// The stream with what has arrived since, which is less than an event.
  const core::EventSplitter& splitter() const { return splitter_; }
  /// Returns the run, whose attempt then reports to the owner.
  EngineRun Release();

 private:
  void OnAnswerHead(const http::ResponseHead& head, const core::AnswerFacts& facts) override;
  BodyProgress OnAnswerBody(std::string_view bytes) override;
  void OnAnswerComplete() override;
  void OnAttemptFailure(AttemptFailure failure) override;
  bool OnSilence(Duration silent_for) override;

  EngineRun run_;
  core::EventSplitter splitter_;
  StreamEnd stream_end_;
  SilentRunOwner& owner_;
};

}  // namespace rattanramp::gateway
