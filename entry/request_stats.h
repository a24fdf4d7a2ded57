// What is measured about one request, for the access log and the metrics.
#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace rattanramp::entry {

struct RequestStats {
  std::optional<double> first_token_ms;
  /// Longest time between two tokens as they reached the entry.
  double pace_max_ms = 0;
  std::int32_t output_tokens = 0;
  std::int32_t prompt_tokens = 0;
  /// As reported by the agents. Wasted tokens belong to attempts that delivered no text.
  std::int64_t prefill_tokens = 0;
  std::int64_t wasted_prefill_tokens = 0;
  std::int32_t attempts = 0;
  TimePoint first_output;
  TimePoint last_output;
  std::int32_t tokens_after_first = 0;
};

/// Counts text that arrived from an agent.
void RecordOutput(RequestStats& stats, std::int32_t tokens, TimePoint arrived, TimePoint now);

/// Mean time between tokens after the first output; 0 with one output or none.
double PaceMeanMs(const RequestStats& stats);

}  // namespace rattanramp::entry
