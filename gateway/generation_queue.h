// What waits for engines at this gateway and its peers, and how long it will wait.
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "core/placement.h"
#include "gateway/request_context.h"

namespace rattanramp::gateway {

/// Generations of the request's service that wait at this gateway and its peers.
core::WaitingTokens AllWaitingTokens(const RequestContext& request, const GatewayState& state);

/// Estimates how long a generation behind `waiting_tokens` waits for an engine, in ms.
double ExpectedWaitMs(const RequestContext& request, GatewayState& state,
                      std::int64_t waiting_tokens);

/// Time at which the caller disconnects if it has received no event.
TimePoint CallerTimeoutAt(const RequestContext& request);

/// Why a request is refused on arrival: the queue is so long that its first event would be late
/// (or, for one that its caller has sent again, would miss the caller's timeout). Empty: it is not.
std::string LongQueue(const RequestContext& request, GatewayState& state);

/// How often a generation has tried to take capacity for which requests of the peers wait too.
struct CapacityShare {
  std::uint64_t tries = 0;
  /// No earlier try is made.
  TimePoint next_try;
};

/// Whether to take free capacity in this try. When requests also wait at the peers, the free
/// capacity is divided at random, in proportion to the waiting requests.
bool MayTakeCapacity(CapacityShare& share, const RequestContext& request, GatewayState& state,
                     std::span<const core::PlacementCandidate> candidates,
                     const core::GenerationNeed& need);

}  // namespace rattanramp::gateway
