#include <CLI/CLI.hpp>

#include "standins/program.h"
#include "standins/service_server.h"

int main(int argc, char** argv) {
  using rattanramp::standins::ServiceServer;
  CLI::App app("Simulated HTTP service");
  std::string listen;
  rattanramp::standins::ServiceOptions options;
  app.add_option("--listen", listen, "HOST:PORT")->required();
  app.add_option("--delay-ms", options.delay_ms, "Processing time of each request");
  app.add_option("--max-running", options.max_running,
                 "Maximum number of concurrent requests; 0 means no limit");
  CLI11_PARSE(app, argc, argv);
  rattanramp::standins::StartProgram("standin-service", listen);
  const rattanramp::Result<std::unique_ptr<ServiceServer>> server =
      ServiceServer::Create(listen, options);
  if (!server) {
    return rattanramp::standins::ReportStartFailure(server.error());
  }
  rattanramp::standins::WaitUntilStopped(server.value()->port());
  server.value()->Stop();
  rattanramp::ShutdownLogging();
  return 0;
}
