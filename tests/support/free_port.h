// Ports for processes that a test starts.
#pragma once

namespace rattanramp::testing {

/// Free port below the range that the kernel gives to outgoing connections: a port of that range
/// can be taken by a connection before the process that it is meant for binds.
int FreePort();

}  // namespace rattanramp::testing
