// Which engines a generation may go to next.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "core/placement.h"
#include "gateway/engine_run.h"
#include "gateway/request_context.h"

namespace rattanramp::gateway {

/// The engines of the request's service, in the order of Fleet::OfService; those that were tried
/// are not usable.
std::vector<core::PlacementCandidate> EngineCandidates(const RequestContext& request,
                                                       const GatewayState& state);

/// Index in the upstreams of the service; empty for null and for upstreams that were removed.
std::optional<std::size_t> IndexOf(const RequestContext& request, const GatewayState& state,
                                   const std::shared_ptr<Upstream>& upstream);

/// Where a generation is started that has the kept prompt of `run`, if it holds one.
std::optional<core::GenerationPlacement> ChooseEngines(
    const RequestContext& request, const GatewayState& state, const EngineRun& run,
    std::span<const core::PlacementCandidate> candidates, const core::GenerationNeed& need);

/// Whether another engine could decode at once. is_stream_open: the caller has received a part of
/// the stream, so that it precedes the requests that wait at the peers.
bool HasOtherDecode(const RequestContext& request, const GatewayState& state,
                    std::int64_t memory_tokens, bool is_stream_open);

/// Whether an engine other than that of `run` could read the prompt.
bool HasOtherPrefill(const RequestContext& request, const GatewayState& state,
                     const EngineRun& run);

/// The engine that is to take the prompt when it has been read: that of `run`, or another one if it
/// has ended, takes no requests or is overloaded. Null: there is none.
std::shared_ptr<Upstream> ChooseDecode(const RequestContext& request, const GatewayState& state,
                                       const EngineRun& run, std::int64_t memory_tokens);

}  // namespace rattanramp::gateway
