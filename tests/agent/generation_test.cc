#include "agent/generation.h"

#include <criterion/criterion.h>

#include "fixture.h"

using namespace rattanramp;
using namespace rattanramp::agent;

// Guards against an answer that is cut, reordered or not ended.
Test(generation, generate_streams_the_whole_output) {
  Fixture fixture = StartReadyAgent("engine");
  fixture.entry->Submit(Generation("a1", wire::WorkKind::GENERATE, 50));
  cr_assert(fixture.entry->WaitEnd("a1"));
  const TestEntry::Answers answers = fixture.entry->Of("a1");
  cr_assert(answers.granted && answers.end && answers.end->complete && !answers.gap);
  cr_assert_eq(answers.output, FakeUpstream::OutputOf(50));
  cr_assert_eq(answers.end->total_bytes, 200);
}

// Guards against a broken chain of hold, prefill, transfer and decode.
Test(generation, prefill_then_decode) {
  Fixture fixture = StartReadyAgent("engine");
  fixture.entry->Submit(Generation("d1", wire::WorkKind::DECODE, 20));
  fixture.entry->Submit(Generation("p1", wire::WorkKind::PREFILL, 20));
  cr_assert(WaitUntil([&] { return fixture.entry->Of("p1").prefill_done.has_value(); }));
  fixture.entry->StartDecode("d1", *fixture.entry->Of("p1").prefill_done);
  cr_assert(fixture.entry->WaitEnd("d1"));
  cr_assert_eq(fixture.entry->Of("d1").output, FakeUpstream::OutputOf(20));
  cr_assert_eq(fixture.upstream->decodes, 1);
  cr_assert_eq(fixture.upstream->generates, 0);
}

// Guards against engine memory that stays held for a caller that has left.
Test(generation, cancel_stops_the_engine_and_frees_the_room) {
  Fixture fixture = StartReadyAgent("engine");
  fixture.entry->Submit(Generation("a1", wire::WorkKind::GENERATE, 5000));
  cr_assert(WaitUntil([&] { return fixture.entry->Of("a1").output.size() > 8; }));
  cr_assert(WaitUntil([&] { return fixture.entry->report().free_pieces == 17; }));
  fixture.entry->Cancel("a1");
  cr_assert(WaitUntil([&] { return fixture.upstream->running() == 0; }));
  cr_assert(WaitUntil([&] { return fixture.entry->report().free_pieces == 20; }));
}
