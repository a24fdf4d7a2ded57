// Runs the real agent program with the stand-in engine and platform.
#include <criterion/criterion.h>
#include <httplib.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "fixture.h"
#include "tests/support/free_port.h"

using namespace rattanramp;
using namespace rattanramp::agent;
using nlohmann::json;

namespace {

/// Child process. The destructor kills it if it still runs.
class Process {
 public:
  explicit Process(std::vector<std::string> arguments) {
    const char* folder = std::getenv("RATTANRAMP_BIN");
    cr_assert(folder != nullptr, "RATTANRAMP_BIN is not set; run through ctest");
    arguments[0] = std::string(folder) + "/" + arguments[0];
    std::vector<char*> argv;
    for (std::string& argument : arguments) {
      argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    cr_assert_eq(posix_spawn(&pid_, argv[0], nullptr, nullptr, argv.data(), environ), 0);
  }
  ~Process() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
  }
  Process(Process&& other) noexcept : pid_(std::exchange(other.pid_, 0)) {}
  Process& operator=(Process&& other) noexcept {
    std::swap(pid_, other.pid_);
    return *this;
  }
  void Signal(int signal) const { kill(pid_, signal); }
  /// Waits for the process to end. Returns its exit code, or -1 if it was killed by a signal.
  int Wait() {
    int status = 0;
    waitpid(std::exchange(pid_, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  pid_t pid_ = 0;
};

json GetJson(int port, const std::string& path) {
  httplib::Client client("127.0.0.1", port);
  const httplib::Result result = client.Get(path);
  return result ? json::parse(result->body, nullptr, false) : json();
}

struct TestProcesses {
  int engine = testing::FreePort();
  int platform = testing::FreePort();
  int operator_port = testing::FreePort();
  int link = testing::FreePort();
  int lock = testing::FreePort();
  std::string config = std::filesystem::temp_directory_path() /
                       ("rattanramp-agent-test-" + std::to_string(getpid()) + ".json");

  TestProcesses() {
    const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    const json boot = {
        {"id", "agent-1"},
        {"failure_domain", "fd-a"},
        {"platform_url", "http://" + address(platform)},
        {"listen",
         {{"operator", address(operator_port)}, {"link", address(link)}, {"lock", address(lock)}}},
        {"upstream",
         {{"url", "http://" + address(engine)},
          {"kind", "engine"},
          {"model", "m1"},
          {"role", "both"}}}};
    std::ofstream(config) << boot.dump();
  }
  ~TestProcesses() { unlink(config.c_str()); }

  Process StartEngine() const {
    return Process(
        {"standin-engine", "--listen", "127.0.0.1:" + std::to_string(engine), "--decode-ms", "5"});
  }
  Process StartPlatform() const {
    return Process({"standin-platform", "--listen", "127.0.0.1:" + std::to_string(platform)});
  }
  Process StartAgent() const { return Process({"rattanramp-agent", "--config", config}); }

  std::shared_ptr<TestEntry> Entry(const std::string& settings = kFastSettings) const {
    std::shared_ptr<TestEntry> entry = TestEntry::Dial(link);
    entry->PushSettings(1, settings);
    cr_assert(entry->WaitReady());
    return entry;
  }
};

}  // namespace

// Guards against engine memory that stays reserved after a cancel or after an entry disconnects;
// the engine's own count is checked. Also guards against a second agent at the same upstream, and
// against a shutdown that aborts work or returns a wrong exit code.
Test(process, cancel_expired_lease_and_drain) {
  const TestProcesses setup;
  const Process platform = setup.StartPlatform();
  const Process engine = setup.StartEngine();
  Process agent = setup.StartAgent();
  std::shared_ptr<TestEntry> entry = setup.Entry();
  const auto held = [&] { return GetJson(setup.engine, "/v1/truth").value("held_pieces", -1); };

  entry->Submit(Generation("a1", wire::WorkKind::GENERATE, 3000));
  cr_assert(WaitUntil([&] { return entry->RepliesTo("a1").output.size() > 40; }));
  cr_assert_gt(held(), 0);
  entry->Cancel("a1");
  cr_assert(WaitUntil([&] { return held() == 0; }));

  entry->Submit(Generation("a2", wire::WorkKind::GENERATE, 3000));
  cr_assert(WaitUntil([&] { return entry->RepliesTo("a2").output.size() > 40; }));
  entry->Disconnect();
  cr_assert(WaitUntil([&] { return held() == 0; }, 2500));

  entry = TestEntry::Dial(setup.link);
  cr_assert(entry->WaitReady());
  Process second = setup.StartAgent();
  cr_assert_eq(second.Wait(), 1, "a second agent must not start while the lock port is in use");
  entry->Submit(Generation("a3", wire::WorkKind::GENERATE, 100));
  cr_assert(WaitUntil([&] { return !entry->RepliesTo("a3").output.empty(); }));
  agent.Signal(SIGTERM);
  cr_assert_eq(agent.Wait(), 0);
  cr_assert(entry->RepliesTo("a3").end && entry->RepliesTo("a3").end->complete);
  cr_assert_eq(entry->RepliesTo("a3").output.size(), 400u);
}

// Guards against exit code 0 after work was aborted at the drain timeout, and against requests of a
// killed agent that keep running after a new agent has started. Also checks that a crash of the
// engine ends its attempts and that the agent serves a restarted engine.
Test(process, interrupted_work_sets_exit_code_and_new_agent_cleans_up) {
  const TestProcesses setup;
  const Process platform = setup.StartPlatform();
  Process engine = setup.StartEngine();
  Process agent = setup.StartAgent();
  std::shared_ptr<TestEntry> entry =
      setup.Entry(R"({"values":{"drain_timeout_ms":1000,"lease_ms":60000,"pace_target_ms":50}})");
  entry->Submit(Generation("a1", wire::WorkKind::GENERATE, 3000));
  cr_assert(WaitUntil([&] { return entry->RepliesTo("a1").output.size() > 40; }));
  agent.Signal(SIGTERM);
  cr_assert_eq(agent.Wait(), 3);

  Process killed = setup.StartAgent();
  entry = setup.Entry();
  entry->Submit(Generation("a2", wire::WorkKind::GENERATE, 4000));
  cr_assert(WaitUntil([&] { return entry->RepliesTo("a2").output.size() > 40; }));
  killed.Signal(SIGKILL);
  killed.Wait();
  const Process successor = setup.StartAgent();
  entry = setup.Entry();
  cr_assert_eq(GetJson(setup.engine, "/v1/truth").value("held_pieces", -1), 0);
  // An agent serves before its epoch is acquired.
  cr_assert(
      WaitUntil([&] { return GetJson(setup.operator_port, "/state").value("epoch", 0) == 3; }));

  entry->Submit(Generation("a3", wire::WorkKind::GENERATE, 3000));
  cr_assert(WaitUntil([&] { return entry->RepliesTo("a3").output.size() > 40; }));
  engine.Signal(SIGKILL);
  cr_assert(entry->WaitEnd("a3"));
  cr_assert_eq(entry->RepliesTo("a3").end->error, wire::RefusalKind::UPSTREAM_CRASHED);
  engine.Wait();
  engine = setup.StartEngine();
  cr_assert(entry->WaitReady());
}
