// Settings of the simulated engine.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace rattanramp::standins {

struct EngineOptions {
  /// "prefill", "decode" or "both".
  std::string role = "both";
  std::vector<std::string> models{"m1"};
  /// Engine memory in pieces of 2,048 tokens.
  int total_pieces = 40;
  int max_running = 20;
  int max_queued = 1000;
  double prefill_tokens_per_s = 20'000;
  double decode_token_ms = 10;
  /// Fraction of decode_token_ms that each additional request in the batch adds to a decode step.
  double decode_batch_slope = 0.01;
  double link_bytes_per_s = 12.5e9;
  double kv_bytes_per_token = 131'072;
  /// How long the KV of a finished prefill is kept for an import before it is freed.
  double kv_lifetime_ms = 800;
  /// Age of the load that the engine reports.
  double load_lag_ms = 100;
  double event_delay_ms = 200;
  /// Percentage of cache events that are lost.
  double event_gap_percent = 2;
  /// How long the first request in the queue waits for memory before it fails with memory_full.
  double memory_wait_ms = 1'000;
  /// How long the output of a finished request can still be streamed.
  double finished_keep_ms = 5'000;
  /// Maximum number of cached blocks that no request uses. Each block occupies one piece.
  int prefix_cache_pieces = 16;
  /// Number of tokens in one stream event.
  int tokens_per_event = 1;
  /// Whether calls with a stale fencing token are rejected.
  bool checks_fencing = false;
  /// Speed-up factor of all rates and times.
  double time_scale = 1;
  std::uint64_t seed = 1;
  /// The process exits when it starts a request whose prompt contains this text.
  std::string crash_on;
};

/// Returns the options with time_scale applied to all rates and times, and time_scale set to 1. The
/// engine reports the scaled rates, so that they match the rates that callers measure.
EngineOptions Scaled(const EngineOptions& options);

/// Returns an error message, or an empty string if the options are valid.
std::string FindOptionProblem(const EngineOptions& options);

}  // namespace rattanramp::standins
