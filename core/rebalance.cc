#include "core/rebalance.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace rattanramp::core {
namespace {

/// Capacity and use of the ready engines of one role. The capacity of a prefill engine is its token
/// rate, which is fully used while requests run or are queued there. The capacity of a decode
/// engine is its memory, and its use is the number of pieces in use.
struct RoleLoad {
  double capacity = 0;
  double used = 0;
  std::int32_t engines = 0;

  double utilisation() const { return capacity > 0 ? used / capacity : 0; }
};

bool IsReadyForModel(const EngineView& engine, std::uint32_t model) {
  return engine.ready && engine.model == model;
}

double PrefillCapacity(const EngineView& engine) {
  return engine.prefill_tokens_per_s > 0 ? engine.prefill_tokens_per_s : 1;
}

double DecodeCapacity(const EngineView& engine) { return engine.total_pieces; }

/// Pieces in use. If the engine is closer to its limit of running requests than to its memory
/// limit, the share of running requests is converted to pieces instead.
double DecodePiecesUsed(const EngineView& engine) {
  const double by_pieces = engine.total_pieces - engine.free_pieces;
  const double by_running = engine.max_running > 0 ? static_cast<double>(engine.total_pieces) *
                                                         engine.running / engine.max_running
                                                   : 0;
  return std::max(by_pieces, by_running);
}

RoleLoad LoadOf(std::span<const EngineView> engines, std::uint32_t model, EngineRole role) {
  RoleLoad load;
  for (const EngineView& engine : engines) {
    if (!IsReadyForModel(engine, model) ||
        (engine.role != role && engine.role != EngineRole::kBoth)) {
      continue;
    }
    ++load.engines;
    if (role == EngineRole::kPrefill) {
      load.capacity += PrefillCapacity(engine);
      load.used += engine.running + engine.queued > 0 ? PrefillCapacity(engine) : 0;
    } else {
      load.capacity += DecodeCapacity(engine);
      load.used += DecodePiecesUsed(engine);
    }
  }
  return load;
}

void Smooth(const RebalancePolicy& policy, TimePoint now, double prefill, double decode,
            RebalanceState& state) {
  double weight = 1;
  if (state.sampled_at) {
    weight = 1 - std::exp(-ToMs(now - *state.sampled_at) / std::max(1e-3, ToMs(policy.smoothing)));
  }
  state.prefill_utilisation += weight * (prefill - state.prefill_utilisation);
  state.decode_utilisation += weight * (decode - state.decode_utilisation);
  state.sampled_at = now;
}

/// True while an ordered change is in progress. Ends a change that was reported or has timed out.
bool IsChangePending(std::span<const EngineView> engines, const RebalancePolicy& policy,
                     TimePoint now, RebalanceState& state) {
  if (!state.pending) {
    return false;
  }
  const bool reported = state.pending->engine < engines.size() &&
                        engines[state.pending->engine].ready &&
                        engines[state.pending->engine].role == state.pending->role;
  if (!reported && now - *state.ordered_at < policy.change_timeout) {
    return true;
  }
  state.pending.reset();
  state.completed_at = now;
  return false;
}

/// Utilisation that the engine's role would have without the engine at the current smoothed load.
double UtilisationWithout(const EngineView& engine, const RoleLoad& load, double utilisation) {
  const double leaving =
      engine.role == EngineRole::kPrefill ? PrefillCapacity(engine) : DecodeCapacity(engine);
  const double rest = load.capacity - leaving;
  return rest > 0 ? utilisation * load.capacity / rest : 2 * utilisation + 1;
}

bool IsLastInDomain(std::span<const EngineView> engines, const EngineView& engine) {
  return std::count_if(engines.begin(), engines.end(), [&engine](const EngineView& other) {
           return IsReadyForModel(other, engine.model) && other.role == engine.role &&
                  other.failure_domain == engine.failure_domain;
         }) == 1;
}

/// Chooses the engine that leaves `donor_role`. Engines that are not the last of their role in
/// their failure domain are preferred, then engines with the fewest running and queued requests.
std::optional<std::uint32_t> ChooseEngine(std::span<const EngineView> engines, std::uint32_t model,
                                          const RebalancePolicy& policy, EngineRole donor_role,
                                          const RoleLoad& load, double utilisation) {
  if (load.engines <= policy.min_per_role) {
    return std::nullopt;
  }
  std::optional<std::uint32_t> best;
  std::tuple<bool, std::int32_t> best_key;
  for (std::uint32_t i = 0; i < engines.size(); ++i) {
    const EngineView& engine = engines[i];
    if (!IsReadyForModel(engine, model) || engine.role != donor_role ||
        UtilisationWithout(engine, load, utilisation) > policy.low_utilisation) {
      continue;
    }
    const std::tuple<bool, std::int32_t> key(IsLastInDomain(engines, engine),
                                             engine.running + engine.queued);
    if (!best || key < best_key) {
      best = i;
      best_key = key;
    }
  }
  return best;
}

}  // namespace

std::optional<RoleChange> DecideRoleChange(std::span<const EngineView> engines, std::uint32_t model,
                                           const RebalancePolicy& policy, TimePoint now,
                                           RebalanceState& state) {
  const RoleLoad prefill = LoadOf(engines, model, EngineRole::kPrefill);
  const RoleLoad decode = LoadOf(engines, model, EngineRole::kDecode);
  Smooth(policy, now, prefill.utilisation(), decode.utilisation(), state);
  if (IsChangePending(engines, policy, now, state) ||
      (state.completed_at && now - *state.completed_at < policy.min_between_changes)) {
    return std::nullopt;
  }
  std::optional<std::uint32_t> engine;
  EngineRole role = EngineRole::kBoth;
  if (state.prefill_utilisation >= policy.high_utilisation) {
    role = EngineRole::kPrefill;
    engine =
        ChooseEngine(engines, model, policy, EngineRole::kDecode, decode, state.decode_utilisation);
  } else if (state.decode_utilisation >= policy.high_utilisation) {
    role = EngineRole::kDecode;
    engine = ChooseEngine(engines, model, policy, EngineRole::kPrefill, prefill,
                          state.prefill_utilisation);
  }
  if (!engine) {
    return std::nullopt;
  }
  state.pending = RoleChange{*engine, role};
  state.ordered_at = now;
  return state.pending;
}

}  // namespace rattanramp::core
