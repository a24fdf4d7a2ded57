#include "gateway/generation_queue.h"

#include <memory>

namespace rattanramp::gateway {

core::WaitingTokens AllWaitingTokens(const RequestContext& request, const GatewayState& state) {
  const std::string& service = request.service->name;
  core::WaitingTokens waiting = state.dispatcher.waiting_tokens(service);
  const core::WaitingTokens peers = state.fleet.PeerWaitingTokens(service);
  waiting.on_time += peers.on_time;
  waiting.late += peers.late;
  return waiting;
}

double ExpectedWaitMs(const RequestContext& request, GatewayState& state,
                      std::int64_t waiting_tokens) {
  const TimePoint now = state.clock.now();
  core::QueueState queue;
  queue.waiting_tokens = waiting_tokens;
  for (const std::shared_ptr<Upstream>& upstream : state.fleet.OfService(request.service->name)) {
    if (upstream->info.stage == core::UpstreamStage::kDecode && !IsClosed(*upstream, now) &&
        !IsAvoided(*upstream, now)) {
      queue.capacity_tokens += request.service->engine_limits().memory_tokens;
    }
  }
  queue.mean_hold_ms = ProfileOf(state, request.service->name).hold_ms;
  return core::ExpectedWaitMs(queue);
}

}  // namespace rattanramp::gateway
