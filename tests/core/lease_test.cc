#include "core/lease.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
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
TimePoint At(int ms) { return TimePoint(Milliseconds(ms)); }

/// Holder of an attempt's lease and the time of the last grant or renewal.
struct NaiveLease {
  ConnectionId holder;
  int renewed;
};

}  // namespace

// Guards against a lease that expires although its connection renews it, and against one that does
// not expire after its connection was closed. Random operations are compared with a map in which
// every lease is renewed separately.
Test(lease, equals_naive_model) {
  cr_assert(rc::check("leases equal the naive model", [] {
    constexpr int kLengthMs = 10;
    LeaseTable table;
    std::map<std::string, NaiveLease> naive;
    std::map<ConnectionId, bool> open;
    int now = 0;
    for (int step = 0; step < 200; ++step) {
      now += In(0, 4);
      const std::string attempt(1, static_cast<char>('a' + In(0, 5)));
      const ConnectionId holder = In(1, 3);
      switch (In(0, 4)) {
        case 0:
          // Frames arrive only on open connections, and each frame renews the leases.
          RenewLeases(table, holder, At(now));
          for (auto& [id, lease] : naive) {
            lease.renewed = lease.holder == holder ? now : lease.renewed;
          }
          GrantLease(table, attempt, holder, At(now));
          naive[attempt] = {holder, now};
          break;
        case 1:
          RenewLeases(table, holder, At(now));
          for (auto& [id, lease] : naive) {
            lease.renewed = lease.holder == holder ? now : lease.renewed;
          }
          break;
        case 2:
          RemoveConnection(table, holder);
          break;
        case 3:
          RC_ASSERT(DropLease(table, attempt) == (naive.erase(attempt) > 0));
          break;
        default: {
          std::vector<std::string> expired;
          for (const auto& [id, lease] : naive) {
            if (now - lease.renewed >= kLengthMs) {
              expired.push_back(id);
            }
          }
          std::vector<std::string> taken =
              TakeExpiredLeases(table, Milliseconds(kLengthMs), At(now));
          std::sort(taken.begin(), taken.end());
          RC_ASSERT(taken == expired);
          for (const std::string& id : expired) {
            naive.erase(id);
          }
          break;
        }
      }
      RC_ASSERT(table.leases.size() == naive.size());
    }
  }));
}
