// Settings of a stand-in engine.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace rattanramp::standins {

struct EngineOptions {
  /// "prefill", "decode" or "both".
  std::string role = "both";
  std::vector<std::string> models{"m1"};
  /// Pieces of 2,048 tokens.
  int total_pieces = 40;
  int max_running = 20;
  int max_queued = 1000;
  double prefill_tokens_per_s = 20'000;
  double decode_token_ms = 10;
  /// Share by which each further request in the batch lengthens a decode step.
  double decode_batch_slope = 0.01;
  double link_bytes_per_s = 12.5e9;
  double kv_bytes_per_token = 131'072;
  double kv_lifetime_ms = 800;
  double load_lag_ms = 100;
  double event_delay_ms = 200;
  double event_gap_percent = 2;
  /// How long the next request in the queue waits for memory before it gets memory_full.
  double memory_wait_ms = 1'000;
  /// How long a finished request can still be streamed.
  double finished_keep_ms = 5'000;
  /// Cached blocks, one piece each, that are kept while no request uses them.
  int prefix_cache_pieces = 16;
  /// Tokens gathered into one stream event.
  int tokens_per_event = 1;
  bool checks_fencing = false;
  /// The engine runs this many times faster than its rates say.
  double time_scale = 1;
  std::uint64_t seed = 1;
  /// The process exits when it starts a request whose prompt contains this text.
  std::string crash_on;
};

/// The options with time_scale applied to all rates and times, and time_scale set to 1. Rates that
/// the engine reports are the scaled ones, so callers measure what they are told.
EngineOptions Scaled(const EngineOptions& options);

/// Empty when the options are usable, else what is wrong.
std::string FindOptionProblem(const EngineOptions& options);

}  // namespace rattanramp::standins
