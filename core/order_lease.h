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

/// Engines must not receive orders of two holders within this time (the users' bound lease_ms).
inline constexpr Milliseconds kMinHolderInterval{3'000};

/// Age at which the store's clock in a record may be read at most: the timeout of a call to the
/// store.
inline constexpr Milliseconds kMaxRecordAge{1'600};

/// An order is sent only within this time after the write of its record was requested.
inline constexpr Milliseconds kOrderValidity{1'000};

/// Time after which an order that was sent is given up. Its connection is reset then, so that the
/// engine cannot receive it later.
inline constexpr Milliseconds kOrderTimeout{1'000};

/// Another process may take over the lease only this long after the last record was written.
inline constexpr Milliseconds kLeaseTransferDelay{10'000};

static_assert(kLeaseTransferDelay >=
              kMaxRecordAge + kOrderValidity + kOrderTimeout + kMinHolderInterval);

/// Returns whether the process `own_name` may send the next order. `clock_ms` is the present time
/// of the store's clock.
bool HoldsOrderLease(const OrderRecord& last, const std::string& own_name, std::int64_t clock_ms);

}  // namespace rattanramp::core
