#include <CLI/CLI.hpp>

#include "standins/engine_server.h"
#include "standins/program.h"

namespace {

void AddOptions(CLI::App& app, rattanramp::standins::EngineOptions& options) {
  app.add_option("--role", options.role, "prefill, decode or both");
  app.add_option("--model", options.models, "Loaded model; may be repeated");
  app.add_option("--pieces", options.total_pieces, "Engine memory in pieces of 2,048 tokens");
  app.add_option("--max-running", options.max_running, "Maximum number of requests in a batch");
  app.add_option("--max-queued", options.max_queued, "Maximum number of queued requests");
  app.add_option("--prefill-tokens-per-s", options.prefill_tokens_per_s);
  app.add_option("--decode-ms", options.decode_token_ms,
                 "Duration of a decode step with one request");
  app.add_option("--decode-batch-slope", options.decode_batch_slope,
                 "Fraction of decode-ms that each additional request adds to a decode step");
  app.add_option("--link-bytes-per-s", options.link_bytes_per_s);
  app.add_option("--kv-bytes-per-token", options.kv_bytes_per_token);
  app.add_option("--kv-lifetime-ms", options.kv_lifetime_ms);
  app.add_option("--load-lag-ms", options.load_lag_ms);
  app.add_option("--event-delay-ms", options.event_delay_ms);
  app.add_option("--event-gap-percent", options.event_gap_percent,
                 "Percentage of cache events that are lost");
  app.add_option("--memory-wait-ms", options.memory_wait_ms,
                 "How long the first request in the queue waits for memory before it fails with "
                 "memory_full");
  app.add_option("--finished-keep-ms", options.finished_keep_ms,
                 "How long the output of a finished request can still be streamed");
  app.add_option("--prefix-cache-pieces", options.prefix_cache_pieces);
  app.add_option("--tokens-per-event", options.tokens_per_event);
  app.add_flag("--checks-fencing", options.checks_fencing, "Reject stale fencing tokens");
  app.add_option("--time-scale", options.time_scale, "Speed-up factor of all rates and times");
  app.add_option("--seed", options.seed);
  app.add_option("--crash-on", options.crash_on,
                 "Exit when a request starts whose prompt contains this text");
}

}  // namespace

int main(int argc, char** argv) {
  using rattanramp::standins::EngineServer;
  CLI::App app("Simulated language-model engine");
  std::string listen;
  rattanramp::standins::EngineOptions options;
  app.add_option("--listen", listen, "HOST:PORT")->required();
  AddOptions(app, options);
  CLI11_PARSE(app, argc, argv);
  rattanramp::standins::StartProgram("standin-engine", listen);
  const rattanramp::Result<std::unique_ptr<EngineServer>> server =
      EngineServer::Create(listen, options);
  if (!server) {
    return rattanramp::standins::ReportStartFailure(server.error());
  }
  rattanramp::standins::WaitUntilStopped(server.value()->port());
  server.value()->Stop();
  rattanramp::ShutdownLogging();
  return 0;
}
