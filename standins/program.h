// Start-up and shutdown of the programs standin-engine, standin-service and standin-platform.
#pragma once

#include <string>
#include <string_view>

#include "base/log.h"
#include "base/result.h"
#include "base/signals.h"

namespace rattanramp::standins {

/// Blocks stop signals and sets up logging. Must be called before the first thread is started.
void StartProgram(std::string_view name, const std::string& listen);

/// Logs the error that prevents the start of the program. Returns the exit code.
int ReportStartFailure(const Error& error);

/// Logs the listening port and waits for SIGTERM or SIGINT.
void WaitUntilStopped(int port);

}  // namespace rattanramp::standins
