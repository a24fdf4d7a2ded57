// Measurements of one request for the access log and the metrics.
#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace rattanramp::entry {

struct RequestStats {
  std::optional<double> first_token_ms;
  /// Longest time between two tokens, measured at their arrival in the entry.
  double pace_max_ms = 0;
  std::int32_t output_tokens = 0;
  std::int32_t prompt_tokens = 0;
  /// As reported by the agents. Wasted tokens are prefill tokens of attempts that delivered no
  /// text.
  std::int64_t prefill_tokens = 0;
  std::int64_t wasted_prefill_tokens = 0;
  std::int32_t attempts = 0;
  TimePoint first_output;
  TimePoint last_output;
  std::int32_t tokens_after_first = 0;
};

/// Updates the statistics when output arrives from an agent.
void RecordOutput(RequestStats& stats, std::int32_t tokens, TimePoint arrived, TimePoint now);

/// Returns the mean time between tokens after the first output, or 0 with at most one output.
double PaceMeanMs(const RequestStats& stats);

}  // namespace rattanramp::entry
