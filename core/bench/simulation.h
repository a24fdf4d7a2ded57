// Seeded discrete-event simulation of a few engines, for comparing routing policies. It models
// engine memory, prefill queues, transfers, KV cache eviction, outdated views and callers that
// disconnect. It runs without other processes and without a network.
#pragma once

#include <cstdint>

namespace rattanramp::core {

struct SimulationOptions {
  /// True: ChooseRoute with admission control, memory holds and a queue. False: ChooseRouteNaive
  /// without these.
  bool planned = true;
  /// Offered load as a multiple of the rate at which the memory of the decode engines is full
  /// (kMixedCapacityPerSecond).
  double load = 1;
  std::uint64_t seed = 1;
  double seconds = 120;
};

struct SimulationResult {
  std::int64_t arrived = 0;
  /// Requests that completed within the first-output target and the pace target.
  std::int64_t good_impatient = 0;
  std::int64_t good_patient = 0;
  std::int64_t impatient = 0;
  std::int64_t refused = 0;
  /// Requests that ended without an answer although they were not refused and their callers did not
  /// disconnect.
  std::int64_t failed = 0;
  std::int64_t callers_left = 0;
  double prefill_tokens = 0;
  double wasted_tokens = 0;

  std::int64_t good() const { return good_impatient + good_patient; }
};

SimulationResult Simulate(const SimulationOptions& options);

}  // namespace rattanramp::core
