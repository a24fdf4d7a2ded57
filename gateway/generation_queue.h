// What waits for engines at this gateway and its peers, and how long it will wait.
#pragma once

#include <cstdint>

#include "core/placement.h"
#include "gateway/request_context.h"

namespace rattanramp::gateway {

/// Generations of the request's service that wait at this gateway and its peers.
core::WaitingTokens AllWaitingTokens(const RequestContext& request, const GatewayState& state);

/// Estimates how long a generation behind `waiting_tokens` waits for an engine, in ms.
double ExpectedWaitMs(const RequestContext& request, GatewayState& state,
                      std::int64_t waiting_tokens);

}  // namespace rattanramp::gateway
