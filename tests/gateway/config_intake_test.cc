#include "gateway/config_intake.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace rattanramp;
using core::StorePosition;

namespace {

std::string Config(int version) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}

class Fixture final : private gateway::ConfigIntake::Listener {
 public:
  Fixture() : intake(clock, *this) {}

  /// Lets held calls of a second each show for `time` that the row is the newest one in the store.
  void Confirm(const StorePosition& row, Milliseconds time) {
    constexpr Milliseconds kHeld{1'000};
    for (Milliseconds passed{0}; passed < time; passed += kHeld) {
      const TimePoint sent = clock.now();
      clock.Advance(kHeld);
      intake.ConfirmNewest(row, sent);
    }
  }

  ManualClock clock;
  /// The operator's numbers of the configurations in the order in which they came into force.
  std::vector<std::int64_t> in_force;
  /// The configuration in force is the newest as far as the rows up to this one tell.
  StorePosition newest_up_to;
  /// Text of the newest row.
  std::string text;
  gateway::ConfigIntake intake;

 private:
  void OnTable(std::shared_ptr<const core::RoutingTable> table) override {
    in_force.push_back(table->version());
  }
  void OnRowTaken(const StorePosition& row, const std::string& row_text,
                  gateway::RowUse use) override {
    if (use != gateway::RowUse::kRejected) {
      newest_up_to = row;
    }
    text = row_text;
  }
};

using Revisions = std::vector<std::int64_t>;

}  // namespace

// Guards against 404 for a route that was added after the store had returned from an older copy
// (issue 69), and against the configuration of that copy.
Test(config_intake, store_that_lost_the_newest_configuration) {
  Fixture fixture;
  fixture.intake.Take(Config(17), {1, 70});
  fixture.intake.Take(Config(36), {1, 100});
  fixture.intake.Take(Config(17), {2, 70});
  cr_assert(fixture.in_force == (Revisions{17, 36}), "the copy's configuration came back");
  cr_assert_eq(fixture.text, Config(17), "peers get the row of that position");
  cr_assert(fixture.newest_up_to == (StorePosition{2, 70}));
  cr_assert_eq(fixture.intake.held_back_revision().value_or(0), 17);
  // The operator writes again what was lost, in its order, and then a new configuration.
  fixture.intake.Take(Config(20), {2, 81});
  fixture.intake.Take(Config(36), {2, 82});
  cr_assert_not(fixture.intake.held_back_revision());
  fixture.intake.Take(Config(37), {2, 83});
  cr_assert_eq(fixture.in_force.back(), 37);
  cr_assert(std::is_sorted(fixture.in_force.begin(), fixture.in_force.end()));
}

// Guards against a configuration that is read again for nothing after each return, and against one
// that is no longer known to be the newest because of it.
Test(config_intake, same_text_in_a_new_era_is_confirmed) {
  Fixture fixture;
  fixture.intake.Take(Config(36), {1, 100});
  fixture.intake.Take(Config(36), {2, 60});
  cr_assert(fixture.in_force == (Revisions{36}));
  cr_assert(fixture.newest_up_to == (StorePosition{2, 60}));
}

// Guards against a late row of a process that has not seen the return.
Test(config_intake, row_of_an_earlier_era_is_not_taken) {
  Fixture fixture;
  fixture.intake.Take(Config(36), {2, 60});
  fixture.intake.Take(Config(99), {1, 100});
  cr_assert(fixture.in_force == (Revisions{36}));
  cr_assert(fixture.intake.newest_row() == (StorePosition{2, 60}));
}

// Guards against a configuration that goes back because the operator had written a newer one before
// all that was lost was written again.
Test(config_intake, lost_rows_that_are_written_after_a_newer_one) {
  Fixture fixture;
  fixture.intake.Take(Config(36), {1, 100});
  fixture.intake.Take(Config(36), {2, 100});
  fixture.intake.Take(Config(37), {2, 101});
  fixture.intake.Take(Config(35), {2, 102});
  fixture.intake.Take(Config(36), {2, 103});
  cr_assert(fixture.in_force == (Revisions{36, 37}));
  fixture.intake.Take(Config(37), {2, 104});
  cr_assert_eq(fixture.in_force.back(), 37);
  cr_assert_not(fixture.intake.held_back_revision());
}

// Guards against gateways that differ forever because the operator doesn't write again what was
// lost: one that starts takes the store's row.
Test(config_intake, store_decides_if_nothing_is_written_again) {
  Fixture fixture;
  fixture.intake.Take(Config(36), {1, 100});
  fixture.intake.Take(Config(17), {2, 70});
  fixture.Confirm({2, 70}, Milliseconds(30'000));
  fixture.intake.Take(Config(18), {2, 90});
  fixture.Confirm({2, 90}, Milliseconds(30'000));
  cr_assert(fixture.in_force == (Revisions{36}), "only a call after the 60 s puts it in force");
  fixture.Confirm({2, 70}, Milliseconds(1'000));
  cr_assert(fixture.in_force == (Revisions{36}));
  fixture.Confirm({2, 90}, Milliseconds(1'000));
  cr_assert(fixture.in_force == (Revisions{36, 18}));
  cr_assert_eq(fixture.text, Config(18));
}

// Guards against the copy's configuration at a process that was frozen or cut off while the
// operator wrote the lost one again: only a call that was sent later shows that nobody did.
Test(config_intake, time_without_contact_puts_nothing_in_force) {
  Fixture fixture;
  fixture.intake.Take(Config(36), {1, 100});
  fixture.intake.Take(Config(17), {2, 70});
  const TimePoint sent = fixture.clock.now();
  fixture.clock.Advance(Milliseconds(90'000));
  fixture.intake.ConfirmNewest({2, 70}, sent);
  cr_assert(fixture.in_force == (Revisions{36}));
  fixture.intake.Take(Config(36), {2, 75});
  cr_assert(fixture.in_force == (Revisions{36}));
}

// Guards against the copy's configuration after an outage that follows the return: the operator
// could not write again what was lost either.
Test(config_intake, outage_after_a_return_does_not_count) {
  Fixture fixture;
  fixture.intake.Take(Config(36), {1, 100});
  fixture.intake.Take(Config(17), {2, 70});
  fixture.clock.Advance(Milliseconds(65'000));
  fixture.Confirm({2, 70}, Milliseconds(3'000));
  cr_assert(fixture.in_force == (Revisions{36}));
  fixture.clock.Advance(Milliseconds(65'000));
  fixture.intake.Take(Config(35), {2, 71});
  cr_assert(fixture.in_force == (Revisions{36}), "the first of two that are written again");
  fixture.intake.Take(Config(36), {2, 72});
  cr_assert(fixture.in_force == (Revisions{36}));
  cr_assert_not(fixture.intake.held_back_revision());
}

// Guards against the copy's configuration when a second return follows before the time for the
// first one has passed.
Test(config_intake, second_return_begins_the_time_anew) {
  Fixture fixture;
  fixture.intake.Take(Config(36), {1, 100});
  fixture.intake.Take(Config(17), {2, 70});
  fixture.Confirm({2, 70}, Milliseconds(59'000));
  fixture.intake.Take(Config(17), {3, 65});
  fixture.Confirm({3, 65}, Milliseconds(60'000));
  cr_assert(fixture.in_force == (Revisions{36}));
  fixture.Confirm({3, 65}, Milliseconds(1'000));
  cr_assert(fixture.in_force == (Revisions{36, 17}));
}

// Guards against going back at a process that has started after the return, when the operator has
// written a newer configuration before all that was lost: the others hold the older ones back.
Test(config_intake, process_that_starts_while_lost_rows_are_written) {
  Fixture fixture;
  fixture.intake.Take(Config(37), {2, 101});
  fixture.intake.Take(Config(35), {2, 102});
  fixture.intake.Take(Config(36), {2, 103});
  cr_assert(fixture.in_force == (Revisions{37}));
  fixture.intake.Take(Config(38), {2, 104});
  cr_assert(fixture.in_force == (Revisions{37, 38}));
}

// Guards against an invalid row that replaces the configuration in force, or ends the wait for the
// one that was lost.
Test(config_intake, invalid_row_of_a_new_era_changes_nothing) {
  Fixture fixture;
  fixture.intake.Take(Config(36), {1, 100});
  fixture.intake.Take("no JSON", {2, 70});
  cr_assert(fixture.in_force == (Revisions{36}));
  cr_assert(fixture.newest_up_to == (StorePosition{1, 100}));
  fixture.intake.Take(Config(20), {2, 71});
  fixture.intake.Take("no JSON", {2, 72});
  cr_assert_eq(fixture.intake.held_back_revision().value_or(0), 20);
  fixture.intake.Take(Config(37), {2, 73});
  cr_assert(fixture.in_force == (Revisions{36, 37}));
}
