// Failure tests for streams: answers stay complete, and engine memory of disconnected callers is
// freed.

#include <criterion/criterion.h>

#include <atomic>
#include <csignal>
#include <thread>

#include "standins/expected_output.h"
#include "tests/support/test_fleet.h"

using namespace rattanramp;           // NOLINT(google-build-using-namespace)
using namespace rattanramp::testing;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr int kTokens = 150;
constexpr Milliseconds kLease{1'500};
// docs/design.md 6.1: engine memory is freed within the lease plus two seconds.
constexpr Milliseconds kFreeBound = kLease + Milliseconds(2'000);

FleetSpec TwoDecodeEngines() {
  FleetSpec spec;
  spec.entries = 2;
  spec.engines = {
      {"prefill", {}}, {"decode", {"--decode-ms", "20"}}, {"decode", {"--decode-ms", "20"}}};
  spec.settings = {
      {"values", {{"lease_ms", kLease.count()}, {"link_dead_ms", 800}, {"heartbeat_ms", 200}}},
      {"services", {{"verdicts", {{"values", {{"model", kTestModel}, {"patient", true}}}}}}}};
  return spec;
}

std::string LongPrompt() { return std::string(12'000, 'p'); }

/// Runs one stream and calls on_start once, after more than 40 bytes of text have arrived.
StreamedAnswer StreamWithFault(const TestFleet& fleet, const std::string& prompt,
                               const std::function<void()>& on_start) {
  std::atomic<bool> started{false};
  return StreamCompletion(fleet.caller(0), "verdicts", prompt, kTokens,
                          [&](const std::string& text) {
                            if (text.size() > 40 && !started.exchange(true)) {
                              on_start();
                            }
                            return true;
                          });
}

/// Name of a decode engine that runs a request, or empty when none does.
std::string BusyDecodeEngine(const TestFleet& fleet) {
  for (const char* name : {"engine-1", "engine-2"}) {
    const json engine_state = GetJson(fleet.upstream_url(name), "/v1/truth");
    if (engine_state.is_object() && !engine_state.at("running").empty()) {
      return name;
    }
  }
  return "";
}

void AssertComplete(const StreamedAnswer& answer, const std::string& prompt) {
  cr_assert_eq(answer.status, 200, "status %d %s", answer.status, answer.error_kind.c_str());
  cr_assert(answer.done, "no terminator [DONE]: %s", answer.error_kind.c_str());
  cr_assert(answer.text == standins::ExpectedOutput(prompt, 0, kTokens));
}

}  // namespace

// Guards against engine memory that stays held after the caller has disconnected.
Test(stream_proof, caller_disconnects) {
  const TestFleet fleet(TwoDecodeEngines());
  StreamCompletion(fleet.caller(0), "verdicts", LongPrompt(), kTokens,
                   [](const std::string& text) { return text.size() < 40; });
  cr_assert(WaitUntil([&] { return fleet.HeldPieces() == 0; }, kFreeBound));
}

// Guards against engine memory that stays held after the entry was killed.
Test(stream_proof, entry_killed) {
  TestFleet fleet(TwoDecodeEngines());
  StreamWithFault(fleet, LongPrompt(), [&] { fleet.process("entry-0").Kill(); });
  cr_assert(WaitUntil([&] { return fleet.HeldPieces() == 0; }, kFreeBound));
}

// Guards against engine memory that stays held while the entry is paused (SIGSTOP), and against a
// wrong answer when the entry resumes after its lease has expired.
Test(stream_proof, entry_paused_and_resumed) {
  TestFleet fleet(TwoDecodeEngines());
  const std::string prompt = LongPrompt();
  bool freed = false;
  const StreamedAnswer answer = StreamWithFault(fleet, prompt, [&] {
    fleet.process("entry-0").Signal(SIGSTOP);
    freed = WaitUntil([&] { return fleet.HeldPieces() == 0; }, kFreeBound);
    fleet.process("entry-0").Signal(SIGCONT);
  });
  cr_assert(freed);
  AssertComplete(answer, prompt);
}

// Guards against lost or duplicated text when the decode engine is killed during the stream.
Test(stream_proof, decode_engine_killed) {
  TestFleet fleet(TwoDecodeEngines());
  const std::string prompt = LongPrompt();
  const StreamedAnswer answer =
      StreamWithFault(fleet, prompt, [&] { fleet.process(BusyDecodeEngine(fleet)).Kill(); });
  AssertComplete(answer, prompt);
}

// Guards against lost or duplicated text when the agent is killed during the stream, and against
// memory that the engine of the killed agent still holds after the agent restarted.
Test(stream_proof, agent_killed) {
  TestFleet fleet(TwoDecodeEngines());
  const std::string prompt = LongPrompt();
  std::string agent;
  const StreamedAnswer answer = StreamWithFault(fleet, prompt, [&] {
    agent = "agent-" + BusyDecodeEngine(fleet);
    fleet.process(agent).Kill();
  });
  AssertComplete(answer, prompt);
  fleet.Restart(agent);
  cr_assert(WaitUntil([&] { return fleet.HeldPieces() == 0; }, Milliseconds(5'000)));
}

// Guards against a stream that waits without limit on the open connection of a paused agent
// (SIGSTOP), and against late chunks of the resumed agent reaching the caller.
Test(stream_proof, agent_paused_and_resumed) {
  TestFleet fleet(TwoDecodeEngines());
  const std::string prompt = LongPrompt();
  std::string agent;
  const StreamedAnswer answer = StreamWithFault(fleet, prompt, [&] {
    agent = "agent-" + BusyDecodeEngine(fleet);
    fleet.process(agent).Signal(SIGSTOP);
  });
  fleet.process(agent).Signal(SIGCONT);
  AssertComplete(answer, prompt);
  cr_assert(WaitUntil([&] { return fleet.HeldPieces() == 0; }, kFreeBound));
}

// Guards against a stalled KV transfer that blocks a request without limit.
Test(stream_proof, transfer_stalled) {
  const TestFleet fleet(TwoDecodeEngines());
  const std::string prompt = LongPrompt();
  cr_assert_eq(
      PostJson(fleet.upstream_url("engine-0"), "/v1/faults", {{"stall_transfers", true}}).first,
      200);
  AssertComplete(StreamCompletion(fleet.caller(0), "verdicts", prompt, kTokens), prompt);
}

// Guards against a stream that stays blocked when the engine stops sending without closing the
// connection.
Test(stream_proof, engine_connections_silent) {
  const TestFleet fleet(TwoDecodeEngines());
  const std::string prompt = LongPrompt();
  const StreamedAnswer answer = StreamWithFault(fleet, prompt, [&] {
    PostJson(fleet.upstream_url(BusyDecodeEngine(fleet)), "/v1/faults",
             {{"silent_connections", true}});
  });
  AssertComplete(answer, prompt);
}

// Guards against text of one caller reaching another when a decode engine is killed while 12
// streams run.
Test(stream_proof, concurrent_callers_receive_their_own_answers) {
  TestFleet fleet(TwoDecodeEngines());
  std::atomic<int> complete_answers{0};
  std::atomic<bool> fault_injected{false};
  std::vector<std::thread> callers;
  for (int i = 0; i < 12; ++i) {
    callers.emplace_back([&, i] {
      const std::string prompt = "caller " + std::to_string(i) + std::string(3'000, 'x');
      const StreamedAnswer answer = StreamCompletion(
          fleet.caller(i % 2), "verdicts", prompt, kTokens, [&](const std::string& text) {
            if (text.size() > 100 && !fault_injected.exchange(true)) {
              fleet.process("engine-1").Kill();
            }
            return true;
          });
      complete_answers +=
          answer.done && answer.text == standins::ExpectedOutput(prompt, 0, kTokens) ? 1 : 0;
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  cr_assert_eq(complete_answers.load(), 12, "%d of 12 answers were complete",
               complete_answers.load());
}
