#include <CLI/CLI.hpp>

#include "standins/engine_server.h"
#include "standins/program.h"

namespace {

void AddOptions(CLI::App& app, rattanramp::standins::EngineOptions& options) {
  app.add_option("--role", options.role, "prefill, decode or both");
  app.add_option("--model", options.models, "Loaded model; may be repeated");
  app.add_option("--pieces", options.total_pieces, "Memory in pieces of 2,048 tokens");
  app.add_option("--max-running", options.max_running, "Requests in a batch");
  app.add_option("--max-queued", options.max_queued, "Requests that wait for a place in the batch");
  app.add_option("--prefill-tokens-per-s", options.prefill_tokens_per_s);
  app.add_option("--decode-ms", options.decode_token_ms, "Time of a decode step for one request");
  app.add_option("--decode-batch-slope", options.decode_batch_slope,
                 "Share of decode-ms that each further request adds to a step");
  app.add_option("--link-bytes-per-s", options.link_bytes_per_s);
  app.add_option("--kv-bytes-per-token", options.kv_bytes_per_token);
  app.add_option("--kv-lifetime-ms", options.kv_lifetime_ms);
  app.add_option("--load-lag-ms", options.load_lag_ms);
  app.add_option("--event-delay-ms", options.event_delay_ms);
  app.add_option("--event-gap-percent", options.event_gap_percent, "Share of lost cache events");
  app.add_option("--memory-wait-ms", options.memory_wait_ms,
                 "Time until the next request in the queue gets memory_full");
  app.add_option("--finished-keep-ms", options.finished_keep_ms,
                 "How long a finished request can be streamed again");
  app.add_option("--prefix-cache-pieces", options.prefix_cache_pieces);
  app.add_option("--tokens-per-event", options.tokens_per_event);
  app.add_flag("--checks-fencing", options.checks_fencing, "Refuse old fencing numbers");
  app.add_option("--time-scale", options.time_scale, "Run this many times faster");
  app.add_option("--seed", options.seed);
  app.add_option("--crash-on", options.crash_on, "Exit when a prompt with this text starts");
}

}  // namespace

int main(int argc, char** argv) {
  using rattanramp::standins::EngineServer;
  CLI::App app("Stand-in for a language-model engine");
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
