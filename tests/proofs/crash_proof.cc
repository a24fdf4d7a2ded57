// Failure tests for a request that crashes every engine that runs it and is sent repeatedly.

#include <criterion/criterion.h>

#include <thread>

#include "standins/expected_output.h"
#include "tests/support/test_fleet.h"

using namespace rattanramp;           // NOLINT(google-build-using-namespace)
using namespace rattanramp::testing;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr int kEngines = 5;
constexpr int kCrashLimit = 2;
constexpr const char* kCrashText = "crash-marker";

FleetSpec CrashingEngines() {
  FleetSpec spec;
  spec.entries = 2;
  for (int i = 0; i < kEngines; ++i) {
    spec.engines.push_back({"both", {"--decode-ms", "10", "--crash-on", kCrashText}});
  }
  spec.settings = {
      {"values", {{"crash_limit", kCrashLimit}, {"max_attempts", 5}}},
      {"services", {{"verdicts", {{"values", {{"model", kTestModel}, {"patient", true}}}}}}}};
  return spec;
}

int CrashedEngines(TestFleet& fleet) {
  int crashed = 0;
  for (int i = 0; i < kEngines; ++i) {
    crashed += fleet.process("engine-" + std::to_string(i)).running() ? 0 : 1;
  }
  return crashed;
}

}  // namespace

// Guards against one request crashing more than crash_limit engines, through retries or because the
// caller repeats it through every entry, and against the refusal of a different request.
Test(crash_proof, crashes_of_one_request_are_limited) {
  TestFleet fleet(CrashingEngines());
  const std::string prompt = kCrashText;
  for (int i = 0; i < 4; ++i) {
    const StreamedAnswer answer = StreamCompletion(fleet.caller(i % 2), "verdicts", prompt, 20);
    cr_assert(!answer.done);
    std::this_thread::sleep_for(Milliseconds(500));
  }
  cr_assert_leq(CrashedEngines(fleet), kCrashLimit, "%d engines crashed", CrashedEngines(fleet));
  const StreamedAnswer other = StreamCompletion(fleet.caller(1), "verdicts", "harmless", 20);
  cr_assert(other.done, "%d %s", other.status, other.error_kind.c_str());
}

// Guards against the permanent refusal of requests that ran on an engine at the same time as a
// request that crashed it.
Test(crash_proof, concurrent_requests_complete) {
  TestFleet fleet(CrashingEngines());
  std::vector<std::thread> callers;
  std::vector<StreamedAnswer> answers(10);
  for (int i = 0; i < 10; ++i) {
    callers.emplace_back([&, i] {
      answers[i] =
          StreamCompletion(fleet.caller(i % 2), "verdicts", "neighbour " + std::to_string(i), 100);
    });
  }
  std::this_thread::sleep_for(Milliseconds(300));
  StreamCompletion(fleet.caller(0), "verdicts", kCrashText, 20);
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (int i = 0; i < 10; ++i) {
    cr_assert(answers[i].done, "neighbour %d: %d %s", i, answers[i].status,
              answers[i].error_kind.c_str());
    cr_assert(answers[i].text ==
              standins::ExpectedOutput("neighbour " + std::to_string(i), 0, 100));
  }
}
