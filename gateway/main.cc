// rattanramp-gateway: accepts callers' requests and routes them to the upstreams.
#include <CLI/CLI.hpp>

#include "gateway/program.h"

int main(int argc, char** argv) {
  CLI::App app{"Routes requests to plain services and to engines with separate prefill and decode"};
  rattanramp::gateway::ProgramOptions options;
  app.add_option("--config", options.settings_path, "JSON settings file")->required();
  app.add_option("--log-level", options.log_level, "debug, info, warning, error or off");
  app.add_flag("--check", options.check_only, "check the settings file and exit");
  CLI11_PARSE(app, argc, argv);
  return rattanramp::gateway::RunProgram(options);
}
