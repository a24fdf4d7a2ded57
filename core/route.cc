#include "core/route.h"

#include <algorithm>

namespace rattanramp::core {
namespace {

bool IsCandidate(const RouteRequest& request, const EngineView& engine) {
  const bool excluded = std::find(request.excluded.begin(), request.excluded.end(), engine.index) !=
                        request.excluded.end();
  return engine.ready && engine.model == request.model && !excluded;
}

const EngineView* LeastLoaded(const RouteRequest& request, const FleetView& fleet,
                              EngineRole unwanted) {
  const EngineView* best = nullptr;
  for (const EngineView& engine : fleet.engines) {
    if (!IsCandidate(request, engine) || engine.role == unwanted) {
      continue;
    }
    if (best == nullptr || engine.running + engine.queued < best->running + best->queued) {
      best = &engine;
    }
  }
  return best;
}

}  // namespace

std::int32_t PiecesFor(std::int32_t prompt_tokens, std::int32_t output_tokens) {
  return (prompt_tokens + output_tokens + kPieceTokens - 1) / kPieceTokens;
}

Result<Route> ChooseRouteNaive(const RouteRequest& request, const FleetView& fleet,
                               const RoutePolicy& policy) {
  const EngineView* decode = LeastLoaded(request, fleet, EngineRole::kPrefill);
  if (decode == nullptr) {
    return Error{ErrorKind::kUnavailable, "no decode engine is ready for the model",
                 "retry later; check 'upstream list'"};
  }
  const EngineView* prefill = LeastLoaded(request, fleet, EngineRole::kDecode);
  Route route;
  route.decode_engine = decode->index;
  route.prefill_engine = prefill == nullptr ? decode->index : prefill->index;
  route.in_place = route.prefill_engine == route.decode_engine;
  route.pieces = PiecesFor(request.prompt_tokens, request.expected_output_tokens);
  route.hold_ms = policy.hold_margin_ms;
  return route;
}

Result<Route> ChooseRoute(const RouteRequest& request, const FleetView& fleet,
                          const RoutePolicy& policy) {
  return ChooseRouteNaive(request, fleet, policy);
}

}  // namespace rattanramp::core
