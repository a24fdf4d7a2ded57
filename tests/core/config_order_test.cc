#include "core/config_order.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace rattanramp;
using core::CompareRow;
using core::ConfigVersion;
using core::JudgeReply;
using core::ReplyUse;
using core::RowOrder;
using core::StorePosition;

namespace {

constexpr bool kRewriting = true;

}  // namespace

// Guards against a list of changes that is taken for complete after the store has returned from an
// older copy: its versions may have passed the position, so that nothing else shows the return.
Test(config_order, changes_of_a_new_era_are_not_enough) {
  const StorePosition known{2, 100};
  for (const std::int64_t version : {80, 100, 120}) {
    cr_assert(JudgeReply(known, {3, version}, /*is_whole=*/false) == ReplyUse::kReadWholeTable);
    cr_assert(JudgeReply(known, {3, version}, /*is_whole=*/true) == ReplyUse::kUse);
    cr_assert(JudgeReply(known, {1, version}, /*is_whole=*/true) == ReplyUse::kOutdated);
    cr_assert(JudgeReply(known, {1, version}, /*is_whole=*/false) == ReplyUse::kOutdated);
  }
  cr_assert(JudgeReply(known, {2, 99}, /*is_whole=*/true) == ReplyUse::kOutdated);
  cr_assert(JudgeReply(known, {2, 100}, /*is_whole=*/false) == ReplyUse::kUse);
  cr_assert(JudgeReply(known, core::PositionOf(0, 120, known), /*is_whole=*/false) ==
            ReplyUse::kUse);
}

// Guards against 404 for a route that was added after the store's return, as its row has a smaller
// version than the one in force, and against going back to the configuration of the copy.
Test(config_order, operators_number_decides_across_eras) {
  const ConfigVersion in_force{{1, 100}, 36};
  cr_assert(CompareRow(in_force, {{2, 80}, 17}, kRewriting) == RowOrder::kRestored);
  cr_assert(CompareRow(in_force, {{2, 85}, 36}, kRewriting) == RowOrder::kNewer);
  cr_assert(CompareRow(in_force, {{2, 90}, 37}, kRewriting) == RowOrder::kNewer);
  cr_assert(CompareRow(in_force, {{2, 110}, 20}, kRewriting) == RowOrder::kRestored);
  cr_assert(CompareRow({{2, 85}, 36}, {{1, 100}, 36}, kRewriting) == RowOrder::kOlder,
            "a late row of a peer");
  cr_assert(CompareRow({{2, 85}, 36}, {{1, 101}, 40}, kRewriting) == RowOrder::kOlder);
  // A newer configuration was written before all lost ones were written again.
  cr_assert(CompareRow({{2, 86}, 37}, {{2, 87}, 36}, kRewriting) == RowOrder::kRestored);
}

// Guards against a store without returns that is served in another way than before: within an era
// its versions alone decide, also where the operator's numbers fall.
Test(config_order, versions_decide_within_an_era) {
  for (const std::int64_t era : {0, 5}) {
    const ConfigVersion in_force{{era, 100}, 36};
    cr_assert(CompareRow(in_force, {{era, 101}, 2}, !kRewriting) == RowOrder::kNewer);
    cr_assert(CompareRow(in_force, {{era, 100}, 36}, !kRewriting) == RowOrder::kOlder);
    cr_assert(CompareRow(in_force, {{era, 99}, 40}, !kRewriting) == RowOrder::kOlder);
  }
}

namespace {

/// A store that gives versions out again after it has returned from a copy, and an operator who
/// writes again what was lost.
struct ReturningStore {
  void Write(std::int64_t revision) { row = {{position.era, ++position.version}, revision}; }

  StorePosition position{1, 0};
  ConfigVersion row;
};

}  // namespace

// Guards against both sides of the fault over random orders of changes, returns (also in series),
// rows that are written again late, and reads by a process that misses some of them: the revision
// in force never falls, and it is the operator's newest after a read that follows the rewrite.
Test(config_order, newest_revision_comes_into_force_and_none_goes_back) {
  const bool ok = rc::check("order", [] {
    ReturningStore store;
    store.Write(1);
    std::vector<ReturningStore> copies{store};
    std::vector<std::int64_t> lost;
    std::int64_t newest = 1;
    ConfigVersion in_force = store.row;
    const auto read = [&] {
      if (CompareRow(in_force, store.row, kRewriting) == RowOrder::kNewer) {
        RC_ASSERT(store.row.revision >= in_force.revision);
        in_force = store.row;
      }
    };
    for (int step = 0; step < 60; ++step) {
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          if (lost.empty()) {
            newest += *rc::gen::inRange(1, 5);
            store.Write(newest);
          }
          break;
        case 1:  // rows of others
          store.position.version += *rc::gen::inRange(1, 40);
          break;
        case 2:
          copies.push_back(store);
          break;
        case 3: {
          const std::int64_t era = store.position.era + 1;
          store = copies[*rc::gen::inRange<std::size_t>(0, copies.size())];
          store.position.era = era;
          store.row.row.era = era;
          lost.clear();
          if (store.row.revision < newest) {
            lost = {newest};
            if (store.row.revision + 1 < newest) {
              lost.insert(lost.begin(), store.row.revision + 1);
            }
          }
          break;
        }
        case 4:
          if (!lost.empty()) {
            store.Write(lost.front());
            lost.erase(lost.begin());
          }
          break;
        default:
          read();
          break;
      }
    }
    while (!lost.empty()) {
      store.Write(lost.front());
      lost.erase(lost.begin());
    }
    read();
    RC_ASSERT(in_force.revision == newest);
  });
  cr_assert(ok);
}
