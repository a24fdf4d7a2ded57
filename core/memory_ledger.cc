#include "core/memory_ledger.h"

#include <algorithm>

namespace rattanramp::core {

std::int32_t FreePieces(const MemoryLedger& ledger) {
  return std::max(0, ledger.total_pieces - ledger.reserved_pieces);
}

bool ReserveMemory(MemoryLedger& ledger, const std::string& attempt, std::int32_t pieces,
                   std::optional<TimePoint> expires) {
  if (pieces <= 0 || pieces > FreePieces(ledger) || ledger.reservations.contains(attempt)) {
    return false;
  }
  ledger.reservations.emplace(attempt, MemoryReservation{pieces, expires});
  ledger.reserved_pieces += pieces;
  return true;
}

bool ConfirmReservation(MemoryLedger& ledger, const std::string& attempt) {
  const auto reservation = ledger.reservations.find(attempt);
  if (reservation == ledger.reservations.end()) {
    return false;
  }
  reservation->second.expires.reset();
  return true;
}

bool GrowReservation(MemoryLedger& ledger, const std::string& attempt, std::int32_t pieces) {
  const auto reservation = ledger.reservations.find(attempt);
  if (reservation == ledger.reservations.end()) {
    return false;
  }
  const std::int32_t missing = std::max(0, pieces - reservation->second.pieces);
  reservation->second.pieces += missing;
  ledger.reserved_pieces += missing;
  return true;
}

bool ReleaseMemory(MemoryLedger& ledger, const std::string& attempt) {
  const auto reservation = ledger.reservations.find(attempt);
  if (reservation == ledger.reservations.end()) {
    return false;
  }
  ledger.reserved_pieces -= reservation->second.pieces;
  ledger.reservations.erase(reservation);
  return true;
}

std::vector<std::string> ExpireReservations(MemoryLedger& ledger, TimePoint now) {
  std::vector<std::string> expired;
  for (const auto& [attempt, reservation] : ledger.reservations) {
    if (reservation.expires && *reservation.expires <= now) {
      expired.push_back(attempt);
    }
  }
  for (const std::string& attempt : expired) {
    ReleaseMemory(ledger, attempt);
  }
  return expired;
}

}  // namespace rattanramp::core
