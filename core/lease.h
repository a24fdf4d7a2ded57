// Leases of attempts, renewed for all attempts of a connection at once. Not thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace rattanramp::core {

/// Number of a connection; unique for the life of the process.
using ConnectionId = std::int64_t;

struct Lease {
  ConnectionId holder = 0;
  TimePoint granted;
};

struct LeaseTable {
  std::unordered_map<std::string, Lease> leases;
  /// Time of the last renewal by each connection.
  std::unordered_map<ConnectionId, TimePoint> renewed;
};

/// Gives the attempt's lease to a connection; also used to move it to a new connection.
void GrantLease(LeaseTable& table, const std::string& attempt, ConnectionId holder, TimePoint now);

/// Renews all leases of a connection.
void RenewLeases(LeaseTable& table, ConnectionId holder, TimePoint now);

/// The connection is closed: its leases lapse unless another connection takes them.
void RemoveConnection(LeaseTable& table, ConnectionId holder);

/// False when the attempt has no lease.
bool DropLease(LeaseTable& table, const std::string& attempt);

/// Removes and returns the attempts whose lease was neither granted nor renewed for length.
std::vector<std::string> TakeExpiredLeases(LeaseTable& table, Duration length, TimePoint now);

}  // namespace rattanramp::core
