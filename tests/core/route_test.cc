#include "core/route.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <vector>

using namespace rattanramp;        // NOLINT
using namespace rattanramp::core;  // NOLINT

namespace {

struct Scenario {
  std::vector<EngineView> engines;
  std::vector<double> one_way_ms;
  std::vector<CachedPrefix> cached;
  std::vector<std::uint32_t> excluded;
  RouteRequest request;
  RoutePolicy policy;

  FleetView fleet(std::uint32_t domains) const { return {engines, one_way_ms, domains}; }
};

int In(int low, int high) { return *rc::gen::inRange(low, high + 1); }

EngineView RandomEngine(std::uint32_t index, int domains, int models) {
  EngineView engine;
  engine.index = index;
  engine.failure_domain = static_cast<std::uint32_t>(In(0, domains - 1));
  engine.model = static_cast<std::uint32_t>(In(0, models - 1));
  engine.role = static_cast<EngineRole>(In(0, 2));
  engine.ready = In(0, 9) > 0;
  engine.total_pieces = In(1, 40);
  engine.free_pieces = In(0, engine.total_pieces);
  engine.max_running = In(0, 20);
  engine.running = In(0, 20);
  engine.queued = In(0, 2);
  engine.queued_prefill_tokens = In(0, 3) * 5'000;
  engine.prefill_tokens_per_s = In(0, 3) * 8'000;
  engine.decode_token_ms = In(10, 80);
  engine.link_queue_bytes = In(0, 2) * 50'000'000LL;
  engine.link_bytes_per_s = In(0, 2) * 1e9;
  engine.kv_bytes_per_token = In(1, 3) * 50'000.0;
  engine.quarantined_running = In(0, 4) == 0 ? 1 : 0;
  return engine;
}

Scenario RandomScenario(int domains) {
  Scenario scenario;
  const int count = In(0, 25);
  const int models = In(1, 2);
  for (int i = 0; i < count; ++i) {
    scenario.engines.push_back(RandomEngine(static_cast<std::uint32_t>(i), domains, models));
  }
  for (int i = 0; i < domains * domains; ++i) {
    scenario.one_way_ms.push_back(i % (domains + 1) == 0 ? 0 : In(0, 20) / 2.0);
  }
  for (int i = 0; i < count; i += In(1, 8)) {
    scenario.cached.push_back({static_cast<std::uint32_t>(In(0, count - 1)), In(0, 30'000)});
  }
  for (int i = In(0, 2); i < count && i < 2; ++i) {
    scenario.excluded.push_back(static_cast<std::uint32_t>(In(0, count - 1)));
  }
  RouteRequest& request = scenario.request;
  request.failure_domain = static_cast<std::uint32_t>(In(0, domains - 1));
  request.prompt_tokens = In(1, 30'000);
  request.expected_output_tokens = In(1, 500);
  request.first_output_target_ms = In(1, 4) * 500;
  request.pace_target_ms = In(0, 2) * 40;
  request.patient = In(0, 1) == 1;
  request.quarantined = In(0, 3) == 0;
  request.seed = static_cast<std::uint64_t>(In(0, 1'000'000));
  scenario.policy.near_equal_ms = In(0, 2) * 5;
  return scenario;
}

std::optional<RouteScore> SearchAllPairs(const Scenario& scenario, const FleetView& fleet) {
  std::optional<RouteScore> best;
  const auto count = static_cast<std::uint32_t>(scenario.engines.size());
  for (std::uint32_t prefill = 0; prefill < count; ++prefill) {
    for (std::uint32_t decode = 0; decode < count; ++decode) {
      const RouteScore score =
          ScoreRoute(scenario.request, fleet, scenario.policy, prefill, decode);
      if (score.feasible && (!best || IsBetterRoute(scenario.request, score, *best))) {
        best = score;
      }
    }
  }
  return best;
}

EngineView IdleEngine(std::uint32_t index, EngineRole role) {
  EngineView engine;
  engine.index = index;
  engine.role = role;
  engine.ready = true;
  engine.total_pieces = engine.free_pieces = 40;
  engine.max_running = 20;
  engine.prefill_tokens_per_s = 10'000;
  engine.decode_token_ms = 30;
  engine.link_bytes_per_s = 1e9;
  engine.kv_bytes_per_token = 100'000;
  return engine;
}

Scenario IdleEnginePair() {
  Scenario scenario;
  scenario.engines = {IdleEngine(0, EngineRole::kPrefill), IdleEngine(1, EngineRole::kDecode)};
  scenario.engines[1].failure_domain = 1;
  scenario.one_way_ms = {0, 2, 2, 0};
  scenario.policy.near_equal_ms = 0;
  scenario.request.prompt_tokens = 10'000;
  scenario.request.expected_output_tokens = 100;
  scenario.request.first_output_target_ms = 10'000;
  return scenario;
}

}  // namespace

// Guards against candidate lists that omit the best pair of engines, contain infeasible engines or
// rank routes differently from an exhaustive search.
Test(route, equals_exhaustive_search) {
  cr_assert(rc::check("ChooseRoute equals exhaustive search", [] {
    for (int round = 0; round < 20; ++round) {
      const int domains = In(1, 4);
      Scenario scenario = RandomScenario(domains);
      scenario.request.cached = scenario.cached;
      scenario.request.excluded = scenario.excluded;
      const FleetView fleet = scenario.fleet(static_cast<std::uint32_t>(domains));
      const std::optional<RouteScore> best = SearchAllPairs(scenario, fleet);
      const Result<Route> chosen = ChooseRoute(scenario.request, fleet, scenario.policy);
      RC_ASSERT(chosen.has_value() == best.has_value());
      if (!best) {
        continue;
      }
      const RouteScore score =
          ScoreRoute(scenario.request, fleet, scenario.policy, chosen.value().prefill_engine,
                     chosen.value().decode_engine);
      RC_ASSERT(score.feasible);
      RC_ASSERT(score.misses_pace == best->misses_pace);
      RC_ASSERT(std::abs(score.score_ms - best->score_ms) < 1e-6);
      RC_ASSERT(!scenario.request.patient ||
                best->score_ms > scenario.request.first_output_target_ms ||
                score.low_memory_pieces == best->low_memory_pieces);
      RC_ASSERT(std::abs(chosen.value().first_token_ms - score.route.first_token_ms) < 1e-6);
    }
  }));
}

// Guards against routes that are not found when there are more failure domains than candidate
// lists. Shared lists ignore the distance between engines, so a route may be worse by the latency
// of one transfer's two messages.
Test(route, routes_stay_near_the_best_with_many_domains) {
  cr_assert(rc::check("routes stay near the best with 40 domains", [] {
    Scenario scenario = RandomScenario(40);
    scenario.request.patient = false;
    const FleetView fleet = scenario.fleet(40);
    const std::optional<RouteScore> best = SearchAllPairs(scenario, fleet);
    const Result<Route> chosen = ChooseRoute(scenario.request, fleet, scenario.policy);
    RC_ASSERT(chosen.has_value() == best.has_value());
    if (best) {
      const RouteScore score =
          ScoreRoute(scenario.request, fleet, scenario.policy, chosen.value().prefill_engine,
                     chosen.value().decode_engine);
      const double farthest = *std::max_element(fleet.one_way_ms.begin(), fleet.one_way_ms.end());
      RC_ASSERT(score.feasible);
      RC_ASSERT(score.score_ms <= best->score_ms + 2 * farthest + 1e-6);
    }
  }));
}

// Guards against a cached prefix that causes a request to be sent to a slower engine than the best
// one without the cache.
Test(route, cached_prefix_never_selects_a_slower_route) {
  cr_assert(rc::check("a cached prefix never selects a slower route", [] {
    Scenario scenario = RandomScenario(2);
    scenario.request.patient = false;
    const FleetView fleet = scenario.fleet(2);
    const Result<Route> uncached = ChooseRoute(scenario.request, fleet, scenario.policy);
    scenario.request.cached = scenario.cached;
    const Result<Route> cached = ChooseRoute(scenario.request, fleet, scenario.policy);
    RC_ASSERT(uncached.has_value() == cached.has_value());
    if (uncached) {
      const RouteScore with =
          ScoreRoute(scenario.request, fleet, scenario.policy, cached.value().prefill_engine,
                     cached.value().decode_engine);
      scenario.request.cached = {};
      const RouteScore without =
          ScoreRoute(scenario.request, fleet, scenario.policy, uncached.value().prefill_engine,
                     uncached.value().decode_engine);
      RC_ASSERT(with.score_ms <= without.score_ms + 1e-6);
    }
  }));
}

// Guards against a term that is missing from the estimate or counted twice. The expected value is
// written out as a sum.
Test(route, estimate_equals_sum_of_terms) {
  Scenario scenario = IdleEnginePair();
  scenario.engines[0].queued_prefill_tokens = 1'000;
  scenario.engines[0].link_queue_bytes = 100'000'000;
  scenario.engines[1].prefill_tokens_per_s = 100;
  const Route route = ChooseRoute(scenario.request, scenario.fleet(2), scenario.policy).value();
  cr_assert(!route.in_place);
  // The terms are: prefill 1,100 ms; transfer of 1.1 GB in 1,100 ms; four messages of 2 ms to the
  // decode engine; two messages of 2 ms between the engines; one decode step of 30 ms.
  cr_assert_float_eq(route.first_token_ms, 1'100 + 1'100 + 4 * 2 + 2 * 2 + 30, 1e-6);
  cr_assert_float_eq(route.hold_ms, 1'100 + 2 * 2 + scenario.policy.hold_margin_ms, 1e-6);
  cr_assert_eq(route.pieces, 5);
}

// Guards against a KV cache transfer where prefill in place is faster: for short prompts, for
// prompts that are cached at the decode engine, and for slow transfer links.
Test(route, prefills_in_place_when_that_is_faster) {
  Scenario scenario = IdleEnginePair();
  scenario.engines[0].kv_bytes_per_token = 20'000;
  cr_assert(!ChooseRoute(scenario.request, scenario.fleet(2), scenario.policy).value().in_place);
  scenario.request.prompt_tokens = 300;
  cr_assert(ChooseRoute(scenario.request, scenario.fleet(2), scenario.policy).value().in_place);
  scenario.request.prompt_tokens = 10'000;
  const std::vector<CachedPrefix> cached = {{1, 10'000}};
  scenario.request.cached = cached;
  cr_assert(ChooseRoute(scenario.request, scenario.fleet(2), scenario.policy).value().in_place);
  scenario.request.cached = {};
  scenario.engines[0].link_bytes_per_s = 1e8;
  cr_assert(ChooseRoute(scenario.request, scenario.fleet(2), scenario.policy).value().in_place);
}

// Guards against entries with the same outdated view all choosing the same engine and overloading
// it.
Test(route, seeds_spread_requests_over_equal_engines) {
  Scenario scenario;
  for (std::uint32_t i = 0; i < 20; ++i) {
    scenario.engines.push_back(IdleEngine(i, EngineRole::kBoth));
  }
  scenario.request.prompt_tokens = 1'000;
  std::vector<int> chosen(20);
  for (std::uint64_t seed = 0; seed < 2'000; ++seed) {
    scenario.request.seed = seed;
    ++chosen
        [ChooseRoute(scenario.request, scenario.fleet(0), scenario.policy).value().decode_engine];
  }
  // The mean is 100; five standard deviations of a uniform choice are 49.
  cr_assert_geq(*std::min_element(chosen.begin(), chosen.end()), 51);
  cr_assert_leq(*std::max_element(chosen.begin(), chosen.end()), 149);
}

// Guards against errors with the wrong kind: only kOverloaded and kUnavailable mean that a later
// retry can succeed.
Test(route, errors_state_the_cause) {
  Scenario scenario = IdleEnginePair();
  scenario.engines[1].free_pieces = 1;
  cr_assert(ChooseRoute(scenario.request, scenario.fleet(2), scenario.policy).error().kind ==
            ErrorKind::kOverloaded);
  scenario.request.prompt_tokens = 41 * kPieceTokens;
  cr_assert(ChooseRoute(scenario.request, scenario.fleet(2), scenario.policy).error().kind ==
            ErrorKind::kInvalidArgument);
  scenario.request.model = 1;
  cr_assert(ChooseRoute(scenario.request, scenario.fleet(2), scenario.policy).error().kind ==
            ErrorKind::kUnavailable);
}
