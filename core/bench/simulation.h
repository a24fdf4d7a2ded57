// Seeded event simulation of a few engines for comparing routing policies. It models room, prefill
// queues, transfers, KV eviction, stale views and callers that leave; no processes and no network.
#pragma once

#include <cstdint>

namespace rattanramp::core {

struct SimulationOptions {
  /// ChooseRoute with admission, holds and a wait queue; otherwise ChooseRouteNaive without.
  bool planned = true;
  /// Offered load as a multiple of the capacity of the decode engines' memory.
  double load = 1;
  std::uint64_t seed = 1;
  double seconds = 120;
};

struct SimulationResult {
  std::int64_t arrived = 0;
  /// Finished with both targets met.
  std::int64_t good_impatient = 0;
  std::int64_t good_patient = 0;
  std::int64_t impatient = 0;
  std::int64_t refused = 0;
  /// Ended without an answer for another reason than a refusal or the caller leaving.
  std::int64_t failed = 0;
  std::int64_t callers_left = 0;
  double prefill_tokens = 0;
  double wasted_tokens = 0;

  std::int64_t good() const { return good_impatient + good_patient; }
};

SimulationResult Simulate(const SimulationOptions& options);

}  // namespace rattanramp::core
