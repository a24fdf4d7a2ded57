#include "core/room.h"

#include <algorithm>

namespace rattanramp::core {

std::int32_t FreePieces(const RoomLedger& ledger) {
  return std::max(0, ledger.total_pieces - ledger.held_pieces);
}

bool HoldRoom(RoomLedger& ledger, const std::string& attempt, std::int32_t pieces,
              std::optional<TimePoint> expires) {
  if (pieces <= 0 || pieces > FreePieces(ledger) || ledger.holds.contains(attempt)) {
    return false;
  }
  ledger.holds.emplace(attempt, RoomHold{pieces, expires});
  ledger.held_pieces += pieces;
  return true;
}

bool ConvertHold(RoomLedger& ledger, const std::string& attempt) {
  const auto hold = ledger.holds.find(attempt);
  if (hold == ledger.holds.end()) {
    return false;
  }
  hold->second.expires.reset();
  return true;
}

bool GrowHold(RoomLedger& ledger, const std::string& attempt, std::int32_t pieces) {
  const auto hold = ledger.holds.find(attempt);
  if (hold == ledger.holds.end()) {
    return false;
  }
  const std::int32_t missing = std::max(0, pieces - hold->second.pieces);
  hold->second.pieces += missing;
  ledger.held_pieces += missing;
  return true;
}

bool ReleaseRoom(RoomLedger& ledger, const std::string& attempt) {
  const auto hold = ledger.holds.find(attempt);
  if (hold == ledger.holds.end()) {
    return false;
  }
  ledger.held_pieces -= hold->second.pieces;
  ledger.holds.erase(hold);
  return true;
}

std::vector<std::string> ExpireHolds(RoomLedger& ledger, TimePoint now) {
  std::vector<std::string> expired;
  for (const auto& [attempt, hold] : ledger.holds) {
    if (hold.expires && *hold.expires <= now) {
      expired.push_back(attempt);
    }
  }
  for (const std::string& attempt : expired) {
    ReleaseRoom(ledger, attempt);
  }
  return expired;
}

}  // namespace rattanramp::core
