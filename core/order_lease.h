// Decides which process may send orders to the engines. The last order is recorded in one row of
// the platform's store. The row is written conditionally before the order is sent, and the process
// that wrote it holds the lease.
#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace rattanramp::core {

struct OrderRecord {
  /// Name of the gateway that sent the order; empty if no order was sent yet.
  std::string holder;
  /// Increases by one with each order, whichever process sends it.
  std::int64_t fencing_token = 0;
  /// Time of the store's clock shortly before the record was written, in ms.
  std::int64_t clock_ms = 0;
};

/// Another process may take over the lease only this long after the last record was written.
/// Engines must not receive orders of two holders within 3 s (the users' bound lease_ms). The delay
/// also covers the use of a record for kOrderValidity, the transmission of an order for at most its
/// timeout of 1 s, and some seconds for which a process may be frozen.
inline constexpr Milliseconds kLeaseTransferDelay{10'000};

/// An order is sent only within this time after the write of its record was requested.
inline constexpr Milliseconds kOrderValidity{1'000};

/// Returns whether the process `own_name` may send the next order. `clock_ms` is the present time
/// of the store's clock.
bool HoldsOrderLease(const OrderRecord& last, const std::string& own_name, std::int64_t clock_ms);

}  // namespace rattanramp::core
