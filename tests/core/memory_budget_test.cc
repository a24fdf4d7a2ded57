#include "core/memory_budget.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <optional>
#include <random>
#include <vector>

using namespace rattanramp;
using namespace rattanramp::core;

namespace {

constexpr std::size_t kRead = 8 * 1024;

/// Callers that send bodies, in the form of the hostile crowds of tests/hostile.
struct Crowd {
  explicit Crowd(std::int64_t memory_limit) { budget.shares = SharesOf(memory_limit); }

  HolderId Open() {
    const HolderId id = AddHolder(budget, now);
    SetPhase(budget, id, HolderPhase::kReceiving, now);
    return id;
  }
  std::size_t Held(HolderId id) const { return budget.holders.at(id).total; }
  void Receive(HolderId id) {
    SetHeld(budget, id, {0, 0, Held(id) + kRead, 0});
    RecordMoved(budget, id, kRead, now);
  }
  bool Waits(HolderId id) const { return budget.holders.at(id).wanted > 0; }

  MemoryBudget budget;
  TimePoint now;
};

}  // namespace

// Guards against bodies of legal size that together end a process, and against the two ways in
// which a bound on them fails: all wait for each other, or ordinary requests find no room. Load: 2
// to 60 callers in any order, of which some stop short of the end and stay open.
Test(memory_budget, crowds_stay_within_the_budget_and_all_sound_callers_end) {
  const bool holds = rc::check([] {
    constexpr std::size_t kBody = 1024 * 1024;
    Crowd crowd(24 * 1024 * 1024);
    const MemoryShares& shares = crowd.budget.shares;
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    const std::size_t callers = 2 + random() % 60;
    std::map<HolderId, std::size_t> ends;
    std::size_t sound = 0;
    for (std::size_t i = 0; i < callers; ++i) {
      const bool is_sound = random() % 2 == 0;
      ends[crowd.Open()] = is_sound ? kBody : kBody - kRead;
      sound += is_sound ? 1 : 0;
    }
    std::size_t ended = 0;
    for (int turn = 0; turn < 20'000 && ended < sound; ++turn) {
      crowd.now += Milliseconds(20);
      while (const std::optional<HolderId> next = TakeNextInLine(crowd.budget, crowd.now)) {
        crowd.Receive(*next);
      }
      for (const auto& [id, end] : ends) {
        if (!crowd.Waits(id) && crowd.Held(id) < end && random() % 3 == 0 &&
            MayTake(crowd.budget, id, kRead)) {
          crowd.Receive(id);
        }
      }
      RC_ASSERT(crowd.budget.used <= shares.total - shares.small_reserve + shares.first_in_line);
      const HolderId ordinary = crowd.Open();
      RC_ASSERT(MayTake(crowd.budget, ordinary, kRead));
      RemoveHolder(crowd.budget, ordinary);
      const std::vector<HolderId> closed = HoldersToClose(crowd.budget, crowd.now);
      RC_ASSERT(closed.empty() || !crowd.budget.waiting.empty());
      for (const HolderId id : closed) {
        RC_ASSERT(ends.at(id) < kBody);
        RemoveHolder(crowd.budget, id);
        ends.erase(id);
      }
      for (auto entry = ends.begin(); entry != ends.end();) {
        if (entry->second == kBody && crowd.Held(entry->first) >= kBody) {
          RemoveHolder(crowd.budget, entry->first);
          entry = ends.erase(entry);
          ++ended;
        } else {
          ++entry;
        }
      }
    }
    RC_ASSERT(ended == sound);
  });
  cr_assert(holds);
}

// Guards against a slow but sound caller being closed before one that has stalled, and against
// closed connections while there is room. Pattern: stalled requests, a stalled answer, idle
// connections, and one caller that goes on receiving its answer.
Test(memory_budget, those_that_hold_most_for_longest_are_closed_first) {
  Crowd crowd(16 * 1024 * 1024);
  const auto open = [&](std::size_t bytes, HolderPhase phase) {
    const HolderId id = crowd.Open();
    SetHeld(crowd.budget, id, {0, 0, bytes, 0});
    SetPhase(crowd.budget, id, phase, crowd.now);
    return id;
  };
  const HolderId idle = open(kRead, HolderPhase::kIdle);
  const HolderId serving = open(2'000'000, HolderPhase::kServing);
  const HolderId sound = open(1'500'000, HolderPhase::kSending);
  const HolderId stalled_answer = open(1'000'000, HolderPhase::kSending);
  const HolderId stalled_request = open(400'000, HolderPhase::kReceiving);
  crowd.now += 2 * kStalledTime;
  RecordMoved(crowd.budget, sound, kLeastProgressBytes, crowd.now);
  cr_assert(HoldersToClose(crowd.budget, crowd.now).empty());
  const HolderId newest = open(1'200'000, HolderPhase::kReceiving);
  const HolderId first = open(600'000, HolderPhase::kReceiving);
  cr_assert(MayTake(crowd.budget, first, kRead), "the first in line may use a part of the reserve");
  cr_assert_not(MayTake(crowd.budget, newest, kRead));
  const std::vector<HolderId> closed = HoldersToClose(crowd.budget, crowd.now);
  cr_assert(closed == std::vector<HolderId>({stalled_answer}));
  RemoveHolder(crowd.budget, stalled_answer);
  cr_assert(TakeNextInLine(crowd.budget, crowd.now) == newest);
  cr_assert(HoldersToClose(crowd.budget, crowd.now).empty());
  // When connections run out, the oldest idle one goes first, then the one stalled for longest.
  cr_assert(OldestIdle(crowd.budget, crowd.now) == idle);
  RemoveHolder(crowd.budget, idle);
  cr_assert(OldestIdle(crowd.budget, crowd.now) == stalled_request);
  RemoveHolder(crowd.budget, stalled_request);
  cr_assert_not(OldestIdle(crowd.budget, crowd.now).has_value());
  for (const HolderId id : {serving, sound, newest, first}) {
    RemoveHolder(crowd.budget, id);
  }
  cr_assert_eq(crowd.budget.used, 0);
  cr_assert(crowd.budget.waiting.empty());
}
