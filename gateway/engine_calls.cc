#include "gateway/engine_calls.h"

#include <string>

#include "platform/request_format.h"

namespace rattanramp::gateway {
namespace {

// Time for which a sound engine may be silent beyond its usual delay: about a second (users'
// documentation), and half of that as a margin.
constexpr Milliseconds kSoundSilence{1'500};

// Wait for the answer to a prefill after which another engine is tried. A prompt waits at most
// core::kMaxPrefillQueueMs and takes up to 200 ms itself.
constexpr Milliseconds kPrefillTimeout = kSoundSilence + Milliseconds(500);

// The same for the first event of a decode whose prompt another engine prefilled. The usual wait is
// a transfer of a few ms, one step, and the tokens of one event: 50 ms, and up to the target gap of
// 300 ms at a full engine.
constexpr Milliseconds kFirstEventTimeout = kSoundSilence + Milliseconds(400);

// The same when the decode engine prefills the prompt itself, interleaved with other decodes.
constexpr Milliseconds kInPlaceFirstEventTimeout = kSoundSilence + Milliseconds(1'000);

// The same for the gap between events.
constexpr Milliseconds kReadTimeout = kSoundSilence + Milliseconds(300);

/// The part of a plan that both calls share.
AttemptPlan Plan(const RequestContext& request, const platform::UpstreamRequest& call) {
  AttemptPlan plan;
  plan.head = platform::EncodeUpstreamRequest(request.head, request.body->size(), call);
  plan.body = request.body;
  plan.request_id = request.facts.request_id;
  plan.send_before = request.deadline;
  plan.read_timeout = kReadTimeout;
  plan.silence_result = core::AnswerResult::kNoAnswer;
  return plan;
}

}  // namespace

AttemptPlan PlanPrefill(const RequestContext& request, const Upstream& engine, TimePoint now) {
  platform::UpstreamRequest call;
  call.call = platform::UpstreamCall::kPrefill;
  call.instance = engine.info.id;
  call.remaining_ms = RemainingMs(request, now);
  call.workspace = request.workspace_name();
  AttemptPlan plan = Plan(request, call);
  plan.first_byte_timeout = kPrefillTimeout;
  plan.load.running = 1;
  plan.load.prefill_tokens = request.facts.prompt_tokens;
  return plan;
}

AttemptPlan PlanDecode(const RequestContext& request, const Upstream& engine,
                       std::string_view kv_source, std::optional<std::int64_t> resume_after,
                       TimePoint now) {
  platform::UpstreamRequest call;
  call.instance = engine.info.id;
  call.remaining_ms = RemainingMs(request, now);
  call.workspace = request.workspace_name();
  call.kv_source = std::string(kv_source);
  call.resume_after_event = resume_after;
  AttemptPlan plan = Plan(request, call);
  plan.first_byte_timeout = kv_source.empty() ? kInPlaceFirstEventTimeout : kFirstEventTimeout;
  if (kv_source.empty()) {
    plan.load.prefill_tokens = request.facts.prompt_tokens;
  }
  return plan;
}

}  // namespace rattanramp::gateway
