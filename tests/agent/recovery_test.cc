#include <criterion/criterion.h>

#include "fixture.h"

using namespace rattanramp;
using namespace rattanramp::agent;

namespace {

Fixture StartDecodeAttempt() {
  Fixture fixture = StartReadyAgent("engine");
  fixture.entry->Submit(Generation("d1", wire::WorkKind::DECODE, 20));
  cr_assert(WaitUntil([&] { return fixture.entry->RepliesTo("d1").granted; }));
  return fixture;
}

wire::PrefillDone SmallKv() {
  wire::PrefillDone done;
  done.kv_handle = "kv";
  done.kv_bytes = 1000;
  return done;
}

}  // namespace

// Guards against a failed attempt when the source engine has evicted the KV before the transfer.
Test(recovery, evicted_kv_is_prefilled_in_place) {
  Fixture fixture = StartDecodeAttempt();
  fixture.upstream->kv_gone = true;
  fixture.entry->StartDecode("d1", SmallKv());
  cr_assert(fixture.entry->WaitEnd("d1"));
  cr_assert_eq(fixture.entry->RepliesTo("d1").output, FakeUpstream::ExpectedOutput(20));
  cr_assert_eq(fixture.upstream->decodes, 1);
  cr_assert_eq(fixture.upstream->generates, 1);
}

// Guards against waiting without limit for a stalled transfer. The agent must import the KV once
// more and then prefill at the decode engine.
Test(recovery, stalled_transfer_is_imported_again_then_prefilled_in_place) {
  Fixture fixture = StartDecodeAttempt();
  fixture.upstream->stall_imports = true;
  fixture.entry->StartDecode("d1", SmallKv());
  cr_assert(fixture.entry->WaitEnd("d1"));
  cr_assert_eq(fixture.entry->RepliesTo("d1").output, FakeUpstream::ExpectedOutput(20));
  cr_assert_eq(fixture.upstream->decodes, 2);
  cr_assert_eq(fixture.upstream->generates, 1);
  cr_assert(WaitUntil([&] { return fixture.upstream->running() == 0; }));
}

// Guards against a stream that has no more output on its connection although a new connection would
// deliver it.
Test(recovery, silent_stream_is_resumed) {
  Fixture fixture = StartReadyAgent("engine");
  fixture.entry->Submit(Generation("a1", wire::WorkKind::GENERATE, 100));
  cr_assert(WaitUntil([&] { return fixture.entry->RepliesTo("a1").output.size() >= 40; }));
  fixture.upstream->freeze_streams = true;
  cr_assert(WaitUntil([&] { return fixture.upstream->resumes > 0; }));
  fixture.upstream->freeze_streams = false;
  cr_assert(fixture.entry->WaitEnd("a1"));
  cr_assert(fixture.entry->RepliesTo("a1").end->complete);
  cr_assert_eq(fixture.entry->RepliesTo("a1").output, FakeUpstream::ExpectedOutput(100));
}

// Guards against attempts that wait without limit at an engine whose resumed streams have no
// output.
Test(recovery, stream_that_stays_silent_counts_as_a_crash) {
  Fixture fixture = StartReadyAgent("engine");
  fixture.entry->Submit(Generation("a1", wire::WorkKind::GENERATE, 100));
  cr_assert(WaitUntil([&] { return fixture.entry->RepliesTo("a1").output.size() >= 40; }));
  fixture.upstream->freeze_streams = true;
  cr_assert(fixture.entry->WaitEnd("a1", 10'000));
  cr_assert_eq(fixture.entry->RepliesTo("a1").end->error, wire::RefusalKind::UPSTREAM_CRASHED);
}

// Guards against attempts that never end after an engine crash, and against requests that crash one
// engine after another. Each End must name the crash, the crash counts must be reported, and new
// work must be accepted after the restart.
Test(recovery, engine_crash_ends_attempts_and_counts_fingerprints) {
  Fixture fixture = StartReadyAgent("engine");
  wire::Submit submit = Generation("a1", wire::WorkKind::GENERATE, 5000);
  submit.fingerprint = 77;
  fixture.entry->Submit(submit);
  cr_assert(WaitUntil([&] { return fixture.entry->RepliesTo("a1").output.size() >= 8; }));
  fixture.upstream->down = true;
  cr_assert(fixture.entry->WaitEnd("a1"));
  const wire::End end = *fixture.entry->RepliesTo("a1").end;
  cr_assert_eq(end.error, wire::RefusalKind::UPSTREAM_CRASHED);
  cr_assert_eq(end.outcome, wire::Outcome::RAN);
  cr_assert_eq(end.crashes.size(), 1u);
  cr_assert_eq(end.crashes[0].fingerprint, 77);
  cr_assert(WaitUntil([&] { return fixture.entry->report().state == wire::UpstreamState::DOWN; }));
  cr_assert_eq(fixture.entry->report().crashes.size(), 1u);

  const int cleaned = fixture.upstream->cancel_all_calls;
  fixture.upstream->Restart();
  fixture.upstream->down = false;
  cr_assert(fixture.entry->WaitReady());
  cr_assert_gt(fixture.upstream->cancel_all_calls, cleaned);

  // A second crash, in another incarnation, reaches the limit of 2. The agent then refuses the
  // request.
  submit.attempt_id = "a2";
  fixture.entry->Submit(submit);
  cr_assert(WaitUntil([&] { return fixture.entry->RepliesTo("a2").output.size() >= 8; }));
  fixture.upstream->Restart();
  cr_assert(fixture.entry->WaitEnd("a2"));
  cr_assert_eq(fixture.entry->RepliesTo("a2").end->error, wire::RefusalKind::UPSTREAM_CRASHED);
  cr_assert(fixture.entry->WaitReady());
  submit.attempt_id = "a3";
  fixture.entry->Submit(submit);
  cr_assert(fixture.entry->WaitEnd("a3"));
  cr_assert_eq(fixture.entry->RepliesTo("a3").refused->kind, wire::RefusalKind::SUSPECT);
  cr_assert_eq(fixture.entry->RepliesTo("a3").refused->outcome, wire::Outcome::NOT_RUN);
}
