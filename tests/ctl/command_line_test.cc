#include "ctl/command_line.h"

#include <criterion/criterion.h>

#include <fstream>
#include <sstream>

#include "control/settings_service.h"
#include "ctl/exit_code.h"
#include "ctl/settings_commands.h"
#include "settings/schema.h"
#include "tests/support/fake_platform.h"

using nlohmann::json;
using rattanramp::HttpServer;
using rattanramp::HttpServerOptions;
using rattanramp::ManualClock;
using rattanramp::control::SettingsReplica;
using rattanramp::control::SettingsService;
using rattanramp::store::FakePlatform;
namespace ctl = rattanramp::ctl;

namespace {

/// Entry with the settings routes and an upstream list. The next replies_to_drop POST requests
/// apply change_with_lost_reply and then break off their response.
class TestEntry {
 public:
  TestEntry() : service_(platform, replica_, clock_, nullptr) {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    server_ = std::move(HttpServer::Create(options).value());
    server_->routes().set_pre_routing_handler(
        [this](const httplib::Request& request, httplib::Response& response) {
          if (request.method != "POST" || replies_to_drop == 0) {
            return httplib::Server::HandlerResponse::Unhandled;
          }
          --replies_to_drop;
          // The request body has not been read at this point, so the change that the test has
          // prepared is applied instead.
          static_cast<void>(service_.Change(change_with_lost_reply));
          response.set_content_provider(
              100, "application/json",
              [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
          return httplib::Server::HandlerResponse::Handled;
        });
    service_.RegisterRoutes(*server_);
    server_->routes().Get("/upstreams", [](const httplib::Request&, httplib::Response& response) {
      response.set_content(R"({"upstreams":[{"state":"ready","id":"agent-1"}]})",
                           "application/json");
    });
    server_->routes().Post("/upstreams/agent-1/drain",
                           [this](const httplib::Request&, httplib::Response& response) {
                             ++drains;
                             response.set_content("{}", "application/json");
                           });
    server_->Start();
  }

  /// Runs a command against this entry and returns its exit code.
  int Run(std::vector<std::string> arguments) {
    arguments.insert(arguments.end(), {"--entry", address(), "--timeout", "2"});
    out.str("");
    err.str("");
    return ctl::RunCommandLine(arguments, out, err);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }
  std::int64_t version() const { return replica_.version(); }
  rattanramp::settings::Settings root() const {
    return replica_.current()->tree.Resolve("", "", "");
  }

  FakePlatform platform;
  std::atomic<int> replies_to_drop{0};
  rattanramp::control::ChangeRequest change_with_lost_reply;
  std::atomic<int> drains{0};
  std::ostringstream out;
  std::ostringstream err;

 private:
  SettingsReplica replica_;
  ManualClock clock_;
  SettingsService service_;
  std::unique_ptr<HttpServer> server_;
};

std::string WriteFile(const std::string& name, const std::string& text) {
  const std::string path = "ctl_test_" + name + ".json";
  std::ofstream(path) << text;
  return path;
}

void AssertContains(const std::string& text, const std::string& part) {
  cr_assert(text.find(part) != std::string::npos, "'%s' is not in: %s", part.c_str(), text.c_str());
}

}  // namespace

// Guards against commands that change another node, key or value than the given one, and against
// negative numbers and strings being parsed wrongly.
Test(ctl, sets_reads_and_unsets) {
  TestEntry entry;
  cr_assert(entry.Run({"settings", "set", "/", "priority", "-5"}) == 0, "%s",
            entry.err.str().c_str());
  AssertContains(entry.err.str(), "change_id: change-");
  cr_assert(entry.Run({"settings", "set", "/services/claims", "kind", "plain"}) == 0);
  cr_assert(entry.Run({"settings", "set", "/", "model", "7"}) == 0);
  cr_assert(entry.root().priority == -5 && entry.root().model == "7" && entry.version() == 3);
  cr_assert(entry.Run({"settings", "get", "/services"}) == 1);
  AssertContains(entry.err.str(), "'/services/claims'");
  cr_assert(entry.Run({"settings", "get", "/services/claims"}) == 0);
  AssertContains(entry.out.str(), "/services/claims  kind  plain");
  cr_assert(entry.Run({"settings", "explain", "--service", "claim"}) == 0);
  AssertContains(entry.err.str(), "the nearest is 'claims'");
  AssertContains(entry.out.str(), "-5       ");
  cr_assert(entry.Run({"settings", "unset", "/", "priority"}) == 0);
  cr_assert(entry.Run({"settings", "unset", "/services/claims"}) == 0);
  cr_assert(entry.root().priority == 0 && !entry.out.str().empty());
  cr_assert(entry.Run({"settings", "history", "--limit", "2"}) == 0);
  AssertContains(entry.out.str(), "unset /services/claims");
  cr_assert(entry.Run({"settings", "history", "--json"}) == 0);
  cr_assert(json::parse(entry.out.str())["changes"].size() == 5);
}

// Guards against exit codes that do not show whether a change took effect.
Test(ctl, exit_codes_distinguish_outcomes) {
  TestEntry entry;
  cr_assert(entry.Run({"settings", "set", "/", "heartbeat", "1"}) == ctl::kExitRefused);
  AssertContains(entry.err.str(), "did you mean 'heartbeat_ms'?");
  cr_assert(entry.Run({"settings", "set", "/"}) == ctl::kExitUsage);
  cr_assert(entry.Run({"upstream", "drain", "../x"}) == ctl::kExitUsage);
  cr_assert(entry.Run({"settings", "set", "/", "priority", "1"}) == ctl::kExitOk);
  cr_assert(entry.Run({"settings", "set", "/", "priority", "2", "--expected-version", "0"}) ==
            ctl::kExitConflict);
  AssertContains(entry.out.str(), "set / priority 1");
  entry.platform.SetFault(FakePlatform::Fault::kDown);
  cr_assert(entry.Run({"settings", "set", "/", "priority", "2"}) == ctl::kExitRefused);
  AssertContains(entry.err.str(), "nothing was changed");
  entry.platform.SetFault(FakePlatform::Fault::kReplyLost);
  cr_assert(entry.Run({"settings", "set", "/", "priority", "2", "--change-id", "c"}) ==
            ctl::kExitUnknown);
  AssertContains(entry.err.str(), "--change-id c --expected-version 1");
  std::ostringstream out;
  std::ostringstream err;
  cr_assert(ctl::RunCommandLine({"state", "dump", "--target", "127.0.0.1:1"}, out, err) ==
            ctl::kExitUnreachable);
  cr_assert(ctl::RunCommandLine({"settings", "get"}, out, err) == ctl::kExitUsage);
  cr_assert(ctl::RunCommandLine({"--help"}, out, err) == ctl::kExitOk);
}

// Guards against a change that is applied twice, or reported as refused, after a lost reply.
Test(ctl, repeats_a_change_after_a_lost_reply) {
  TestEntry entry;
  entry.change_with_lost_reply = {"c1", "ana", 0, {{"/", "priority", 4, false}}, false};
  entry.replies_to_drop = 1;
  cr_assert(entry.Run({"settings", "set", "/", "priority", "4", "--change-id", "c1", "--json"}) ==
            ctl::kExitOk);
  const json answer = json::parse(entry.out.str());
  cr_assert(answer["version"] == 1 && answer["repeated"] == true);
  cr_assert(entry.version() == 1 && entry.root().priority == 4);
}

// Guards against a file that is applied only partly or results in another tree.
Test(ctl, applies_and_validates_files) {
  TestEntry entry;
  cr_assert(entry.Run({"settings", "set", "/", "priority", "1"}) == 0);
  const std::string tree =
      R"({"values":{"crash_limit":3},"services":{"a":{"values":{"model":"m"}}}})";
  const std::string good = WriteFile("good", tree);
  const std::string bad = WriteFile("bad", R"({"services":{"a":{}}})");
  cr_assert(entry.Run({"settings", "apply", good, "--dry-run"}) == 0);
  cr_assert(entry.version() == 1);
  cr_assert(entry.Run({"settings", "apply", good}) == 0);
  cr_assert(entry.Run({"settings", "get", "--json"}) == 0);
  cr_assert(json::parse(entry.out.str())["tree"] == json::parse(tree));
  cr_assert(entry.Run({"settings", "apply", good}) == 0);
  cr_assert(entry.version() == 2);
  cr_assert(entry.Run({"settings", "apply", bad}) == ctl::kExitRefused);
  cr_assert(entry.Run({"settings", "validate", good}) == 0);
  cr_assert(entry.Run({"settings", "validate", bad}) == ctl::kExitRefused);
  AssertContains(entry.err.str(), "/services/a: kind is language, but no model is set");
  cr_assert(entry.Run({"settings", "validate", "absent.json"}) == ctl::kExitUsage);
  std::remove(good.c_str());
  std::remove(bad.c_str());
}

// Guards against upstream commands that request routes which the entry does not have, and against a
// completion script without the subcommands.
Test(ctl, lists_and_drains_upstreams) {
  TestEntry entry;
  cr_assert(entry.Run({"upstream", "list"}) == 0);
  AssertContains(entry.out.str(), "id       state\nagent-1  ready\n");
  cr_assert(entry.Run({"upstream", "drain", "agent-1"}) == 0 && entry.drains == 1);
  cr_assert(entry.Run({"upstream", "drain", "agent-2"}) == ctl::kExitRefused);
  cr_assert(entry.Run({"completion", "bash"}) == 0);
  AssertContains(entry.out.str(), "\" upstream\") words=\"list drain ");
}

// Guards against an operations page whose keys, units, defaults or ranges differ from the program.
Test(ctl, operations_page_has_the_table_of_keys) {
  std::ostringstream page;
  page << std::ifstream(OPERATIONS_PAGE).rdbuf();
  std::ostringstream out;
  std::ostringstream err;
  cr_assert(ctl::RunCommandLine({"settings", "keys", "--markdown"}, out, err) == 0);
  AssertContains(page.str(), out.str());
}
