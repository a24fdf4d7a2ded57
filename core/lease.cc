#include "core/lease.h"

#include <algorithm>

namespace rattanramp::core {

void GrantLease(LeaseTable& table, const std::string& attempt, ConnectionId holder, TimePoint now) {
  table.leases[attempt] = Lease{holder, now};
}

void RenewLeases(LeaseTable& table, ConnectionId holder, TimePoint now) {
  table.renewed[holder] = now;
}

void RemoveConnection(LeaseTable& table, ConnectionId holder) {
  const auto renewed = table.renewed.find(holder);
  if (renewed == table.renewed.end()) {
    return;
  }
  // Leases are not renewed further, but expire relative to the connection's last renewal.
  for (auto& [attempt, lease] : table.leases) {
    if (lease.holder == holder) {
      lease.granted = std::max(lease.granted, renewed->second);
    }
  }
  table.renewed.erase(renewed);
}

bool DropLease(LeaseTable& table, const std::string& attempt) {
  return table.leases.erase(attempt) > 0;
}

std::vector<std::string> TakeExpiredLeases(LeaseTable& table, Duration length, TimePoint now) {
  std::vector<std::string> expired;
  for (const auto& [attempt, lease] : table.leases) {
    TimePoint last = lease.granted;
    const auto renewed = table.renewed.find(lease.holder);
    if (renewed != table.renewed.end()) {
      last = std::max(last, renewed->second);
    }
    if (now - last >= length) {
      expired.push_back(attempt);
    }
  }
  for (const std::string& attempt : expired) {
    table.leases.erase(attempt);
  }
  return expired;
}

}  // namespace rattanramp::core
