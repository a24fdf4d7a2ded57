// Accounting of an engine's memory in pieces of kPieceTokens. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace rattanramp::core {

struct MemoryReservation {
  std::int32_t pieces = 0;
  /// Set until the work starts; ExpireReservations releases the reservation at this time.
  std::optional<TimePoint> expires;
};

struct MemoryLedger {
  std::int32_t total_pieces = 0;
  /// Sum of all reservations. Exceeds total_pieces after GrowReservation on a full engine or after
  /// the engine has reported a smaller total.
  std::int32_t reserved_pieces = 0;
  std::map<std::string, MemoryReservation> reservations;
};

/// Free pieces; never negative.
std::int32_t FreePieces(const MemoryLedger& ledger);

/// Reserves pieces for an attempt. Without `expires` the reservation lasts until it is released.
/// Returns false when fewer pieces are free, `pieces` is not positive or the attempt already has a
/// reservation.
bool ReserveMemory(MemoryLedger& ledger, const std::string& attempt, std::int32_t pieces,
                   std::optional<TimePoint> expires);

/// Records that the work has started: the reservation no longer expires. Returns false when there
/// is no reservation.
bool ConfirmReservation(MemoryLedger& ledger, const std::string& attempt);

/// Raises a reservation to at least `pieces`, even beyond the total, because the engine has already
/// allocated them. Returns false when there is no reservation.
bool GrowReservation(MemoryLedger& ledger, const std::string& attempt, std::int32_t pieces);

/// Releases a reservation. Returns false when there is none.
bool ReleaseMemory(MemoryLedger& ledger, const std::string& attempt);

/// Releases the reservations that have expired and returns their attempts.
std::vector<std::string> ExpireReservations(MemoryLedger& ledger, TimePoint now);

}  // namespace rattanramp::core
