#include "core/rebalance.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace rattanramp;        // NOLINT
using namespace rattanramp::core;  // NOLINT

namespace {

const TimePoint kStart{std::chrono::hours(1)};

int In(int low, int high) { return *rc::gen::inRange(low, high + 1); }

EngineView Engine(EngineRole role) {
  EngineView engine;
  engine.role = role;
  engine.ready = true;
  engine.total_pieces = 40;
  engine.prefill_tokens_per_s = 10'000;
  return engine;
}

int CountRole(const std::vector<EngineView>& engines, EngineRole role) {
  return static_cast<int>(
      std::count_if(engines.begin(), engines.end(),
                    [role](const EngineView& engine) { return engine.role == role; }));
}

/// Distributes the load of each role, given as a number of fully used engines, over the engines of
/// the role. Each prefill engine is busy with the corresponding probability.
void ApplyLoad(std::vector<EngineView>& engines, double prefill, double decode,
               std::mt19937& random) {
  std::uniform_real_distribution<double> unit;
  const double busy = prefill / std::max(1, CountRole(engines, EngineRole::kPrefill));
  const double used = std::min(1.0, decode / std::max(1, CountRole(engines, EngineRole::kDecode)));
  for (EngineView& engine : engines) {
    engine.running = engine.role == EngineRole::kPrefill && unit(random) < busy ? 1 : 0;
    engine.free_pieces = static_cast<int>(
        std::lround(engine.total_pieces * (engine.role == EngineRole::kDecode ? 1 - used : 1)));
  }
}

/// Simulates role changes in steps of one second; each change takes five seconds to take effect.
struct LoadRun {
  std::vector<EngineView> engines;
  RebalanceState state;
  std::vector<EngineRole> changes;
  std::mt19937 random{20261204};
  int second = 0;

  explicit LoadRun(int prefills, int decodes) {
    engines.assign(static_cast<std::size_t>(prefills), Engine(EngineRole::kPrefill));
    engines.insert(engines.end(), static_cast<std::size_t>(decodes), Engine(EngineRole::kDecode));
  }

  void Advance(int seconds, double prefill, double decode, double noise) {
    std::normal_distribution<double> factor(1, noise);
    for (const int end = second + seconds; second < end; ++second) {
      ApplyLoad(engines, prefill * factor(random), decode * factor(random), random);
      const std::optional<RoleChange> change =
          DecideRoleChange(engines, 0, {}, kStart + Milliseconds(1'000 * second), state);
      if (change) {
        changes.push_back(change->role);
      }
      if (state.pending &&
          kStart + Milliseconds(1'000 * second) - *state.ordered_at >= Milliseconds(5'000)) {
        engines[state.pending->engine].role = state.pending->role;
      }
    }
  }
};

}  // namespace

// Guards against a role change that the rules forbid and against one that is required but not
// ordered. The decision is compared with a check of the rules for every engine.
Test(rebalance, equals_rules_checked_for_each_engine) {
  cr_assert(rc::check("decision equals rules", [] {
    std::vector<EngineView> engines;
    for (int i = In(0, 8); i > 0; --i) {
      EngineView engine = Engine(static_cast<EngineRole>(In(0, 2)));
      engine.ready = In(0, 5) > 0;
      engine.failure_domain = static_cast<std::uint32_t>(In(0, 2));
      engine.running = In(0, 1);
      engine.free_pieces = In(0, 1) == 1 ? 40 : In(0, 40);
      engines.push_back(engine);
    }
    const RebalancePolicy policy;
    const auto utilisation = [&](EngineRole role, std::size_t without) {
      double capacity = 0;
      double used = 0;
      for (std::size_t i = 0; i < engines.size(); ++i) {
        if (!engines[i].ready ||
            (engines[i].role != role && engines[i].role != EngineRole::kBoth)) {
          continue;
        }
        capacity += i == without ? 0 : 40;
        const double pieces = 40 - engines[i].free_pieces;
        used += role == EngineRole::kDecode ? pieces : 40 * engines[i].running;
      }
      return capacity > 0 ? used / capacity : 2.0;
    };
    const auto allowed = [&](std::size_t i, EngineRole from, EngineRole to) {
      return engines[i].ready && engines[i].role == from &&
             utilisation(to, engines.size()) >= policy.high_utilisation &&
             utilisation(to, engines.size()) <= 1 && utilisation(from, i) <= policy.low_utilisation;
    };
    bool any = false;
    for (std::size_t i = 0; i < engines.size(); ++i) {
      any = any || allowed(i, EngineRole::kDecode, EngineRole::kPrefill) ||
            allowed(i, EngineRole::kPrefill, EngineRole::kDecode);
    }
    RebalanceState state;
    const std::optional<RoleChange> change = DecideRoleChange(engines, 0, policy, kStart, state);
    RC_ASSERT(change.has_value() == any);
    if (change) {
      const EngineRole from = engines[change->engine].role;
      RC_ASSERT(allowed(change->engine, from, change->role));
      RC_ASSERT(!DecideRoleChange(engines, 0, policy, kStart, state));
    }
  }));
}

// Guards against oscillation after a load step: engines change in one direction only, at least the
// minimum time apart, and change back only after the load has shifted back.
Test(rebalance, load_step_moves_engines_one_way) {
  LoadRun run(5, 5);
  run.Advance(300, 2.5, 2.5, 0);
  cr_assert(run.changes.empty());
  run.Advance(1'800, 5.5, 1.5, 0);
  const std::size_t moved = run.changes.size();
  cr_assert_geq(moved, 1);
  cr_assert_eq(std::count(run.changes.begin(), run.changes.end(), EngineRole::kDecode), 0);
  cr_assert_eq(CountRole(run.engines, EngineRole::kPrefill), 5 + static_cast<int>(moved));
  run.Advance(1'800, 1.5, 4.5, 0);
  cr_assert_geq(run.changes.size(), moved + 1);
  cr_assert_eq(std::count(run.changes.begin() + static_cast<std::ptrdiff_t>(moved),
                          run.changes.end(), EngineRole::kPrefill),
               0);
}

// Guards against engines that change roles back and forth when a noisy load is near a threshold.
Test(rebalance, noise_does_not_reverse_changes) {
  for (const double prefill : {3.0, 4.0, 4.5, 5.0}) {
    LoadRun run(5, 5);
    run.Advance(7'200, prefill, 2.6, 0.15);
    cr_assert_eq(std::count(run.changes.begin(), run.changes.end(), EngineRole::kDecode), 0,
                 "reversed at %.1f", prefill);
  }
}

// Guards against a second order while one is in progress, an order that is repeated too early after
// a failed one, and a change that leaves a role without engines.
Test(rebalance, one_change_at_a_time_and_never_the_last_engine) {
  std::vector<EngineView> engines = {Engine(EngineRole::kPrefill), Engine(EngineRole::kDecode),
                                     Engine(EngineRole::kDecode)};
  engines[0].running = 1;
  engines[1].free_pieces = engines[2].free_pieces = 40;
  const RebalancePolicy policy;
  RebalanceState state;
  cr_assert(DecideRoleChange(engines, 0, policy, kStart, state).has_value());
  const TimePoint timeout = kStart + policy.change_timeout;
  cr_assert_not(DecideRoleChange(engines, 0, policy, timeout - Milliseconds(1), state).has_value());
  cr_assert_not(DecideRoleChange(engines, 0, policy, timeout, state).has_value());
  const TimePoint again = timeout + policy.min_between_changes;
  cr_assert_not(DecideRoleChange(engines, 0, policy, again - Milliseconds(1), state).has_value());
  const std::optional<RoleChange> change = DecideRoleChange(engines, 0, policy, again, state);
  cr_assert(change.has_value());
  engines[change->engine].role = EngineRole::kPrefill;
  engines[change->engine].running = 1;
  for (int hour = 1; hour < 5; ++hour) {
    cr_assert_not(
        DecideRoleChange(engines, 0, policy, again + std::chrono::hours(hour), state).has_value());
  }
}
