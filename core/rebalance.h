// Changes the role of engines between prefill and decode when the load of the two roles shifts.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "base/clock.h"
#include "core/route.h"

namespace rattanramp::core {

struct RebalancePolicy {
  /// A role needs another engine when its utilisation is at least this.
  double high_utilisation = 0.9;
  /// A role may lose an engine when its utilisation without that engine would be at most this. The
  /// difference to `high_utilisation` is hysteresis: it prevents small changes of load from moving
  /// an engine back and forth.
  double low_utilisation = 0.7;
  /// Time constant of the smoothed utilisations. It must be much shorter than min_between_changes,
  /// so that the utilisations have settled before the next decision.
  Duration smoothing = Milliseconds(15'000);
  Duration min_between_changes = Milliseconds(60'000);
  /// A change counts as failed when the engine has not reported its new role within this time.
  Duration change_timeout = Milliseconds(120'000);
  std::int32_t min_per_role = 1;
};

struct RoleChange {
  std::uint32_t engine = 0;
  EngineRole role = EngineRole::kBoth;
};

/// State of one model that is kept between decisions.
struct RebalanceState {
  std::optional<TimePoint> sampled_at;
  double prefill_utilisation = 0;
  double decode_utilisation = 0;
  /// Change that was ordered and that the engine has not reported yet.
  std::optional<RoleChange> pending;
  /// Time at which the last change was ordered, and time at which it completed or timed out.
  std::optional<TimePoint> ordered_at;
  std::optional<TimePoint> completed_at;
};

/// Samples the load of one model's engines and decides whether one of them changes role. At most
/// one change is in progress at a time, and no role loses its last engine. Engines in the role
/// kBoth count for both roles and are not changed. Only one process may make these decisions for a
/// model at a time.
std::optional<RoleChange> DecideRoleChange(std::span<const EngineView> engines, std::uint32_t model,
                                           const RebalancePolicy& policy, TimePoint now,
                                           RebalanceState& state);

}  // namespace rattanramp::core
