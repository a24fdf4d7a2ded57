// The state of a generation at its current engines: what is reserved there, the attempt, and what
// of its answer has arrived.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/event_splitter.h"
#include "core/prefill_handle.h"
#include "gateway/attempt.h"
#include "gateway/fleet.h"
#include "gateway/request_context.h"

namespace rattanramp::gateway {

/// Load that counts as this gateway's at an upstream until the reservation ends.
class LoadReservation {
 public:
  LoadReservation() = default;
  /// on_change: called now and when the reservation ends; outlives it.
  LoadReservation(std::shared_ptr<Upstream> upstream, const core::UpstreamLoad& load,
                  const std::function<void()>& on_change);
  LoadReservation(LoadReservation&& other) noexcept;
  LoadReservation& operator=(LoadReservation&& other) noexcept;
  ~LoadReservation() { Release(); }

  void SetTokens(std::int64_t reserved_tokens);
  void Release();

 private:
  /// Null: nothing is reserved.
  std::shared_ptr<Upstream> upstream_;
  core::UpstreamLoad load_;
  const std::function<void()>* on_change_ = nullptr;
};

struct EngineRun {
  std::shared_ptr<Upstream> decode;
  LoadReservation decode_load;
  TimePoint reserved_at;
  /// The engine that reads or keeps the prompt; null: none.
  std::shared_ptr<Upstream> prefill;
  LoadReservation prefill_load;
  /// The prompt that a prefill engine has read.
  core::PrefillHandle handle;
  http::ResponseHead answer_head;
  core::AnswerFacts answer_facts;
  /// The attempt's answer is a stream of events.
  bool is_streaming = false;
  /// Start of the attempt, and the events of the stream that were received before it.
  TimePoint started;
  std::int64_t events_before = 0;
  std::optional<TimePoint> first_event;
  /// The engine has shown that it can answer the request.
  bool is_proven = false;
  /// The last member, as it may end the load that is reserved.
  std::unique_ptr<Attempt> attempt;
};

/// Whether the answer is a stream that can be passed on.
bool IsStream(const http::ResponseHead& head, const core::AnswerFacts& facts);

/// Description of an attempt that its engine has not finished, for the log: which parts the prompts
/// of lost requests share shows whether one of them crashes engines.
std::string DescribeLoss(const RequestContext& request, const EngineRun& run,
                         const core::EventSplitter& splitter, Duration after,
                         std::string_view cause);

}  // namespace rattanramp::gateway
