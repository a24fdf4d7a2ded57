// Changes of engines between the prefill and the decode role as the load shifts.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "base/clock.h"
#include "core/route.h"

namespace rattanramp::core {

struct RebalancePolicy {
  /// A role asks for an engine when its utilisation is at least this.
  double high = 0.9;
  /// A role gives an engine when its utilisation without it would be at most this. The distance to
  /// `high` keeps an engine from being asked back on every small change of load.
  double low = 0.7;
  /// Time constant of the smoothed utilisations. Well under min_between_changes, so that they have
  /// settled before the next decision.
  Duration smoothing = Milliseconds(15'000);
  Duration min_between_changes = Milliseconds(60'000);
  /// A change that the engine has not reported by then counts as failed.
  Duration change_timeout = Milliseconds(120'000);
  std::int32_t min_per_role = 1;
};

struct RoleChange {
  std::uint32_t engine = 0;
  EngineRole role = EngineRole::kBoth;
};

/// Carried from one decision to the next for one model.
struct RebalanceState {
  std::optional<TimePoint> sampled;
  double prefill_utilisation = 0;
  double decode_utilisation = 0;
  /// Ordered and not yet reported by the engine.
  std::optional<RoleChange> pending;
  /// When the last change was ordered and when it was completed or given up.
  std::optional<TimePoint> ordered;
  std::optional<TimePoint> completed;
};

/// Samples the load of one model's engines and decides whether one of them changes role. At most
/// one change is under way at a time, and no role loses its last engine. Engines in the role kBoth
/// count for both roles and are not changed. The caller must be the only one that decides for the
/// model.
std::optional<RoleChange> DecideRoleChange(std::span<const EngineView> engines, std::uint32_t model,
                                           const RebalancePolicy& policy, TimePoint now,
                                           RebalanceState& state);

}  // namespace rattanramp::core
