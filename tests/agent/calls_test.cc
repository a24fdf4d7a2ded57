#include "agent/calls.h"

#include <criterion/criterion.h>

#include "fixture.h"

using namespace rattanramp;
using namespace rattanramp::agent;

// Guards against a repeatable call that is not forwarded or loses its status or body.
Test(calls, repeatable_call_is_forwarded) {
  Fixture fixture = StartReadyAgent("service");
  fixture.entry->Submit(Call("c1", "", true));
  cr_assert(fixture.entry->WaitEnd("c1"));
  const TestEntry::Answers answers = fixture.entry->Of("c1");
  cr_assert(answers.end && answers.end->complete);
  cr_assert_eq(answers.end->status, 201);
  cr_assert_eq(answers.output, "ran claim");
}
