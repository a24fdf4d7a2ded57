#include "core/memory_ledger.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <string>

using namespace rattanramp;        // NOLINT
using namespace rattanramp::core;  // NOLINT

namespace {

// Uses a fixed size, because rapidcheck otherwise narrows the ranges in the first cases and rare
// steps are hardly ever generated.
int In(int low, int high) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high + 1));
}

/// Reservations in one map; every figure is computed from all of them.
struct NaiveLedger {
  struct Reservation {
    int pieces;
    int expires;  // Zero if the reservation does not expire.
  };
  int total = 0;
  std::map<std::string, Reservation> reservations;

  int ReservedPieces() const {
    int sum = 0;
    for (const auto& [id, reservation] : reservations) {
      sum += reservation.pieces;
    }
    return sum;
  }
};

TimePoint At(int ms) { return TimePoint(Milliseconds(ms)); }

}  // namespace

// Guards against memory that is reserved twice, leaks, or expires while its work runs. Random
// operations are compared with a plain map.
Test(memory_ledger, equals_naive_model) {
  cr_assert(rc::check("ledger equals the naive model", [] {
    MemoryLedger ledger;
    NaiveLedger naive;
    ledger.total_pieces = naive.total = In(1, 12);
    int now = 1;
    for (int step = 0; step < 200; ++step) {
      now += In(0, 3);
      const std::string id = std::string(1, static_cast<char>('a' + In(0, 7)));
      const bool known = naive.reservations.count(id) > 0;
      switch (In(0, 4)) {
        case 0: {
          const int pieces = In(0, 6);
          const int expires = In(0, 1) == 0 ? 0 : now + In(0, 10);
          const bool accepted =
              pieces > 0 && !known && naive.ReservedPieces() + pieces <= naive.total;
          const std::optional<TimePoint> end =
              expires == 0 ? std::nullopt : std::optional<TimePoint>(At(expires));
          RC_ASSERT(ReserveMemory(ledger, id, pieces, end) == accepted);
          if (accepted) {
            naive.reservations[id] = {pieces, expires};
          }
          break;
        }
        case 1:
          RC_ASSERT(ConfirmReservation(ledger, id) == known);
          if (known) {
            naive.reservations[id].expires = 0;
          }
          break;
        case 2: {
          const int pieces = In(0, 8);
          RC_ASSERT(GrowReservation(ledger, id, pieces) == known);
          if (known) {
            naive.reservations[id].pieces = std::max(naive.reservations[id].pieces, pieces);
          }
          break;
        }
        case 3:
          RC_ASSERT(ReleaseMemory(ledger, id) == known);
          naive.reservations.erase(id);
          break;
        default: {
          std::vector<std::string> expired;
          for (const auto& [attempt, reservation] : naive.reservations) {
            if (reservation.expires != 0 && reservation.expires <= now) {
              expired.push_back(attempt);
            }
          }
          RC_ASSERT(ExpireReservations(ledger, At(now)) == expired);
          for (const std::string& attempt : expired) {
            naive.reservations.erase(attempt);
          }
          break;
        }
      }
      RC_ASSERT(ledger.reserved_pieces == naive.ReservedPieces());
      RC_ASSERT(FreePieces(ledger) == std::max(0, naive.total - naive.ReservedPieces()));
    }
  }));
}
