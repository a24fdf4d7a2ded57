// Measures the routing decisions and prints the results as JSON. Run it on an otherwise idle
// machine, because other load distorts the times.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/bench/allocations.h"
#include "core/bench/caller_keys.h"
#include "core/bench/fleet.h"
#include "core/bench/simulation.h"
#include "core/membership.h"
#include "core/prefix.h"
#include "core/route.h"
#include "core/subset.h"
#include "core/workspace_limits.h"

namespace rattanramp::core {
namespace {

using Json = nlohmann::ordered_json;

/// Median and 99th percentile of samples in nanoseconds.
Json Quantiles(std::vector<double> samples) {
  std::sort(samples.begin(), samples.end());
  return {{"median_ns", samples[samples.size() / 2]},
          {"p99_ns", samples[samples.size() * 99 / 100]},
          {"samples", samples.size()}};
}

template <typename Work>
double TimeNs(const Work& work) {
  const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count();
}

Json MeasureRoute(std::uint32_t engines, std::uint32_t domains, std::uint64_t seed) {
  constexpr int kFleets = 200;
  constexpr int kRequestsPerFleet = 50;
  std::mt19937_64 random(seed);
  std::vector<double> planned;
  std::vector<double> naive;
  planned.reserve(kFleets * kRequestsPerFleet);
  naive.reserve(kFleets * kRequestsPerFleet);
  std::vector<CachedPrefix> cached;
  std::int64_t allocated = 0;
  int refused = 0;
  for (int f = 0; f < kFleets; ++f) {
    const BenchFleet fleet = MakeFleet(engines, domains, random);
    for (int r = 0; r < kRequestsPerFleet; ++r) {
      const RouteRequest request = MakeRequest(fleet, random, cached);
      const std::int64_t before = CountedAllocations().allocations;
      bool found = false;
      planned.push_back(
          TimeNs([&] { found = ChooseRoute(request, fleet.view(), {}).has_value(); }));
      // Refusals are not counted, because they allocate an error message.
      allocated += found ? CountedAllocations().allocations - before : 0;
      refused += found ? 0 : 1;
      naive.push_back(
          TimeNs([&] { found = ChooseRouteNaive(request, fleet.view(), {}).has_value(); }));
    }
  }
  const double decisions = kFleets * kRequestsPerFleet;
  return {{"engines", engines},
          {"failure_domains", domains},
          {"choose_route", Quantiles(planned)},
          {"allocations_per_decision", static_cast<double>(allocated) / (decisions - refused)},
          {"refused", refused},
          {"choose_route_naive", Quantiles(naive)}};
}

Json MeasurePrefix(std::uint64_t seed) {
  constexpr std::uint32_t kEngines = 64;
  constexpr std::size_t kBlocks = 65'536;
  constexpr std::int64_t kDistinct = 16'384;
  constexpr std::size_t kPromptBlocks = 15;
  std::mt19937_64 random(seed);
  PrefixIndex index(kBlocks);
  std::vector<std::int64_t> sequences(kEngines);
  std::vector<double> apply;
  apply.reserve(kBlocks * 2);
  const std::int64_t reserved = CountedAllocations().live_bytes;
  while (index.size() < kBlocks) {
    const auto engine = static_cast<std::uint32_t>(random() % kEngines);
    const CacheEvent event{++sequences[engine], static_cast<std::int64_t>(random() % kDistinct),
                           true};
    apply.push_back(TimeNs([&] { index.Apply(engine, 1, {&event, 1}); }));
  }
  const std::int64_t bytes = CountedAllocations().live_bytes - reserved;
  std::vector<double> lookup;
  std::vector<CachedPrefix> found;
  std::vector<std::int64_t> prompt(kPromptBlocks);
  for (int i = 0; i < 20'000; ++i) {
    for (std::int64_t& hash : prompt) {
      hash = static_cast<std::int64_t>(random() % kDistinct);
    }
    lookup.push_back(TimeNs([&] { index.Lookup(prompt, kEngines, found); }));
  }
  const std::string text(kPromptBlocks * kBlockBytes, 'a');
  constexpr int kHashes = 2'000;
  std::vector<double> hash;
  hash.reserve(kHashes);
  for (int i = 0; i < kHashes; ++i) {
    hash.push_back(TimeNs([&] { prompt = BlockHashes(text); }));
  }
  return {{"blocks", kBlocks},
          {"bytes_per_block", static_cast<double>(bytes) / kBlocks},
          {"apply_event", Quantiles(apply)},
          {"lookup_15_blocks", Quantiles(lookup)},
          {"hash_15_blocks", Quantiles(hash)}};
}

Json MeasureSubset() {
  constexpr std::uint32_t kAgents = 3'900;
  constexpr std::uint32_t kEntries = 360;
  constexpr std::uint32_t kChanged = kAgents / 100;
  std::vector<std::string> ids;
  const std::vector<SubsetAgent> before = MakeAgents(kAgents, ids);
  // One agent in a hundred is replaced by a new one in the same group, failure domain and region.
  std::vector<std::string> new_ids;
  for (std::uint32_t i = 0; i < kChanged; ++i) {
    new_ids.push_back("replacement-" + std::to_string(i));
  }
  std::vector<SubsetAgent> after = before;
  for (std::uint32_t i = 0; i < kChanged; ++i) {
    after[i * 100].id = new_ids[i];
  }
  std::vector<double> times;
  std::int64_t links = 0;
  std::int64_t moved = 0;
  std::int64_t unavoidable = 0;
  std::vector<std::int64_t> links_of(kAgents);
  for (std::uint32_t i = 0; i < kEntries; ++i) {
    const std::string id = "entry-" + std::to_string(i);
    const SubsetEntry entry{id, i % 13, i % 13 % 4};
    std::vector<std::uint32_t> old_choice;
    times.push_back(TimeNs([&] { old_choice = ChooseSubset(entry, before, {}); }));
    const std::vector<std::uint32_t> new_choice = ChooseSubset(entry, after, {});
    std::set<std::string_view> old_ids;
    for (const std::uint32_t index : old_choice) {
      old_ids.insert(before[index].id);
      ++links_of[index];
      unavoidable += before[index].id != after[index].id ? 1 : 0;
    }
    links += static_cast<std::int64_t>(old_choice.size());
    for (const std::uint32_t index : new_choice) {
      moved += old_ids.count(after[index].id) == 0 ? 1 : 0;
    }
  }
  std::sort(links_of.begin(), links_of.end());
  return {{"agents", kAgents},
          {"entries", kEntries},
          {"groups", 38},
          {"links_per_entry", static_cast<double>(links) / kEntries},
          {"links_per_agent_min", links_of.front()},
          {"links_per_agent_max", links_of.back()},
          {"changed_agents_percent", 1},
          {"moved_links_percent", 100.0 * static_cast<double>(moved) / static_cast<double>(links)},
          // Links to the removed agents.
          {"unavoidable_percent",
           100.0 * static_cast<double>(unavoidable) / static_cast<double>(links)},
          {"choose_subset", Quantiles(times)}};
}

Json MeasureMembership() {
  constexpr int kVms = 3'900;
  std::vector<ListedVm> list;
  std::vector<AgentReport> reports;
  for (int i = 0; i < kVms; ++i) {
    const std::string id = "agent-" + std::to_string(i);
    list.push_back({id, "10.0.0.1:7000", "domain-1", "region-1", i % 100 == 0});
    AgentReport report;
    report.id = id;
    report.state = AgentState::kReady;
    report.linked = true;
    reports.push_back(report);
  }
  constexpr int kMerges = 200;
  std::vector<double> times;
  times.reserve(kMerges);
  std::size_t members = 0;
  for (int i = 0; i < kMerges; ++i) {
    times.push_back(TimeNs([&] { members = MergeMembership(list, reports).size(); }));
  }
  return {{"vms", kVms}, {"members", members}, {"merge", Quantiles(times)}};
}

/// Decisions on the limits of many workspaces that are in use at all gateways.
Json MeasureWorkspaceLimits(int workspaces, int gateways, std::uint64_t seed) {
  constexpr int kDecisions = 50'000;
  std::mt19937_64 random(seed);
  TimePoint now{std::chrono::hours(1)};
  WorkspaceLimits limits({Milliseconds(8'000), 0.1, 120'000}, {}, now);
  std::vector<WorkspaceRule> rules(static_cast<std::size_t>(workspaces));
  std::vector<WorkspaceUse> uses;
  for (WorkspaceRule& rule : rules) {
    rule.name = "workspace-" + std::to_string(&rule - rules.data());
    rule.rate_per_s = rule.burst = 29'000;
    uses.push_back({WorkspaceKey(rule.name), 5'000, 5'000});
  }
  std::vector<std::string> peers;
  for (int i = 1; i < gateways; ++i) {
    peers.push_back("gateway-" + std::to_string(i));
  }
  limits.SetMembers(peers, now);
  limits.SetRules(rules, now);
  const auto hear = [&] {
    for (const std::string& peer : peers) {
      limits.Record(peer, 1, uses, now);
    }
  };
  const double record_ns = TimeNs(hear);
  std::vector<double> samples;
  samples.reserve(kDecisions);
  int taken = 0;
  for (int i = 0; i < kDecisions; ++i) {
    now += std::chrono::microseconds(200);
    if (i % 250 == 0) {
      for (const std::string& peer : peers) {
        limits.Record(peer, 1, {}, now);
      }
    }
    const std::string& name = rules[random() % rules.size()].name;
    samples.push_back(
        TimeNs([&] { taken += limits.Take(WorkspaceKey(name), 5'270, now).is_taken ? 1 : 0; }));
  }
  Json result = Quantiles(std::move(samples));
  result["workspaces"] = workspaces;
  result["gateways"] = gateways;
  result["taken"] = taken;
  result["record_entry_ns"] =
      record_ns / (static_cast<double>(uses.size()) * static_cast<double>(peers.size()));
  return result;
}

Json MeasurePolicy(double load, bool planned, std::uint64_t first_seed, int seeds) {
  SimulationResult sum;
  Json good = Json::array();
  Json wasted = Json::array();
  for (int i = 0; i < seeds; ++i) {
    const SimulationResult one =
        Simulate({planned, load, first_seed + static_cast<std::uint64_t>(i), 120});
    good.push_back(one.good());
    wasted.push_back(one.wasted_tokens);
    sum.arrived += one.arrived;
    sum.impatient += one.impatient;
    sum.good_impatient += one.good_impatient;
    sum.good_patient += one.good_patient;
    sum.refused += one.refused;
    sum.failed += one.failed;
    sum.callers_left += one.callers_left;
    sum.prefill_tokens += one.prefill_tokens;
    sum.wasted_tokens += one.wasted_tokens;
  }
  return {{"load", load},
          {"policy", planned ? "planned" : "naive"},
          {"good", sum.good()},
          {"arrived", sum.arrived},
          {"good_impatient", sum.good_impatient},
          {"impatient", sum.impatient},
          {"good_patient", sum.good_patient},
          {"refused", sum.refused},
          {"failed", sum.failed},
          {"callers_left", sum.callers_left},
          {"prefill_tokens", sum.prefill_tokens},
          {"wasted_tokens", sum.wasted_tokens},
          {"good_per_seed", good},
          {"wasted_per_seed", wasted}};
}

int Main(int argc, char** argv) {
  CLI::App app("Benchmark of the routing decisions");
  std::uint64_t seed = 1;
  int seeds = 5;
  bool policy_only = false;
  app.add_option("--seed", seed, "first seed");
  app.add_option("--seeds", seeds, "runs of the policy simulation per load");
  app.add_flag("--policy-only", policy_only, "run the policy simulation only");
  bool limits_only = false;
  app.add_flag("--limits-only", limits_only, "measure the limits of workspaces only");
  CLI11_PARSE(app, argc, argv);
  Json output;
  const auto measure_limits = [seed] {
    return Json{MeasureWorkspaceLimits(16, 31, seed), MeasureWorkspaceLimits(8'200, 31, seed),
                MeasureWorkspaceLimits(8'200, 103, seed)};
  };
  if (limits_only) {
    output["workspace_limits"] = measure_limits();
    std::cout << output.dump(1) << '\n';
    return 0;
  }
  if (!policy_only) {
    output["route"] = {MeasureRoute(15, 3, seed), MeasureRoute(300, 3, seed),
                       MeasureRoute(3'900, 13, seed)};
    output["prefix"] = MeasurePrefix(seed);
    output["subset"] = MeasureSubset();
    output["membership"] = MeasureMembership();
    output["workspace_limits"] = measure_limits();
    output["caller_keys"] = MeasureCallerKeys(seed);
  }
  for (const double load : {0.7, 1.0, 1.3}) {
    for (const bool planned : {false, true}) {
      output["policy"].push_back(MeasurePolicy(load, planned, seed, seeds));
    }
  }
  std::cout << output.dump(1) << '\n';
  return 0;
}

}  // namespace
}  // namespace rattanramp::core

int main(int argc, char** argv) { return rattanramp::core::Main(argc, argv); }
