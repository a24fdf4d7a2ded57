#include <CLI/CLI.hpp>

#include "standins/platform_server.h"
#include "standins/program.h"

int main(int argc, char** argv) {
  using rattanramp::standins::PlatformServer;
  CLI::App app("Simulated platform");
  std::string listen;
  rattanramp::standins::PlatformOptions options;
  app.add_option("--listen", listen, "HOST:PORT")->required();
  app.add_option("--vm-lag-ms", options.vm_lag_ms, "Delay until a new VM list becomes visible");
  app.add_option("--writes-per-second", options.writes_per_second, "0 means no limit");
  app.add_option("--reads-per-second", options.reads_per_second, "0 means no limit");
  app.add_option("--weight-bytes-per-s", options.weight_bytes_per_s);
  app.add_option("--weight-bytes", options.weight_bytes, "Size of each weight file");
  CLI11_PARSE(app, argc, argv);
  rattanramp::standins::StartProgram("standin-platform", listen);
  const rattanramp::Result<std::unique_ptr<PlatformServer>> server =
      PlatformServer::Create(listen, options);
  if (!server) {
    return rattanramp::standins::ReportStartFailure(server.error());
  }
  rattanramp::standins::WaitUntilStopped(server.value()->port());
  server.value()->Stop();
  rattanramp::ShutdownLogging();
  return 0;
}
