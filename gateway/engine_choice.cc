#include "gateway/engine_choice.h"

#include <algorithm>
#include <span>

namespace rattanramp::gateway {

std::vector<core::PlacementCandidate> EngineCandidates(const RequestContext& request,
                                                       const GatewayState& state) {
  std::vector<core::PlacementCandidate> candidates;
  state.fleet.FillCandidates(request.service->name, *request.service, request.tried,
                             request.facts.prompt_id, state.clock.now(), candidates);
  return candidates;
}

std::optional<std::size_t> IndexOf(const RequestContext& request, const GatewayState& state,
                                   const std::shared_ptr<Upstream>& upstream) {
  const std::span<const std::shared_ptr<Upstream>> upstreams =
      state.fleet.OfService(request.service->name);
  const auto found = std::find(upstreams.begin(), upstreams.end(), upstream);
  return found == upstreams.end() ? std::nullopt
                                  : std::optional<std::size_t>(found - upstreams.begin());
}

std::optional<core::GenerationPlacement> ChooseEngines(
    const RequestContext& request, const GatewayState& state, const EngineRun& run,
    std::span<const core::PlacementCandidate> candidates, const core::GenerationNeed& need) {
  if (!core::IsHeld(run.handle, state.clock.now())) {
    return core::PlaceGeneration(candidates, need, request.seed);
  }
  const std::optional<std::size_t> prefill = IndexOf(request, state, run.prefill);
  const auto decode = core::PlaceKeptPrompt(candidates, need, prefill, request.seed);
  return decode ? std::optional(core::GenerationPlacement{*decode, prefill}) : std::nullopt;
}

bool HasOtherDecode(const RequestContext& request, const GatewayState& state,
                    std::int64_t memory_tokens, bool is_stream_open) {
  // Free capacity for which requests of the peers wait cannot be taken at once.
  const core::WaitingTokens peers = state.fleet.PeerWaitingTokens(request.service->name);
  if (!is_stream_open && (peers.on_time > 0 || peers.late > 0)) {
    return false;
  }
  return core::PlaceGeneration(EngineCandidates(request, state),
                               {request.facts.prompt_tokens, memory_tokens}, request.seed)
      .has_value();
}

bool HasOtherPrefill(const RequestContext& request, const GatewayState& state,
                     const EngineRun& run) {
  const std::vector<core::PlacementCandidate> candidates = EngineCandidates(request, state);
  const std::span<const std::shared_ptr<Upstream>> upstreams =
      state.fleet.OfService(request.service->name);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].stage == core::UpstreamStage::kPrefill && candidates[i].is_usable &&
        upstreams[i] != run.prefill) {
      return true;
    }
  }
  return false;
}

std::shared_ptr<Upstream> ChooseDecode(const RequestContext& request, const GatewayState& state,
                                       const EngineRun& run, std::int64_t memory_tokens) {
  const TimePoint now = state.clock.now();
  const bool is_lost =
      IsClosed(*run.decode, now) ||
      std::find(request.tried.begin(), request.tried.end(), run.decode->key) != request.tried.end();
  const std::vector<core::PlacementCandidate> candidates = EngineCandidates(request, state);
  const core::GenerationNeed need = {request.facts.prompt_tokens, memory_tokens};
  const std::optional<std::size_t> chosen = IndexOf(request, state, run.decode);
  std::optional<std::size_t> other;
  if (is_lost || IsAvoided(*run.decode, now)) {
    other =
        core::PlaceKeptPrompt(candidates, need, IndexOf(request, state, run.prefill), request.seed);
  } else if (chosen) {
    other = core::LessLoadedDecode(candidates, *chosen, need, request.seed);
  }
  if (other) {
    return state.fleet.OfService(request.service->name)[*other];
  }
  return is_lost ? nullptr : run.decode;
}

}  // namespace rattanramp::gateway
