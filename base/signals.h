// SIGTERM and SIGINT handling for programs.
#pragma once

#include "base/clock.h"

namespace rattanramp {

/// Blocks SIGTERM and SIGINT and ignores SIGPIPE. Call before any thread starts.
void BlockStopSignals();

/// Waits for a stop signal. Returns its number, or 0 after the timeout.
int WaitForStopSignal(Duration timeout);

}  // namespace rattanramp
