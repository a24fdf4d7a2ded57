// rattanramp-agent: runs beside one upstream and admits, queues or refuses its work.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <string>

#include "agent/program.h"

int main(int argc, char** argv) {
  rattanramp::agent::ProgramOptions options;
  CLI::App app("rattanramp agent: runs beside one upstream");
  app.add_option("--config", options.config_file, "boot file (JSON)")->required();
  app.add_option("--log-level", options.log_level, "debug, info, warning or error")
      ->default_val("info");
  CLI11_PARSE(app, argc, argv);
  const rattanramp::Result<int> code = rattanramp::agent::RunProgram(options);
  if (!code) {
    std::fprintf(stderr, "rattanramp-agent: %s; %s\n", code.error().message.c_str(),
                 code.error().remedy.c_str());
    return 1;
  }
  return code.value();
}
