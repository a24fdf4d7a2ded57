#include "gateway/store_poller.h"

#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <thread>

#include "tests/gateway/fake_table.h"

using namespace rattanramp;
using gateway::CancelSchedule;
using gateway::ScheduleNext;
using gateway::StorePoller;

namespace {

struct Fixture {
  /// Runs `change` when the poller's timer has expired too, but its handler has not run yet.
  template <typename Change>
  void RunBetween(Change change) {
    asio::steady_timer earlier(context);
    earlier.expires_after(Milliseconds(0));
    earlier.async_wait([&](const std::error_code& /*error*/) { change(); });
    ScheduleNext(poller, Milliseconds(1), [this] { ++calls; });
    std::this_thread::sleep_for(Milliseconds(5));
    context.run();
  }

  asio::io_context context;
  tests::FakeTables tables;
  StorePoller poller{context, std::make_unique<tests::FakeTable>(context, tables)};
  int calls = 0;
};

}  // namespace

// Guards against two reads at a time: a schedule whose timer had expired ran although another read
// had replaced it, and ended that one's call.
Test(store_poller, expired_schedule_is_dropped) {
  Fixture fixture;
  fixture.RunBetween([&] { CancelSchedule(fixture.poller); });
  cr_assert_eq(fixture.calls, 0);
  cr_assert_not(fixture.poller.is_waiting);
}

// Guards against a schedule that runs twice, as the one that it replaced had expired.
Test(store_poller, expired_schedule_is_replaced) {
  Fixture fixture;
  int later_calls = 0;
  fixture.RunBetween(
      [&] { ScheduleNext(fixture.poller, Milliseconds(1), [&] { ++later_calls; }); });
  cr_assert_eq(fixture.calls, 0);
  cr_assert_eq(later_calls, 1);
}

// Guards against a drop that takes all later schedules along.
Test(store_poller, schedule_runs_once) {
  Fixture fixture;
  CancelSchedule(fixture.poller);
  fixture.RunBetween([] {});
  cr_assert_eq(fixture.calls, 1);
  cr_assert_not(fixture.poller.is_waiting);
}
