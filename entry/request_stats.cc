#include "entry/request_stats.h"

#include <algorithm>

namespace rattanramp::entry {

void RecordOutput(RequestStats& stats, std::int32_t tokens, TimePoint arrived, TimePoint now) {
  stats.output_tokens += tokens;
  if (!stats.first_token_ms) {
    stats.first_token_ms = ToMs(now - arrived);
    stats.first_output = now;
  } else {
    stats.tokens_after_first += tokens;
    const double gap_ms = ToMs(now - stats.last_output) / std::max(1, tokens);
    stats.pace_max_ms = std::max(stats.pace_max_ms, gap_ms);
  }
  stats.last_output = now;
}

double PaceMeanMs(const RequestStats& stats) {
  if (stats.tokens_after_first == 0) {
    return 0;
  }
  return ToMs(stats.last_output - stats.first_output) / stats.tokens_after_first;
}

}  // namespace rattanramp::entry
