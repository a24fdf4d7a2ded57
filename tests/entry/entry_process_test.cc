#include <criterion/criterion.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "tests/support/entry_agents.h"
#include "tests/support/free_port.h"

using namespace rattanramp;
using namespace rattanramp::test_support;

namespace {

/// Serves the parts of the platform's HTTP API that an entry reads.
std::unique_ptr<HttpServer> ServePlatform(const std::string& agent_address) {
  HttpServerOptions options;
  options.address = "127.0.0.1:0";
  std::unique_ptr<HttpServer> server = std::move(HttpServer::Create(options).value());
  nlohmann::json tree = DefaultTree();
  tree["values"]["drain_timeout_ms"] = 1'500;
  const nlohmann::json snapshot = {{"version", 3}, {"tree", tree}};
  const nlohmann::json row = {
      {"key", "settings/snapshot"}, {"value", snapshot.dump()}, {"version", 1}};
  const nlohmann::json vm = {{"id", "e1"},
                             {"role", "agent"},
                             {"link_address", agent_address},
                             {"failure_domain", "fd-a"},
                             {"state", "live"}};
  const nlohmann::json vms = {{"version", 1}, {"vms", nlohmann::json::array({vm})}};
  const nlohmann::json head = {
      {"key", "settings/head"}, {"value", R"({"version":3})"}, {"version", 1}};
  server->routes().Get("/table/rows/settings/head",
                       [text = head.dump()](const httplib::Request&, httplib::Response& response) {
                         response.set_content(text, "application/json");
                       });
  server->routes().Get("/table/rows/settings/snapshot",
                       [text = row.dump()](const httplib::Request&, httplib::Response& response) {
                         response.set_content(text, "application/json");
                       });
  server->routes().Get("/vms",
                       [text = vms.dump()](const httplib::Request&, httplib::Response& response) {
                         response.set_content(text, "application/json");
                       });
  server->Start();
  return server;
}

class EntryProcess {
 public:
  EntryProcess(int caller_port, int platform_port)
      : caller_port_(caller_port),
        file_(std::filesystem::temp_directory_path() /
              ("entry_process_" + std::to_string(getpid()) + ".json")) {
    const nlohmann::json boot = {
        {"id", "entry-p"},
        {"failure_domain", "fd-a"},
        {"listen", {{"caller", "127.0.0.1:" + std::to_string(caller_port)}}},
        {"platform_url", "http://127.0.0.1:" + std::to_string(platform_port)}};
    std::ofstream(file_) << boot.dump();
    std::string program = std::string(std::getenv("RATTANRAMP_BIN")) + "/rattanramp-entry";
    std::string config = "--config=" + file_.string();
    std::string level = "--log-level=error";
    char* arguments[] = {program.data(), config.data(), level.data(), nullptr};
    cr_assert_eq(posix_spawn(&pid_, program.c_str(), nullptr, nullptr, arguments, environ), 0);
  }
  ~EntryProcess() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    std::filesystem::remove(file_);
  }

  httplib::Client client() const {
    httplib::Client http_client("127.0.0.1", caller_port_);
    http_client.set_read_timeout(15, 0);
    return http_client;
  }
  void WaitUntilServing() const {
    cr_assert(EntryFixture::WaitUntil([&] {
      const httplib::Result result = SendCompletion(3, false);
      return result && result->status == 200;
    }));
  }
  httplib::Result SendCompletion(int tokens, bool stream) const {
    const nlohmann::json body = {{"prompt", "process"}, {"max_tokens", tokens}, {"stream", stream}};
    return client().Post("/v1/completions", {{"X-Service", "chat"}}, body.dump(),
                         "application/json");
  }
  void Terminate() const { kill(pid_, SIGTERM); }
  int ExitCode() {
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  int caller_port_;
  std::filesystem::path file_;
  pid_t pid_ = -1;
};

/// For a request of 6 tokens, sends 2 tokens and the rest after 700 ms. For a request of 7 tokens,
/// sends 2 tokens and never the rest.
bool RespondWithDelay(FakeAgent& agent, const wire::Frame& frame) {
  if (!frame.__isset.submit || frame.submit.max_output_tokens < 6) {
    return false;
  }
  const wire::Submit submit = frame.submit;
  agent.SendTokens(submit, 0, 2);
  if (submit.max_output_tokens == 6) {
    std::thread([&agent, submit, self = agent.shared_from_this()] {
      std::this_thread::sleep_for(Milliseconds(700));
      agent.SendTokens(submit, 2, 6);
      agent.SendEnd(submit.attempt_id, 24);
    }).detach();
  }
  return true;
}

/// Returns the exit code of an entry that receives SIGTERM during a stream of the given number of
/// tokens.
int StopDuringStream(int tokens, std::string* text, bool* done) {
  const std::shared_ptr<FakeAgent> engine = Engine("e1", wire::EngineRole::BOTH, &RespondWithDelay);
  const std::unique_ptr<HttpServer> platform = ServePlatform(engine->address());
  EntryProcess process(testing::FreePort(), platform->port());
  process.WaitUntilServing();
  std::string body;
  std::thread caller([&] {
    const httplib::Result result = process.SendCompletion(tokens, true);
    body = result ? result->body : "connection broken";
  });
  cr_assert(EntryFixture::WaitUntil([&] {
    const std::vector<wire::Submit> submits = engine->submits(wire::WorkKind::GENERATE);
    return !submits.empty() && submits.back().max_output_tokens == tokens;
  }));
  process.Terminate();
  cr_assert(EntryFixture::WaitUntil([&] {
    const httplib::Result ready = process.client().Get("/readyz");
    return ready && ready->status == 503;
  }));
  caller.join();
  *text = StreamedText(body, done);
  return process.ExitCode();
}

}  // namespace

// Guards against aborting a stream on SIGTERM although it would end within drain_timeout_ms.
Test(entry_process, sigterm_lets_streams_finish) {
  std::string text;
  bool done = false;
  cr_assert_eq(StopDuringStream(6, &text, &done), 0);
  cr_assert(done);
  cr_assert_eq(text, ExpectedOutput("process", 6));
}

// Guards against exit code 0 when a stream was aborted because it did not end within
// drain_timeout_ms.
Test(entry_process, exit_code_reports_an_aborted_stream) {
  std::string text;
  bool done = true;
  cr_assert_eq(StopDuringStream(7, &text, &done), 3);
  cr_assert(!done);
  cr_assert_eq(text, ExpectedOutput("process", 2));
}
