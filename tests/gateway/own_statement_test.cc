// What an upstream says of itself in its answers: that it leaves, and that it wants a pause.
#include <criterion/criterion.h>

#include <algorithm>
#include <asio/post.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/gateway/exchange_fixture.h"

using namespace rattanramp;
using core::RequestKind;
using core::UpstreamStage;
using tests::ExchangeFixture;
using tests::FakeAnswer;
using tests::FakeEngine;

namespace {

FakeAnswer Answer(int status, const std::string& fields, const std::string& body = "done") {
  return {"HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: r1\r\n" + fields +
          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
}

const std::string kPrefillBody = R"({"kv_handle":"h","tokens":5000})";
const std::string kStream =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    "f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n";

/// Runs plain requests one after the other; returns the statuses of the answers.
std::vector<int> RunPlain(ExchangeFixture& fixture, int count) {
  std::vector<int> statuses;
  for (int i = 0; i < count; ++i) {
    fixture.sink.status = 0;
    fixture.context.restart();
    fixture.Run(RequestKind::kRepeatable, false);
    statuses.push_back(fixture.sink.status);
  }
  return statuses;
}

core::UpstreamInfo Info(const std::string& id, std::int64_t started_unix_ms) {
  core::UpstreamInfo info;
  info.id = id;
  info.service = "s";
  info.address = "127.0.0.1";
  info.port = 1;
  info.slots = 8;
  info.started_unix_ms = started_unix_ms;
  return info;
}

bool IsUsable(const gateway::Fleet& fleet, TimePoint now) {
  std::vector<core::PlacementCandidate> candidates;
  fleet.FillCandidates("s", core::ServiceRule(), {}, {}, now, candidates);
  return std::any_of(candidates.begin(), candidates.end(),
                     [](const core::PlacementCandidate& c) { return c.is_usable; });
}

}  // namespace

// Guards against new requests to a server that has said in an answer, of any status, that it
// leaves, although the list does not say so yet.
Test(own_statement, leaving_server_gets_no_new_requests, .timeout = 30) {
  for (const int status : {200, 404, 500}) {
    FakeEngine leaving([status](const std::string& /*head*/, int /*number*/) {
      return Answer(status, "Response-Seal: s\r\nServer-Leaving: 1\r\n");
    });
    FakeEngine other([](const std::string& /*head*/, int /*number*/) {
      return Answer(200, "Response-Seal: s\r\n");
    });
    ExchangeFixture fixture;
    fixture.Add("a", UpstreamStage::kPlain, leaving.port());
    RunPlain(fixture, 1);
    const std::size_t before = leaving.heads().size();
    fixture.Add("b", UpstreamStage::kPlain, other.port());
    RunPlain(fixture, 8);
    cr_expect_eq(leaving.heads().size(), before);
    cr_expect_eq(other.heads().size(), 8);
  }
}

// Guards against more prefills at an engine that has said so in its answer to one.
Test(own_statement, leaving_prefill_engine_gets_no_new_prompts, .timeout = 30) {
  FakeEngine prefill([](const std::string& /*head*/, int /*number*/) {
    return Answer(200, "Server-Leaving: 1\r\n", kPrefillBody);
  });
  FakeEngine decode(
      [](const std::string& /*head*/, int /*number*/) { return FakeAnswer{kStream}; });
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d", UpstreamStage::kDecode, decode.port());
  for (int i = 0; i < 3; ++i) {
    fixture.context.restart();
    fixture.Run(RequestKind::kStream, false);
    cr_expect(fixture.sink.is_complete);
  }
  cr_expect_eq(prefill.heads().size(), 1);
  cr_expect_eq(decode.heads().size(), 3);
}

// Guards against a decode at an engine that said while the prompt was prefilled that it leaves.
Test(own_statement, decode_is_not_sent_to_an_engine_that_leaves_meanwhile, .timeout = 30) {
  ExchangeFixture fixture;
  std::string left;
  FakeEngine prefill([&](const std::string& /*head*/, int /*number*/) {
    asio::post(fixture.context, [&] {
      for (const auto& [id, upstream] : fixture.fleet.upstreams()) {
        if (upstream->info.stage == UpstreamStage::kDecode && upstream->local_load.running == 1 &&
            left.empty()) {
          core::AnswerFacts facts;
          facts.is_leaving = true;
          gateway::RecordOwnStatement(*upstream, facts, DefaultClock().now());
          left = id;
        }
      }
    });
    FakeAnswer answer;
    answer.later = {Answer(200, "", kPrefillBody).bytes};
    answer.pause = std::chrono::milliseconds(100);
    return answer;
  });
  const FakeEngine::Script script = [](const std::string& /*head*/, int /*number*/) {
    return FakeAnswer{kStream};
  };
  FakeEngine first(script);
  FakeEngine second(script);
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d1", UpstreamStage::kDecode, first.port());
  fixture.Add("d2", UpstreamStage::kDecode, second.port());
  fixture.Run(RequestKind::kStream, false);
  cr_assert(fixture.sink.is_complete);
  cr_assert_eq((left == "d1" ? first : second).heads().size(), 0);
  cr_assert_eq((left == "d1" ? second : first).heads().size(), 1);
}

// Guards against a server that is used again after it has left: an older list or a store that has
// lost its newest rows brings its entry back. Another incarnation of the id is another server.
Test(own_statement, server_that_has_left_stays_left) {
  const TimePoint now = DefaultClock().now();
  gateway::Fleet fleet;
  core::DirectoryChange added;
  added.added = {Info("a", 1)};
  core::DirectoryChange removed;
  removed.removed = {Info("a", 1)};
  fleet.Apply(added);
  core::AnswerFacts facts;
  facts.is_leaving = true;
  gateway::RecordOwnStatement(*fleet.upstreams().at("a"), facts, now);
  cr_assert(!IsUsable(fleet, now));
  // The load reports name it to the peers as excluded.
  cr_assert_eq(fleet.LocalExclusions().size(), 1);
  core::DirectoryChange updated;
  updated.updated = {Info("a", 1)};
  fleet.Apply(updated);
  cr_assert(!IsUsable(fleet, now));
  fleet.Apply(removed);
  fleet.Apply(added);
  cr_assert(!IsUsable(fleet, now));
  fleet.Apply(removed);
  added.added = {Info("a", 2)};
  fleet.Apply(added);
  cr_assert(IsUsable(fleet, now));
}

// Guards against requests to a server within the pause that it has asked for; of several pauses the
// latest end holds.
Test(own_statement, pause_lasts_until_its_latest_end) {
  const TimePoint now = DefaultClock().now();
  gateway::Fleet fleet;
  core::DirectoryChange added;
  added.added = {Info("a", 1)};
  fleet.Apply(added);
  gateway::Upstream& upstream = *fleet.upstreams().at("a");
  core::AnswerFacts facts;
  facts.pause_ms = 3'000;
  gateway::RecordOwnStatement(upstream, facts, now);
  facts.pause_ms = 1'000;
  gateway::RecordOwnStatement(upstream, facts, now + Milliseconds(500));
  facts.pause_ms.reset();
  gateway::RecordOwnStatement(upstream, facts, now + Milliseconds(600));
  cr_assert(!IsUsable(fleet, now + Milliseconds(2'990)));
  cr_assert(fleet.PausedUntil("s", UpstreamStage::kPlain, now) == now + Milliseconds(3'000));
  cr_assert(IsUsable(fleet, now + Milliseconds(3'000)));
  cr_assert(!fleet.PausedUntil("s", UpstreamStage::kPlain, now + Milliseconds(3'000)));
}

// Guards against more requests to a server that has answered 503 with a pause, and against callers
// that wait in vain or come back too early when all servers pause.
Test(own_statement, paused_server_gets_no_requests, .timeout = 30) {
  FakeEngine paused([](const std::string& /*head*/, int number) {
    return number == 0 ? Answer(503, "Not-Executed: 1\r\nRetry-After: 2\r\n")
                       : Answer(200, "Response-Seal: s\r\n");
  });
  ExchangeFixture fixture;
  fixture.Add("a", UpstreamStage::kPlain, paused.port());
  const std::vector<int> statuses = RunPlain(fixture, 4);
  cr_expect((statuses == std::vector<int>{503, 503, 503, 503}));
  cr_expect_eq(paused.heads().size(), 1);
  const std::string* retry_after = http::FindField(fixture.sink.fields, "Retry-After");
  cr_assert(retry_after != nullptr);
  cr_expect_gt(std::stod(*retry_after), 1.0);
  cr_expect_leq(std::stod(*retry_after), 2.0);
  FakeEngine other([](const std::string& /*head*/, int /*number*/) {
    return Answer(200, "Response-Seal: s\r\n");
  });
  fixture.Add("b", UpstreamStage::kPlain, other.port());
  cr_expect((RunPlain(fixture, 3) == std::vector<int>{200, 200, 200}));
  cr_expect_eq(paused.heads().size(), 1);
}

// Guards against generations that wait until their caller leaves although all engines have asked
// for a longer pause.
Test(own_statement, generation_is_refused_when_all_engines_pause_too_long, .timeout = 30) {
  FakeEngine decode([](const std::string& /*head*/, int /*number*/) {
    return Answer(503, "Not-Executed: 1\r\nRetry-After: 30\r\n");
  });
  ExchangeFixture fixture;
  fixture.Add("d", UpstreamStage::kDecode, decode.port());
  const TimePoint start = DefaultClock().now();
  fixture.Run(RequestKind::kStream, true, 2, 14'000);
  cr_assert_eq(fixture.sink.status, 503);
  cr_expect_eq(decode.heads().size(), 1);
  cr_expect_lt(ToMs(DefaultClock().now() - start), 1'000.0);
  const std::string* retry_after = http::FindField(fixture.sink.fields, "Retry-After");
  cr_assert(retry_after != nullptr);
  cr_expect_gt(std::stod(*retry_after), 20.0);
}

// Guards against a server that is used again after it has left (review case 5): its statement comes
// in an answer that ends after the entry was seen to be gone, and the store then performs an old
// beat. Pauses hold in the same way.
Test(own_statement, statement_after_the_removal_holds) {
  const TimePoint now = DefaultClock().now();
  gateway::Fleet fleet;
  core::DirectoryChange added;
  added.added = {Info("a", 1), Info("b", 1)};
  core::DirectoryChange removed;
  removed.removed = added.added;
  fleet.Apply(added);
  const std::shared_ptr<gateway::Upstream> leaving = fleet.upstreams().at("a");
  const std::shared_ptr<gateway::Upstream> paused = fleet.upstreams().at("b");
  fleet.Apply(removed);
  core::AnswerFacts facts;
  facts.is_leaving = true;
  gateway::RecordOwnStatement(*leaving, facts, now);
  facts.is_leaving = false;
  facts.pause_ms = 3'000;
  gateway::RecordOwnStatement(*paused, facts, now);
  fleet.Apply(added);
  cr_assert(fleet.upstreams().at("a")->is_leaving());
  cr_assert(fleet.upstreams().at("b")->paused_until() == now + Milliseconds(3'000));
  cr_assert(!IsUsable(fleet, now));
  // The statement also holds when the entry is back before the answer.
  fleet.Apply(removed);
  added.added = {Info("c", 1)};
  removed.removed = added.added;
  fleet.Apply(added);
  const std::shared_ptr<gateway::Upstream> first = fleet.upstreams().at("c");
  fleet.Apply(removed);
  fleet.Apply(added);
  facts.is_leaving = true;
  gateway::RecordOwnStatement(*first, facts, now);
  cr_assert(fleet.upstreams().at("c")->is_leaving());
}

// Guards against an old beat that is performed late and turns a draining server back to ready.
Test(own_statement, draining_server_does_not_become_ready) {
  const TimePoint now = DefaultClock().now();
  gateway::Fleet fleet;
  core::DirectoryChange added;
  added.added = {Info("a", 1)};
  fleet.Apply(added);
  core::DirectoryChange updated;
  updated.updated = {Info("a", 1)};
  updated.updated[0].is_draining = true;
  fleet.Apply(updated);
  updated.updated[0].is_draining = false;
  fleet.Apply(updated);
  cr_assert(!IsUsable(fleet, now));
}

// Guards against requests to a server that has left without a word: a beat that the store performs
// late brings its entry back. One that stays has been renewed, so that its server is used again.
Test(own_statement, returned_server_is_used_when_its_entry_stays) {
  const TimePoint now = DefaultClock().now();
  gateway::Fleet fleet;
  core::DirectoryChange others;
  others.added = {Info("b", 1), Info("c", 1)};
  others.added[0].is_draining = others.added[1].is_draining = true;
  fleet.Apply(others);
  core::DirectoryChange added;
  added.added = {Info("a", 1)};
  core::DirectoryChange removed;
  removed.removed = added.added;
  fleet.Apply(added);
  cr_assert(IsUsable(fleet, now));
  for (int i = 0; i < 2; ++i) {
    fleet.Apply(removed);
    fleet.Apply(added);
    for (std::int64_t ms = 0; ms < 5'000; ms += 20) {
      fleet.ConfirmReturned(now + Milliseconds(ms));
    }
    cr_assert(!IsUsable(fleet, now));
  }
  fleet.ConfirmReturned(now + Milliseconds(6'000));
  cr_assert(IsUsable(fleet, now));
}

// Guards against a service without servers for seconds after a list that was incomplete once.
Test(own_statement, servers_that_return_together_are_used_at_once) {
  const TimePoint now = DefaultClock().now();
  gateway::Fleet fleet;
  core::DirectoryChange added;
  added.added = {Info("a", 1), Info("b", 1), Info("c", 1)};
  core::DirectoryChange removed;
  removed.removed = added.added;
  fleet.Apply(added);
  fleet.Apply(removed);
  fleet.Apply(added);
  cr_assert(IsUsable(fleet, now));
}
