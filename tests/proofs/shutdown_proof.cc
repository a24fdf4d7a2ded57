// Failure tests for graceful shutdown and for upstreams that leave the fleet.

#include <criterion/criterion.h>

#include <csignal>
#include <thread>

#include "standins/expected_output.h"
#include "tests/support/test_fleet.h"

using namespace rattanramp;           // NOLINT(google-build-using-namespace)
using namespace rattanramp::testing;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr int kTokens = 150;
constexpr const char* kPrompt = "a prompt for shutdown tests";
// docs/design.md 1.3: a leaving upstream receives no new work after three seconds.
constexpr Milliseconds kLeavingBound{3'000};

FleetSpec TwoEngines() {
  FleetSpec spec;
  spec.entries = 2;
  spec.engines = {{"both", {"--decode-ms", "15"}}, {"both", {"--decode-ms", "15"}}};
  spec.settings = {
      {"values", {{"vm_poll_ms", 500}}},
      {"services", {{"verdicts", {{"values", {{"model", kTestModel}, {"patient", true}}}}}}}};
  return spec;
}

std::size_t RunningAt(const TestFleet& fleet, const std::string& engine) {
  const json engine_state = GetJson(fleet.upstream_url(engine), "/v1/truth");
  cr_assert(engine_state.is_object() && engine_state.at("running").is_array(), "%s does not answer",
            engine.c_str());
  return engine_state.at("running").size();
}

std::vector<std::thread> StartStreams(const TestFleet& fleet, int count,
                                      std::vector<StreamedAnswer>& answers) {
  std::vector<std::thread> callers;
  answers.resize(count);
  for (int i = 0; i < count; ++i) {
    callers.emplace_back([&fleet, &answers, i] {
      answers[i] =
          StreamCompletion(fleet.caller(i % 2), "verdicts", kPrompt + std::to_string(i), kTokens);
    });
  }
  return callers;
}

void AssertAllComplete(const std::vector<StreamedAnswer>& answers) {
  for (std::size_t i = 0; i < answers.size(); ++i) {
    cr_assert(answers[i].done, "answer %zu: status %d %s", i, answers[i].status,
              answers[i].error_kind.c_str());
    cr_assert(answers[i].text == standins::ExpectedOutput(kPrompt + std::to_string(i), 0, kTokens));
  }
}

}  // namespace

// Guards against streams that are interrupted by the shutdown of their agent (SIGTERM).
Test(shutdown_proof, agent_finishes_its_streams) {
  TestFleet fleet(TwoEngines());
  std::vector<StreamedAnswer> answers;
  std::vector<std::thread> callers = StartStreams(fleet, 8, answers);
  std::this_thread::sleep_for(Milliseconds(500));
  cr_assert_gt(RunningAt(fleet, "engine-0"), 0);
  fleet.process("agent-engine-0").Signal(SIGTERM);
  for (std::thread& caller : callers) {
    caller.join();
  }
  AssertAllComplete(answers);
  cr_assert_eq(fleet.process("agent-engine-0").Wait(Milliseconds(10'000)), 0);
}

// Guards against streams that are interrupted by the shutdown of their entry (SIGTERM), and against
// a wrong outcome for requests that arrive during the shutdown.
Test(shutdown_proof, entry_finishes_its_streams) {
  TestFleet fleet(TwoEngines());
  std::vector<StreamedAnswer> answers;
  std::vector<std::thread> callers = StartStreams(fleet, 8, answers);
  std::this_thread::sleep_for(Milliseconds(500));
  fleet.process("entry-0").Signal(SIGTERM);
  std::this_thread::sleep_for(Milliseconds(200));
  const StreamedAnswer late = StreamCompletion(fleet.caller(0), "verdicts", kPrompt, kTokens);
  cr_assert(late.outcome == "not_run" || late.error_kind == "connection", "%d %s", late.status,
            late.error_kind.c_str());
  for (std::thread& caller : callers) {
    caller.join();
  }
  AssertAllComplete(answers);
  cr_assert_eq(fleet.process("entry-0").Wait(Milliseconds(10'000)), 0);
}

// Guards against new work for an upstream whose VM the platform lists as leaving.
Test(shutdown_proof, leaving_vm_gets_no_new_work) {
  TestFleet fleet(TwoEngines());
  fleet.SetVmState("agent-engine-0", "leaving");
  std::this_thread::sleep_for(kLeavingBound);
  std::vector<StreamedAnswer> answers;
  std::vector<std::thread> callers = StartStreams(fleet, 6, answers);
  std::this_thread::sleep_for(Milliseconds(700));
  cr_assert_eq(RunningAt(fleet, "engine-0"), 0);
  cr_assert_gt(RunningAt(fleet, "engine-1"), 0);
  for (std::thread& caller : callers) {
    caller.join();
  }
  AssertAllComplete(answers);
}

// Guards against a drained agent that accepts new work while the platform is down.
Test(shutdown_proof, drained_agent_with_platform_down) {
  TestFleet fleet(TwoEngines());
  fleet.SetPlatformFault("down");
  cr_assert_leq(PostJson(fleet.operator_url("agent-engine-0"), "/drain", json::object()).first,
                202);
  std::vector<StreamedAnswer> answers;
  std::vector<std::thread> callers = StartStreams(fleet, 6, answers);
  std::this_thread::sleep_for(Milliseconds(700));
  cr_assert_eq(RunningAt(fleet, "engine-0"), 0);
  for (std::thread& caller : callers) {
    caller.join();
  }
  AssertAllComplete(answers);
}
