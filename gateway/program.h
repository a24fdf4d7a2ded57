// Runs a gateway process: reads the settings, handles signals and runs the event loop.
#pragma once

#include <string>

namespace rattanramp::gateway {

struct ProgramOptions {
  std::string settings_path;
  std::string log_level = "info";
  bool check_only = false;
};

/// Runs until a stop signal. Returns the exit code: 0 after a graceful stop, 1 when an address
/// cannot be bound, 2 when the settings are invalid or cannot be read.
int RunProgram(const ProgramOptions& options);

}  // namespace rattanramp::gateway
