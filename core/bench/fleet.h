// Generates fleets and requests for the benchmark from a seed.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "core/route.h"
#include "core/subset.h"

namespace rattanramp::core {

struct BenchFleet {
  std::vector<EngineView> engines;
  std::vector<double> one_way_ms;
  std::uint32_t domains = 0;

  FleetView view() const { return {engines, one_way_ms, domains}; }
};

/// Engines of one model at random loads, alternating between the prefill and the decode role.
BenchFleet MakeFleet(std::uint32_t engines, std::uint32_t domains, std::mt19937_64& random);

/// A request with 32 cached prefixes, which are written to `cached`.
RouteRequest MakeRequest(const BenchFleet& fleet, std::mt19937_64& random,
                         std::vector<CachedPrefix>& cached);

/// Five prefill and six decode engines in three failure domains, for the policy simulation.
BenchFleet MakeMixedFleet();

/// Returns an impatient request with a short prompt or a patient request with a long prompt, in a
/// ratio of 6 to 4.
RouteRequest MakeMixedRequest(std::mt19937_64& random);

/// Requests per second at which the memory of the decode engines of MakeMixedFleet is exactly full:
/// 6 engines x 40 pieces, divided by the mean piece-seconds of a request of MakeMixedRequest.
inline constexpr double kMixedCapacityPerSecond = 8;

/// Time between output tokens, in ms, of an engine of MakeMixedFleet that runs `running` requests.
inline double MixedTokenMs(std::int32_t running) { return 20 + 2 * running; }

/// Agents of 19 models and two roles in 13 failure domains and 4 regions. `ids` owns their ids.
std::vector<SubsetAgent> MakeAgents(std::uint32_t count, std::vector<std::string>& ids);

}  // namespace rattanramp::core
