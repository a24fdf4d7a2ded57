#include "agent/generation.h"

#include <criterion/criterion.h>

#include "fixture.h"

using namespace rattanramp;
using namespace rattanramp::agent;

// Guards against output that is truncated, reordered or has no End.
Test(generation, generate_streams_all_output) {
  Fixture fixture = StartReadyAgent("engine");
  fixture.entry->Submit(Generation("a1", wire::WorkKind::GENERATE, 50));
  cr_assert(fixture.entry->WaitEnd("a1"));
  const TestEntry::AttemptReplies replies = fixture.entry->RepliesTo("a1");
  cr_assert(replies.granted && replies.end && replies.end->complete && !replies.gap);
  cr_assert_eq(replies.output, FakeUpstream::ExpectedOutput(50));
  cr_assert_eq(replies.end->total_bytes, 200);
}

// Guards against a failure in the sequence of reservation, prefill, transfer and decode.
Test(generation, prefill_then_decode) {
  Fixture fixture = StartReadyAgent("engine");
  fixture.entry->Submit(Generation("d1", wire::WorkKind::DECODE, 20));
  fixture.entry->Submit(Generation("p1", wire::WorkKind::PREFILL, 20));
  cr_assert(WaitUntil([&] { return fixture.entry->RepliesTo("p1").prefill_done.has_value(); }));
  fixture.entry->StartDecode("d1", *fixture.entry->RepliesTo("p1").prefill_done);
  cr_assert(fixture.entry->WaitEnd("d1"));
  cr_assert_eq(fixture.entry->RepliesTo("d1").output, FakeUpstream::ExpectedOutput(20));
  cr_assert_eq(fixture.upstream->decodes, 1);
  cr_assert_eq(fixture.upstream->generates, 0);
}

// Guards against engine memory that stays reserved after the caller has disconnected.
Test(generation, cancel_stops_the_request_and_frees_its_memory) {
  Fixture fixture = StartReadyAgent("engine");
  fixture.entry->Submit(Generation("a1", wire::WorkKind::GENERATE, 5000));
  cr_assert(WaitUntil([&] { return fixture.entry->RepliesTo("a1").output.size() > 8; }));
  cr_assert(WaitUntil([&] { return fixture.entry->report().free_pieces == 17; }));
  fixture.entry->Cancel("a1");
  cr_assert(WaitUntil([&] { return fixture.upstream->running() == 0; }));
  cr_assert(WaitUntil([&] { return fixture.entry->report().free_pieces == 20; }));
}

// Guards against grants beyond the engine's memory, and against a refusal without the current load.
Test(generation, refuses_when_memory_is_full_and_reports_the_load) {
  Fixture fixture = StartReadyAgent("engine");
  wire::Submit large = Generation("a1", wire::WorkKind::DECODE, 20);
  large.prompt_tokens = 19 * 2048;
  fixture.entry->Submit(large);
  cr_assert(WaitUntil([&] { return fixture.entry->RepliesTo("a1").granted; }));
  large.attempt_id = "a2";
  fixture.entry->Submit(large);
  cr_assert(fixture.entry->WaitEnd("a2"));
  const std::optional<wire::Refused> refused = fixture.entry->RepliesTo("a2").refused;
  cr_assert(refused && refused->kind == wire::RefusalKind::NO_ROOM);
  cr_assert_eq(refused->outcome, wire::Outcome::NOT_RUN);
  cr_assert(refused->__isset.load);
  cr_assert_eq(refused->load.free_pieces, 0);
}

// Guards against memory that stays reserved for a decode whose prefill never finishes. Also guards
// against ending it with DEADLINE: entries would interpret that as the deadline of the request, and
// a patient request whose prefill is late would be lost.
Test(generation, hold_without_start_decode_ends_not_run) {
  Fixture fixture = StartReadyAgent("engine");
  wire::Submit submit = Generation("a1", wire::WorkKind::DECODE, 20);
  submit.hold_ms = 100;
  fixture.entry->Submit(submit);
  cr_assert(fixture.entry->WaitEnd("a1"));
  cr_assert_eq(fixture.entry->RepliesTo("a1").end->outcome, wire::Outcome::NOT_RUN);
  cr_assert_eq(fixture.entry->RepliesTo("a1").end->error, wire::RefusalKind::NO_ROOM);
  cr_assert(WaitUntil([&] { return fixture.entry->report().free_pieces == 20; }));
}

// Guards against work that continues after its entry has crashed. Attempts in all phases must be
// cancelled, and the engine's own count of requests must return to zero.
Test(generation, expired_lease_cancels_at_the_engine) {
  Fixture fixture = StartReadyAgent("engine");
  fixture.upstream->stall_imports = true;
  fixture.entry->Submit(Generation("g1", wire::WorkKind::GENERATE, 5000));
  fixture.entry->Submit(Generation("h1", wire::WorkKind::DECODE, 20));
  fixture.entry->Submit(Generation("d1", wire::WorkKind::DECODE, 20));
  cr_assert(WaitUntil([&] { return fixture.entry->RepliesTo("d1").granted; }));
  wire::PrefillDone done;
  done.kv_bytes = 1'000'000'000;
  fixture.entry->StartDecode("d1", done);
  cr_assert(WaitUntil([&] { return fixture.upstream->running() == 2; }));
  fixture.entry->Disconnect();
  cr_assert(WaitUntil([&] { return fixture.upstream->running() == 0; }, 2500));
  cr_assert(WaitUntil([&] { return fixture.agent->active() == 0; }));
  cr_assert_eq(fixture.agent->State()["room"]["held_pieces"], 0);
}

// Guards against a lease that expires although the entry sends heartbeats.
Test(generation, heartbeats_keep_the_lease) {
  Fixture fixture = StartReadyAgent("engine");
  fixture.entry->Submit(Generation("a1", wire::WorkKind::GENERATE, 700));
  cr_assert(fixture.entry->WaitEnd("a1", 8000));
  cr_assert(fixture.entry->RepliesTo("a1").end->complete);
}

// Guards against missing or repeated output after a link was disconnected.
Test(generation, resume_on_a_new_link_continues_without_a_gap) {
  Fixture fixture = StartReadyAgent("engine");
  fixture.entry->Submit(Generation("a1", wire::WorkKind::GENERATE, 150));
  cr_assert(WaitUntil([&] { return fixture.entry->RepliesTo("a1").output.size() >= 80; }));
  fixture.entry->Disconnect();
  const std::string first = fixture.entry->RepliesTo("a1").output;
  const std::shared_ptr<TestEntry> second = TestEntry::Dial(fixture.agent->link_port());
  second->Resume("a1", static_cast<std::int64_t>(first.size()));
  cr_assert(second->WaitEnd("a1"));
  // The new test entry has no output yet and records the later offsets as a gap, so the output is
  // requested again from byte 0.
  second->Resume("a1", 0);
  cr_assert(WaitUntil(
      [&] { return second->RepliesTo("a1").output == FakeUpstream::ExpectedOutput(150); }));
  cr_assert(second->RepliesTo("a1").end->complete);
}

// Guards against running an attempt after its Cancel. A Cancel on another link can arrive before
// the Submit.
Test(generation, submit_after_cancel_is_refused) {
  Fixture fixture = StartReadyAgent("engine");
  fixture.entry->Cancel("a1");
  fixture.entry->Submit(Generation("a1", wire::WorkKind::GENERATE, 10));
  cr_assert(fixture.entry->WaitEnd("a1"));
  cr_assert_eq(fixture.entry->RepliesTo("a1").refused->kind, wire::RefusalKind::ABANDONED);
  cr_assert_eq(fixture.upstream->generates, 0);
}
