#include "standins/engine_options.h"

namespace rattanramp::standins {

EngineOptions Scaled(const EngineOptions& options) {
  EngineOptions scaled = options;
  scaled.time_scale = 1;
  scaled.prefill_tokens_per_s *= options.time_scale;
  scaled.link_bytes_per_s *= options.time_scale;
  scaled.decode_token_ms /= options.time_scale;
  scaled.kv_lifetime_ms /= options.time_scale;
  scaled.load_lag_ms /= options.time_scale;
  scaled.event_delay_ms /= options.time_scale;
  scaled.memory_wait_ms /= options.time_scale;
  scaled.finished_keep_ms /= options.time_scale;
  return scaled;
}

std::string FindOptionProblem(const EngineOptions& options) {
  if (options.role != "prefill" && options.role != "decode" && options.role != "both") {
    return "role must be 'prefill', 'decode' or 'both'";
  }
  if (options.total_pieces < 1 || options.max_running < 1 || options.tokens_per_event < 1) {
    return "pieces, max-running and tokens-per-event must be at least 1";
  }
  if (options.prefill_tokens_per_s <= 0 || options.decode_token_ms <= 0 ||
      options.link_bytes_per_s <= 0 || options.time_scale <= 0) {
    return "prefill-tokens-per-s, link-bytes-per-s, decode-ms and time-scale must be positive";
  }
  return "";
}

}  // namespace rattanramp::standins
