// Which process may order the engines. The last order is one row of the platform's store, written
// on condition before the order is sent; whoever wrote it holds the lease.
#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace rattanramp::core {

struct OrderRecord {
  /// Gateway that gave the order; empty: there was none yet.
  std::string holder;
  /// Grows by one with each order of all holders.
  std::int64_t fencing_token = 0;
  /// The store's clock shortly before the record was written, in ms.
  std::int64_t clock_ms = 0;
};

/// Another process may order only this long after the last record. Engines must not see two holders
/// within 3 s (users' bound lease_ms); a record is used for kOrderValidity, an order is on its way
/// for at most its timeout of 1 s, and a frozen process adds some seconds.
inline constexpr Milliseconds kLeaseTransferDelay{10'000};

/// An order is sent only within this time after its record was asked for.
inline constexpr Milliseconds kOrderValidity{1'000};

/// clock_ms: the store's clock now.
bool HoldsOrderLease(const OrderRecord& last, const std::string& own_name, std::int64_t clock_ms);

}  // namespace rattanramp::core
