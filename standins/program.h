// Start and stop that the stand-in programs share.
#pragma once

#include <string>
#include <string_view>

#include "base/log.h"
#include "base/result.h"
#include "base/signals.h"

namespace rattanramp::standins {

/// Blocks stop signals and sets up logging. Call before any thread starts.
void StartProgram(std::string_view name, const std::string& listen);

/// Logs why the program cannot start. Returns the exit code.
int ReportStartFailure(const Error& error);

/// Logs the port and waits for SIGTERM or SIGINT.
void WaitUntilStopped(int port);

}  // namespace rattanramp::standins
