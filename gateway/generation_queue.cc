#include "gateway/generation_queue.h"

#include <spdlog/fmt/fmt.h>

#include <memory>

#include "base/hash.h"

namespace rattanramp::gateway {
namespace {

// Time until the start of a generation is recorded at the other gateways: the delay of the report,
// a few ms on the network, and the event loops.
constexpr Milliseconds kContendedInterval{12};

}  // namespace

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

TimePoint CallerTimeoutAt(const RequestContext& request) {
  return request.arrived +
         core::FirstEventTimeout(request.route->target_latency_ms, request.route->target_gap_ms);
}

std::string LongQueue(const RequestContext& request, GatewayState& state) {
  const core::WaitingTokens waiting = AllWaitingTokens(request, state);
  const std::int64_t ahead = waiting.on_time + (request.is_sent_again ? waiting.late : 0);
  if (ahead == 0) {
    return {};
  }
  const double wait_ms = ExpectedWaitMs(request, state, ahead);
  const TimePoint latest_first_event =
      request.is_sent_again ? CallerTimeoutAt(request) : request.target;
  if (wait_ms <=
      ToMs(latest_first_event - state.clock.now() - PlannedServiceTime(request, state))) {
    return {};
  }
  return fmt::format("queue of {} tokens has an expected wait of {:.0f} ms", ahead, wait_ms);
}

bool MayTakeCapacity(CapacityShare& share, const RequestContext& request, GatewayState& state,
                     std::span<const core::PlacementCandidate> candidates,
                     const core::GenerationNeed& need) {
  const std::string& service = request.service->name;
  core::ContendedCapacity contended;
  contended.peers = state.fleet.PeerWaitingTokens(service);
  if (contended.peers.on_time == 0 && contended.peers.late == 0) {
    return true;
  }
  const TimePoint now = state.clock.now();
  share.next_try = now + kContendedInterval;
  contended.is_late = now > LatestStart(request, state);
  contended.local = state.dispatcher.waiting_tokens(service);
  contended.fits = core::CountFits(candidates, need);
  ++share.tries;
  const double draw =
      static_cast<double>(
          Hash64({reinterpret_cast<const char*>(&share.tries), sizeof(share.tries)}, request.seed) %
          10'000) /
      10'000.0;
  return core::MayTakeContendedCapacity(contended, draw);
}

}  // namespace rattanramp::gateway
