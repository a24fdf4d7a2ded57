// The rattanramp-agent process: connects the parts, waits for the end and drains.
#pragma once

#include <string>

#include "base/result.h"

namespace rattanramp::agent {

struct ProgramOptions {
  std::string config_file;
  std::string log_level = "info";
};

/// Runs until SIGTERM, SIGINT or POST /drain and returns the exit code: 0 when no work was cut, 3
/// otherwise. Errors: those of the boot file and of the ports.
Result<int> RunProgram(const ProgramOptions& options);

}  // namespace rattanramp::agent
