#include "core/bench/caller_keys.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/bench/allocations.h"
#include "core/caller_keys.h"
#include "core/routing_table.h"

namespace rattanramp::core {
namespace {

constexpr int kWorkspaces = 10'000;
constexpr int kKeysEach = 4;
constexpr int kBuilds = 20;
constexpr int kLookups = 200'000;

template <typename Work>
double TimeNs(const Work& work) {
  const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count();
}

nlohmann::ordered_json Quantiles(std::vector<double> samples) {
  std::sort(samples.begin(), samples.end());
  return {{"median_ns", samples[samples.size() / 2]},
          {"p99_ns", samples[samples.size() * 99 / 100]},
          {"samples", samples.size()}};
}

RoutingRules MakeRules(std::mt19937_64& random) {
  RoutingRules rules;
  RouteRule& route = rules.routes.emplace_back();
  route.host = "h";
  route.path_prefix = "/";
  route.timeout_ms = 1'000;
  route.services = {{"s", 1}};
  for (int i = 0; i < kWorkspaces; ++i) {
    WorkspaceRule& workspace = rules.workspaces.emplace_back();
    workspace.name = fmt::format("workspace-{}", i);
    for (int j = 0; j < kKeysEach; ++j) {
      workspace.keys.push_back(fmt::format("sk-{:016x}{:016x}", random(), random()));
    }
  }
  return rules;
}

}  // namespace

nlohmann::ordered_json MeasureCallerKeys(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const RoutingRules rules = MakeRules(random);
  std::vector<double> index_builds;
  std::vector<double> table_builds;
  std::shared_ptr<const RoutingTable> table;
  std::int64_t bytes = 0;
  for (int i = 0; i < kBuilds; ++i) {
    const std::int64_t before = CountedAllocations().live_bytes;
    CallerKeys index;
    index_builds.push_back(TimeNs([&] { index = CallerKeys(rules.workspaces); }));
    bytes = CountedAllocations().live_bytes - before;
    RoutingRules copy = rules;
    table_builds.push_back(TimeNs([&] { table = RoutingTable::Create(std::move(copy)).value(); }));
  }
  std::vector<double> known;
  std::vector<double> unknown;
  const RouteRule& route = table->routes().front();
  int found = 0;
  for (int i = 0; i < kLookups; ++i) {
    const WorkspaceRule& workspace = rules.workspaces[random() % kWorkspaces];
    std::string key = workspace.keys[random() % kKeysEach];
    const auto find = [&] {
      found += IdentifyCaller(*table, route, key).kind == CallerKind::kKnown ? 1 : 0;
    };
    known.push_back(TimeNs(find));
    key.back() = '!';
    unknown.push_back(TimeNs(find));
  }
  return {{"workspaces", kWorkspaces},
          {"keys_each", kKeysEach},
          {"build_index", Quantiles(index_builds)},
          {"build_table", Quantiles(table_builds)},
          {"index_bytes", bytes},
          {"find_known", Quantiles(known)},
          {"find_unknown", Quantiles(unknown)},
          {"found", found}};
}

}  // namespace rattanramp::core
