// Failure tests for calls that must run at most once. A claim is a POST to a service with
// repeatable: false; the stand-in service counts the runs of each idempotency key.

#include <criterion/criterion.h>
#include <httplib.h>

#include <csignal>
#include <thread>

#include "tests/support/test_fleet.h"

using namespace rattanramp;           // NOLINT(google-build-using-namespace)
using namespace rattanramp::testing;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

struct ClaimAnswer {
  int status = 0;
  std::string kind;
  std::string outcome;
  bool replayed = false;
};

FleetSpec TwoClaimServices() {
  FleetSpec spec;
  spec.entries = 2;
  spec.services = {"claims", "claims"};
  spec.settings = {
      {"values", {{"lease_ms", 1'500}, {"link_dead_ms", 800}, {"heartbeat_ms", 200}}},
      {"services",
       {{"claims",
         {{"values", {{"kind", "plain"}, {"repeatable", false}, {"deadline_ms", 8'000}}}}}}}};
  return spec;
}

ClaimAnswer SendClaim(const TestFleet& fleet, int entry, const std::string& key,
                      const std::string& body = "{\"claim\":1}") {
  httplib::Client client("http://" + fleet.caller(entry));
  client.set_read_timeout(30, 0);
  const httplib::Result result =
      client.Post("/services/claims/claims", {{"Idempotency-Key", key}}, body, "application/json");
  ClaimAnswer answer;
  if (!result) {
    answer.kind = "connection";
    return answer;
  }
  answer.status = result->status;
  answer.replayed = result->get_header_value("Idempotent-Replayed") == "true";
  const json parsed = json::parse(result->body, nullptr, false);
  if (parsed.is_object() && parsed.contains("error")) {
    answer.kind = parsed["error"].value("kind", "");
    answer.outcome = parsed["error"].value("outcome", "");
  }
  return answer;
}

std::string IssueKey(const TestFleet& fleet, int entry) {
  const std::pair<int, json> answer =
      PostJson("http://" + fleet.caller(entry), "/services/claims/keys", json::object());
  cr_assert_eq(answer.first, 201, "key was not issued: %d", answer.first);
  return answer.second.at("key");
}

void SetServiceFault(const TestFleet& fleet, const json& fault) {
  for (const char* name : {"service-0", "service-1"}) {
    cr_assert_eq(PostJson(fleet.upstream_url(name), "/faults", fault).first, 200);
  }
}

}  // namespace

// Guards against a second run when the caller repeats a claim through another entry with the same
// key.
Test(claim_proof, repeat_through_other_entry) {
  const TestFleet fleet(TwoClaimServices());
  for (const std::string& key : {std::string("own-key-1"), IssueKey(fleet, 0)}) {
    cr_assert_eq(SendClaim(fleet, 0, key).status, 201);
    const ClaimAnswer repeat = SendClaim(fleet, 1, key);
    cr_assert_eq(repeat.status, 201, "%d %s", repeat.status, repeat.kind.c_str());
    cr_assert(repeat.replayed);
    cr_assert_eq(fleet.RunsOf(key), 1);
  }
}

// Guards against a second run when the same claim arrives at two entries at the same time.
Test(claim_proof, concurrent_repeats) {
  const TestFleet fleet(TwoClaimServices());
  SetServiceFault(fleet, {{"delay_ms", 300}});
  for (int round = 0; round < 5; ++round) {
    const std::string key = "concurrent-" + std::to_string(round);
    std::vector<std::thread> callers;
    for (int i = 0; i < 4; ++i) {
      callers.emplace_back([&, i] { SendClaim(fleet, i % 2, key); });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    cr_assert_eq(fleet.RunsOf(key), 1);
  }
}

// Guards against a second claim with another body being run under a key that is already in use. It
// must be refused with 422 and not_run.
Test(claim_proof, other_body_with_same_key) {
  const TestFleet fleet(TwoClaimServices());
  cr_assert_eq(SendClaim(fleet, 0, "reused", "{\"claim\":1}").status, 201);
  const ClaimAnswer other = SendClaim(fleet, 1, "reused", "{\"claim\":2}");
  cr_assert_eq(other.status, 422, "%d %s", other.status, other.kind.c_str());
  cr_assert_str_eq(other.outcome.c_str(), "not_run");
  cr_assert_eq(fleet.RunsOf("reused"), 1);
}

// Guards against a second run when the entry is killed after it dispatched the claim and before it
// answered, and the caller repeats the claim through another entry.
Test(claim_proof, entry_killed_during_claim) {
  TestFleet fleet(TwoClaimServices());
  SetServiceFault(fleet, {{"delay_ms", 800}});
  for (const std::string& key : {std::string("own-key-2"), IssueKey(fleet, 1)}) {
    std::thread caller([&] { SendClaim(fleet, 0, key); });
    std::this_thread::sleep_for(Milliseconds(300));
    fleet.process("entry-0").Kill();
    caller.join();
    const ClaimAnswer repeat = SendClaim(fleet, 1, key);
    cr_assert(repeat.status == 201 || repeat.outcome == "unknown", "%d %s", repeat.status,
              repeat.kind.c_str());
    cr_assert_eq(fleet.RunsOf(key), 1);
    fleet.Restart("entry-0");
    std::this_thread::sleep_for(Milliseconds(1'500));
  }
}

// Guards against a second run, and against a false "not_run", when the agents are killed while the
// service runs the claim.
Test(claim_proof, agent_killed_during_claim) {
  TestFleet fleet(TwoClaimServices());
  SetServiceFault(fleet, {{"delay_ms", 1'000}});
  const std::string key = "own-key-3";
  ClaimAnswer first;
  std::thread caller([&] { first = SendClaim(fleet, 0, key); });
  std::this_thread::sleep_for(Milliseconds(400));
  fleet.process("agent-service-0").Kill();
  fleet.process("agent-service-1").Kill();
  caller.join();
  cr_assert_str_eq(first.outcome.c_str(), "unknown", "%s", first.kind.c_str());
  fleet.Restart("agent-service-0");
  fleet.Restart("agent-service-1");
  cr_assert(WaitUntil(
      [&] {
        const ClaimAnswer repeat = SendClaim(fleet, 1, key);
        return repeat.outcome == "unknown";
      },
      Milliseconds(10'000)));
  cr_assert_leq(fleet.RunsOf(key), 1);
}

// Guards against claims that run without an intent record, or are falsely reported as not_run,
// while the platform is down. Claims with an issued key must run without the platform.
Test(claim_proof, platform_down) {
  const TestFleet fleet(TwoClaimServices());
  fleet.SetPlatformFault("down");
  const ClaimAnswer refused = SendClaim(fleet, 0, "own-key-4");
  cr_assert_str_eq(refused.outcome.c_str(), "not_run", "%d %s", refused.status,
                   refused.kind.c_str());
  cr_assert_eq(fleet.RunsOf("own-key-4"), 0);
  const std::string issued = IssueKey(fleet, 0);
  cr_assert_eq(SendClaim(fleet, 0, issued).status, 201);
  cr_assert_eq(SendClaim(fleet, 1, issued).status, 201);
  cr_assert_eq(fleet.RunsOf(issued), 1);
  fleet.SetPlatformFault("ok");
  cr_assert(WaitUntil([&] { return SendClaim(fleet, 1, "own-key-4").status == 201; },
                      Milliseconds(5'000)));
  cr_assert_eq(fleet.RunsOf("own-key-4"), 1);
}

// Guards against a second run or a wrong outcome when the platform stores the intent record and its
// reply is lost.
Test(claim_proof, platform_reply_lost) {
  const TestFleet fleet(TwoClaimServices());
  fleet.SetPlatformFault("reply_lost");
  const ClaimAnswer first = SendClaim(fleet, 0, "own-key-5");
  const std::int64_t runs_after_first = fleet.RunsOf("own-key-5");
  cr_assert_eq(runs_after_first, first.status == 201 ? 1 : 0, "status %d runs %ld", first.status,
               runs_after_first);
  fleet.SetPlatformFault("ok");
  cr_assert(WaitUntil(
      [&] {
        const ClaimAnswer repeat = SendClaim(fleet, 1, "own-key-5");
        return repeat.status == 201 || repeat.outcome == "unknown";
      },
      Milliseconds(5'000)));
  cr_assert_leq(fleet.RunsOf("own-key-5"), 1);
}

// Guards against a second run when the service ran the claim and its answer was lost. The outcome
// is then unknown, also for a repeat.
Test(claim_proof, service_reply_lost) {
  const TestFleet fleet(TwoClaimServices());
  SetServiceFault(fleet, {{"drop_replies", true}});
  for (const std::string& key : {std::string("own-key-6"), IssueKey(fleet, 0)}) {
    cr_assert_str_eq(SendClaim(fleet, 0, key).outcome.c_str(), "unknown");
    cr_assert_str_eq(SendClaim(fleet, 1, key).outcome.c_str(), "unknown");
    cr_assert_eq(fleet.RunsOf(key), 1);
  }
}

// Guards against a paused agent that resumes after its entry aborted the claim and then runs it
// although the entry answered not_run.
Test(claim_proof, agent_paused_and_resumed) {
  TestFleet fleet(TwoClaimServices());
  const std::string key = IssueKey(fleet, 0);
  for (const char* agent : {"agent-service-0", "agent-service-1"}) {
    fleet.process(agent).Signal(SIGSTOP);
  }
  const ClaimAnswer first = SendClaim(fleet, 0, key);
  cr_assert(first.outcome == "unknown" || first.outcome == "not_run", "%d %s", first.status,
            first.kind.c_str());
  for (const char* agent : {"agent-service-0", "agent-service-1"}) {
    fleet.process(agent).Signal(SIGCONT);
  }
  std::this_thread::sleep_for(Milliseconds(2'000));
  const std::int64_t runs = fleet.RunsOf(key);
  cr_assert(first.outcome == "unknown" || runs == 0,
            "outcome was not_run, but the claim ran %ld times", runs);
  SendClaim(fleet, 1, key);
  cr_assert_leq(fleet.RunsOf(key), 1);
}
