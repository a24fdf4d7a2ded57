#include "agent/calls.h"

#include <criterion/criterion.h>

#include "fixture.h"

using namespace rattanramp;
using namespace rattanramp::agent;

// Guards against a repeatable call that is not forwarded, and against a response that loses its
// status or body.
Test(calls, repeatable_call_is_forwarded) {
  Fixture fixture = StartReadyAgent("service");
  fixture.entry->Submit(Call("c1", "", true));
  cr_assert(fixture.entry->WaitEnd("c1"));
  const TestEntry::AttemptReplies replies = fixture.entry->RepliesTo("c1");
  cr_assert(replies.end && replies.end->complete);
  cr_assert_eq(replies.end->status, 201);
  cr_assert_eq(replies.output, "ran claim");
}

// Guards against a second run of a call when its caller repeats it with the same issued key. The
// table is down, because an issued key must not need it.
Test(calls, issued_key_runs_once_and_replays) {
  Fixture fixture = StartReadyAgent("service");
  fixture.platform->SetFault(store::FakePlatform::Fault::kDown);
  const std::string key = fixture.entry->IssueKey();
  fixture.entry->Submit(Call("c1", key, false));
  fixture.entry->Submit(Call("c2", key, false));
  cr_assert(fixture.entry->WaitEnd("c1") && fixture.entry->WaitEnd("c2"));
  fixture.entry->Submit(Call("c3", key, false));
  cr_assert(fixture.entry->WaitEnd("c3"));
  cr_assert(fixture.entry->RepliesTo("c3").end->replayed);
  cr_assert_eq(fixture.entry->RepliesTo("c2").output, "ran claim");
  cr_assert_eq(fixture.entry->RepliesTo("c3").output, "ran claim");
  cr_assert_eq(fixture.upstream->RunCount(key), 1);
}

// Guards against running a call with a key of the caller while the table is down and the owner of
// the key cannot be recorded, and against a key that stays unusable when the table is up again.
Test(calls, caller_key_is_refused_while_the_table_is_down) {
  Fixture fixture = StartReadyAgent("service");
  fixture.platform->SetFault(store::FakePlatform::Fault::kDown);
  fixture.entry->Submit(Call("c1", "k1", false));
  cr_assert(fixture.entry->WaitEnd("c1"));
  cr_assert_eq(fixture.entry->RepliesTo("c1").refused->kind, wire::RefusalKind::STORE_UNAVAILABLE);
  cr_assert_eq(fixture.entry->RepliesTo("c1").refused->outcome, wire::Outcome::NOT_RUN);
  cr_assert_eq(fixture.upstream->RunCount("k1"), 0);
  fixture.platform->SetFault(store::FakePlatform::Fault::kNone);
  fixture.entry->Submit(Call("c2", "k1", false));
  cr_assert(fixture.entry->WaitEnd("c2"));
  cr_assert(fixture.entry->RepliesTo("c2").end->complete);
  cr_assert_eq(fixture.upstream->RunCount("k1"), 1);
}

// Guards against a wrong outcome when the reply to the write of a claim is lost. Treated as a
// refusal, the key would become unusable; treated as success, the call could run without a claim.
Test(calls, lost_reply_is_resolved_by_reading_back) {
  Fixture fixture = StartReadyAgent("service");
  fixture.platform->SetFault(store::FakePlatform::Fault::kWriteReplyLost);
  fixture.entry->Submit(Call("c1", "k1", false));
  cr_assert(fixture.entry->WaitEnd("c1"));
  cr_assert(fixture.entry->RepliesTo("c1").end && fixture.entry->RepliesTo("c1").end->complete);
  cr_assert_eq(fixture.upstream->RunCount("k1"), 1);
}

// Guards against a conflicting claim that makes the other claims of its transaction fail, and
// against running a call whose key another agent owns.
Test(calls, conflict_reports_the_owner_and_keeps_other_claims) {
  Fixture fixture = StartReadyAgent("service");
  core::IntentRecord other;
  other.agent = "agent-2";
  other.incarnation = 99;
  other.attempt = "x";
  other.body_hash = 1;
  store::Transaction transaction;
  transaction.writes.push_back({CallRowKey("claims/k2"), core::FormatIntent(other)});
  cr_assert(fixture.platform->Commit(transaction).has_value());
  for (int i = 1; i <= 3; ++i) {
    fixture.entry->Submit(Call("c" + std::to_string(i), "k" + std::to_string(i), false));
  }
  cr_assert(fixture.entry->WaitEnd("c1") && fixture.entry->WaitEnd("c2") &&
            fixture.entry->WaitEnd("c3"));
  cr_assert(fixture.entry->RepliesTo("c1").end && fixture.entry->RepliesTo("c3").end);
  const std::optional<wire::Refused> refused = fixture.entry->RepliesTo("c2").refused;
  cr_assert(refused && refused->kind == wire::RefusalKind::OWNED_ELSEWHERE);
  cr_assert_eq(refused->owner_agent, "agent-2");
  cr_assert_eq(refused->owner_incarnation, 99);
  cr_assert_eq(fixture.upstream->RunCount("k2"), 0);
}

// Guards against a second run of a call after the service closed the connection without a response.
Test(calls, lost_answer_is_unknown_and_recorded) {
  Fixture fixture = StartReadyAgent("service");
  fixture.upstream->break_calls = true;
  fixture.entry->Submit(Call("c1", "k1", false));
  cr_assert(fixture.entry->WaitEnd("c1"));
  cr_assert_eq(fixture.entry->RepliesTo("c1").end->outcome, wire::Outcome::UNKNOWN);
  fixture.upstream->break_calls = false;
  fixture.entry->Submit(Call("c2", "k1", false));
  cr_assert(fixture.entry->WaitEnd("c2"));
  cr_assert_eq(fixture.entry->RepliesTo("c2").refused->outcome, wire::Outcome::UNKNOWN);
  cr_assert_eq(fixture.upstream->RunCount("k1"), 1);
  cr_assert(WaitUntil([&] {
    const Result<std::optional<store::Row>> row = fixture.platform->Read(CallRowKey("claims/k1"));
    return row && row.value() && core::ParseIntent(row.value()->value).value().state == "unknown";
  }));
}

// Guards against reporting NOT_RUN for a call that can still run later. Here the connection is
// refused, so the call is not sent and its key must stay usable.
Test(calls, refused_connection_is_not_run_and_the_key_stays_usable) {
  Fixture fixture = StartReadyAgent("service");
  fixture.upstream->down = true;
  fixture.entry->Submit(Call("c1", "k1", false));
  cr_assert(fixture.entry->WaitEnd("c1"));
  const TestEntry::AttemptReplies replies = fixture.entry->RepliesTo("c1");
  cr_assert_eq(replies.end ? replies.end->outcome : replies.refused->outcome,
               wire::Outcome::NOT_RUN);
  fixture.upstream->down = false;
  cr_assert(WaitUntil([&] { return fixture.agent->NotReadyReason().empty(); }));
  fixture.entry->Submit(Call("c2", "k1", false));
  cr_assert(fixture.entry->WaitEnd("c2"));
  cr_assert(fixture.entry->RepliesTo("c2").end && fixture.entry->RepliesTo("c2").end->complete);
  cr_assert_eq(fixture.upstream->RunCount("k1"), 1);
}
