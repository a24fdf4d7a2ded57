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
  /// Set while the work has not started; the reservation is released at this time.
  std::optional<TimePoint> expires;
};

struct MemoryLedger {
  std::int32_t total_pieces = 0;
  /// Sum of all reservations. Exceeds total_pieces after GrowReservation on a full engine or after
  /// a smaller total was learned.
  std::int32_t reserved_pieces = 0;
  std::map<std::string, MemoryReservation> reservations;
};

/// Free pieces; never negative.
std::int32_t FreePieces(const MemoryLedger& ledger);

/// Reserves pieces for an attempt. Without expires the reservation lasts until it is released.
/// False when the pieces are not free, pieces is not positive or the attempt already has a
/// reservation.
bool ReserveMemory(MemoryLedger& ledger, const std::string& attempt, std::int32_t pieces,
                   std::optional<TimePoint> expires);

/// The work has started: the reservation no longer expires. False when there is no reservation.
bool ConfirmReservation(MemoryLedger& ledger, const std::string& attempt);

/// Raises a reservation to at least pieces, also beyond the total: the engine has allocated them
/// already. False when there is no reservation.
bool GrowReservation(MemoryLedger& ledger, const std::string& attempt, std::int32_t pieces);

/// False when there is no reservation.
bool ReleaseMemory(MemoryLedger& ledger, const std::string& attempt);

/// Releases the reservations whose time has come and returns their attempts.
std::vector<std::string> ExpireReservations(MemoryLedger& ledger, TimePoint now);

}  // namespace rattanramp::core
