#include <criterion/criterion.h>

#include "agent/epoch.h"
#include "agent/lock_port.h"
#include "fixture.h"
#include "tests/support/free_port.h"

using namespace rattanramp;
using namespace rattanramp::agent;

// Guards against serving with default settings before the first settings arrive, and against never
// requesting them.
Test(lifecycle, not_ready_until_settings_arrive) {
  Fixture fixture = StartAgent("engine");
  fixture.entry->Submit(Generation("a1", wire::WorkKind::GENERATE, 5));
  cr_assert(fixture.entry->WaitEnd("a1"));
  cr_assert_eq(fixture.entry->RepliesTo("a1").refused->kind, wire::RefusalKind::NOT_READY);
  cr_assert(!fixture.agent->NotReadyReason().empty());
  const std::shared_ptr<TestEntry> newer = TestEntry::Dial(fixture.agent->link_port(), 3);
  cr_assert(WaitUntil([&] { return newer->pulls() > 0; }));
  newer->PushSettings(3);
  cr_assert(fixture.entry->WaitReady());
  cr_assert(WaitUntil([&] { return fixture.entry->events() > 0; }));
}

// Guards against requests of an earlier incarnation of the agent that stay at the engine, where no
// agent supervises them.
Test(lifecycle, cancels_everything_at_the_engine_before_ready) {
  Fixture fixture = StartReadyAgent("engine");
  cr_assert_geq(fixture.upstream->cancel_all_calls, 1);
}

// Guards against orders without a fencing token, and against refusing work while the platform is
// down.
Test(lifecycle, serves_without_epoch_but_sends_no_orders) {
  Fixture fixture = StartAgent("engine", store::FakePlatform::Fault::kDown);
  fixture.entry->PushSettings(1, kFastSettings);
  cr_assert(fixture.entry->WaitReady());
  fixture.entry->Submit(Generation("a1", wire::WorkKind::GENERATE, 5));
  cr_assert(fixture.entry->WaitEnd("a1"));
  cr_assert(fixture.entry->RepliesTo("a1").end->complete);
  cr_assert(!fixture.agent->SendOrder(Order{"load_model", "m2", ""}).has_value());
  cr_assert_eq(fixture.upstream->orders, 0);
  fixture.platform->SetFault(store::FakePlatform::Fault::kNone);
  cr_assert(WaitUntil([&] {
    return fixture.agent->SendOrder({"load_model", "m2", ""}).has_value();
  }));
  cr_assert_eq(fixture.upstream->fence, 1);
}

// Guards against two agents with the same epoch, and against an agent that increments the epoch
// twice after a lost reply.
Test(lifecycle, epoch_increases_also_after_a_lost_reply) {
  store::FakePlatform platform;
  cr_assert_eq(AcquireEpoch(platform, "a", 10).value(), 1);
  platform.SetFault(store::FakePlatform::Fault::kWriteReplyLost);
  cr_assert_eq(AcquireEpoch(platform, "a", 11).value(), 2);
  platform.SetFault(store::FakePlatform::Fault::kReplyLost);
  cr_assert(!AcquireEpoch(platform, "a", 12).has_value());
  platform.SetFault(store::FakePlatform::Fault::kNone);
  cr_assert_eq(AcquireEpoch(platform, "a", 11).value(), 2);
  cr_assert_eq(AcquireEpoch(platform, "a", 12).value(), 3);
}

// Guards against two agents that control the same upstream.
Test(lifecycle, lock_port_is_exclusive) {
  const std::string address = "127.0.0.1:" + std::to_string(testing::FreePort());
  Result<std::unique_ptr<LockPort>> first = LockPort::Acquire(address);
  cr_assert(first.has_value());
  const Result<std::unique_ptr<LockPort>> second = LockPort::Acquire(address);
  cr_assert(!second.has_value());
  cr_assert_eq(second.error().kind, ErrorKind::kConflict);
  first.value().reset();
  cr_assert(LockPort::Acquire(address).has_value());
}

// Guards against a shutdown that aborts running work or accepts new work.
Test(lifecycle, drain_finishes_running_work_and_refuses_new) {
  Fixture fixture = StartReadyAgent("engine");
  fixture.entry->Submit(Generation("a1", wire::WorkKind::GENERATE, 100));
  cr_assert(WaitUntil([&] { return fixture.entry->RepliesTo("a1").granted; }));
  fixture.agent->Drain();
  cr_assert(
      WaitUntil([&] { return fixture.entry->report().state == wire::UpstreamState::LEAVING; }));
  fixture.entry->Submit(Generation("a2", wire::WorkKind::GENERATE, 5));
  cr_assert(fixture.entry->WaitEnd("a2"));
  cr_assert_eq(fixture.entry->RepliesTo("a2").refused->kind, wire::RefusalKind::LEAVING);
  cr_assert_eq(fixture.entry->RepliesTo("a2").refused->outcome, wire::Outcome::NOT_RUN);
  cr_assert(!fixture.agent->drained());
  cr_assert(fixture.entry->WaitEnd("a1"));
  cr_assert(fixture.entry->RepliesTo("a1").end->complete);
  cr_assert(WaitUntil([&] { return fixture.agent->drained(); }));
  cr_assert_eq(fixture.agent->active(), 0u);
}
