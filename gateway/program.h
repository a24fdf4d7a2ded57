// The life of a gateway process: settings, signals, event loop.
#pragma once

#include <string>

namespace rattanramp::gateway {

struct ProgramOptions {
  std::string settings_path;
  std::string log_level = "info";
  bool check_only = false;
};

/// Runs until a stop signal. Returns the exit code: 0 after an orderly stop, 1 when an address
/// cannot be used, 2 for settings that cannot be read.
int RunProgram(const ProgramOptions& options);

}  // namespace rattanramp::gateway
