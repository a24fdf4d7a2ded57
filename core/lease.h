// Leases of attempts. A renewal applies to all attempts of a connection at once. Not thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace rattanramp::core {

/// Number of a connection; unique during the lifetime of the process.
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

/// Grants the attempt's lease to a connection, or transfers it to a new connection.
void GrantLease(LeaseTable& table, const std::string& attempt, ConnectionId holder, TimePoint now);

/// Renews all leases of a connection.
void RenewLeases(LeaseTable& table, ConnectionId holder, TimePoint now);

/// Records that a connection is closed. Its leases expire unless they are granted to another
/// connection.
void RemoveConnection(LeaseTable& table, ConnectionId holder);

/// Removes a lease. Returns false when the attempt has none.
bool DropLease(LeaseTable& table, const std::string& attempt);

/// Removes the leases that were neither granted nor renewed within `length` and returns their
/// attempts.
std::vector<std::string> TakeExpiredLeases(LeaseTable& table, Duration length, TimePoint now);

}  // namespace rattanramp::core
