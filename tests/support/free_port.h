// Free loopback ports for the processes that a test starts.
#pragma once

namespace rattanramp::testing {

/// Returns a free port below the ephemeral range, from which the kernel assigns ports to outgoing
/// connections. A port of that range could be assigned to a connection before the started process
/// binds it.
int FreePort();

}  // namespace rattanramp::testing
