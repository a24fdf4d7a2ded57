// Main function of the rattanramp-agent process: creates the agent, waits for a stop request and
// drains.
#pragma once

#include <string>

#include "base/result.h"

namespace rattanramp::agent {

struct ProgramOptions {
  std::string config_file;
  std::string log_level = "info";
};

/// Runs until SIGTERM, SIGINT or POST /drain. Returns the exit code: 0 if all work finished, 3 if
/// work was aborted at the drain timeout. Errors: an invalid boot file, or a port that cannot be
/// bound.
Result<int> RunProgram(const ProgramOptions& options);

}  // namespace rattanramp::agent
