// Accounting of an engine's memory (its room) in pieces of kPieceTokens. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace rattanramp::core {

struct RoomHold {
  std::int32_t pieces = 0;
  /// Set while the work has not started; the hold is released at this time.
  std::optional<TimePoint> expires;
};

struct RoomLedger {
  std::int32_t total_pieces = 0;
  /// Sum of all holds. Exceeds total_pieces after GrowHold on a full engine or after a smaller
  /// total was learned.
  std::int32_t held_pieces = 0;
  std::map<std::string, RoomHold> holds;
};

/// Free pieces; never negative.
std::int32_t FreePieces(const RoomLedger& ledger);

/// Holds pieces for an attempt. Without expires the hold lasts until it is released. False when
/// the pieces are not free, pieces is not positive or the attempt already has a hold.
bool HoldRoom(RoomLedger& ledger, const std::string& attempt, std::int32_t pieces,
              std::optional<TimePoint> expires);

/// The work has started: the hold no longer expires. False when there is no hold.
bool ConvertHold(RoomLedger& ledger, const std::string& attempt);

/// Raises a hold to at least pieces, also beyond the total: the engine has allocated them already.
/// False when there is no hold.
bool GrowHold(RoomLedger& ledger, const std::string& attempt, std::int32_t pieces);

/// False when there is no hold.
bool ReleaseRoom(RoomLedger& ledger, const std::string& attempt);

/// Releases the holds whose time has come and returns their attempts.
std::vector<std::string> ExpireHolds(RoomLedger& ledger, TimePoint now);

}  // namespace rattanramp::core
