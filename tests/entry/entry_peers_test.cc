#include <criterion/criterion.h>

#include "entry/crash_tracker.h"
#include "tests/support/entry_agents.h"

using namespace rattanramp;
using namespace rattanramp::test_support;

namespace {

wire::CrashCount Crash(std::int64_t fingerprint, const std::string& upstream, std::int64_t age_ms) {
  wire::CrashCount crash;
  crash.fingerprint = fingerprint;
  crash.upstream = upstream;
  crash.upstream_incarnation = 1;
  crash.age_ms = age_ms;
  return crash;
}

}  // namespace

// Guards against an entry that cannot serve because the platform is down, although a peer entry has
// the settings. The entry must receive them from the peer and forward them to its agents.
Test(entry_peers, settings_are_received_from_a_peer) {
  const std::shared_ptr<FakeAgent> engine = Engine("e1");
  const EntryFixture first({});
  const EntryFixture second({engine}, nlohmann::json(), false, {first.link_address()});
  cr_assert(EntryFixture::WaitUntil([&] { return second.State()["settings_version"] == 7; }));
  cr_assert(EntryFixture::WaitUntil([&] { return engine->settings_version() == 7; }));
  const httplib::Result result = Complete(second, "chat", "peer", 5);
  cr_assert_eq(result->status, 200, "%s", result->body.c_str());
}

// Guards against a request that crashes upstreams through one entry after another. Crash counts
// must be forwarded to entries that have no link to the agents of the crashed upstreams.
Test(entry_peers, crash_counts_are_forwarded) {
  const std::shared_ptr<FakeAgent> engine = Engine("e1");
  const EntryFixture first({engine});
  const EntryFixture second({}, DefaultTree(), true, {first.link_address()});
  cr_assert(EntryFixture::WaitUntil([&] { return first.State()["links"]["entries"].size() == 1; }));
  const std::string body = nlohmann::json({{"prompt", "poison"}}).dump();
  const std::int64_t fingerprint = entry::Fingerprint("chat", "m1", body);
  wire::SuspicionNotice notice;
  notice.crashes = {Crash(fingerprint, "e1", 0), Crash(fingerprint, "e2", 0)};
  wire::Frame frame;
  frame.__set_suspicion_notice(notice);
  engine->Send(frame);
  cr_assert(EntryFixture::WaitUntil([&] { return second.State()["suspects"] == 1; }));
  const httplib::Result result =
      second.client().Post("/v1/completions", {{"X-Service", "chat"}}, body, "application/json");
  cr_assert_eq(result->status, 422, "%s", result->body.c_str());
}

// Guards against counting one crash twice, against counts that never expire, and against counts
// that remain after a completed run of the request.
Test(crash_tracker, each_upstream_incarnation_counts_once) {
  entry::CrashTracker tracker;
  const TimePoint now = TimePoint() + std::chrono::hours(10);
  const Milliseconds ttl(600'000);
  cr_assert_eq(tracker.Merge({Crash(1, "e1", 0), Crash(1, "e1", 5)}, now).size(), 1);
  cr_assert_eq(tracker.CrashCount(1, ttl, now), 1);
  cr_assert_eq(tracker.Merge({Crash(1, "e2", 0)}, now).size(), 1);
  cr_assert_eq(tracker.CrashCount(1, ttl, now), 2);
  cr_assert_eq(tracker.CrashCount(2, ttl, now), 0);
  cr_assert_eq(tracker.CrashCount(1, ttl, now + ttl), 0);
  wire::CrashCount cleared = Crash(1, "e3", 0);
  cleared.cleared = true;
  cr_assert_eq(tracker.Merge({cleared}, now + Milliseconds(10)).size(), 1);
  cr_assert_eq(tracker.CrashCount(1, ttl, now + Milliseconds(10)), 0);
  // A late report of a crash from before the completed run is not counted.
  cr_assert(tracker.Merge({Crash(1, "e1", 50)}, now + Milliseconds(20)).empty());
}
