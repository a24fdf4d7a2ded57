#include "control/settings_service.h"

#include <criterion/criterion.h>

#include "control/settings_exchange.h"
#include "tests/support/fake_platform.h"

using nlohmann::json;
using rattanramp::HttpServer;
using rattanramp::HttpServerOptions;
using rattanramp::ManualClock;
using rattanramp::control::SettingsPullState;
using rattanramp::control::SettingsReplica;
using rattanramp::control::SettingsService;
using rattanramp::store::FakePlatform;
namespace control = rattanramp::control;
namespace wire = rattanramp::wire;

namespace {

/// Settings service of an entry with its HTTP server. Several entries can share one platform.
class TestEntry {
 public:
  explicit TestEntry(FakePlatform& platform)
      : service_(platform, replica, clock_,
                 [this](const wire::Frame& frame) { pushed.push_back(frame); }) {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    server_ = std::move(HttpServer::Create(options).value());
    service_.RegisterRoutes(*server_);
    server_->Start();
  }

  int Post(const json& body, json& answer) {
    httplib::Client client("127.0.0.1", server_->port());
    const httplib::Result result =
        client.Post("/settings/changes", body.dump(), "application/json");
    cr_assert(result);
    answer = json::parse(result->body);
    return result->status;
  }

  json Get(const std::string& path) {
    httplib::Client client("127.0.0.1", server_->port());
    const httplib::Result result = client.Get(path);
    cr_assert(result && result->status == 200);
    return json::parse(result->body);
  }

  SettingsService& service() { return service_; }

  SettingsReplica replica;
  std::vector<wire::Frame> pushed;

 private:
  ManualClock clock_;
  SettingsService service_;
  std::unique_ptr<HttpServer> server_;
};

json SetHeartbeat(const std::string& id, std::int64_t expected, int value) {
  const json operation = {{"op", "set"}, {"path", "/"}, {"key", "heartbeat_ms"}, {"value", value}};
  return {{"change_id", id},
          {"author", "ana"},
          {"expected_version", expected},
          {"operations", json::array({operation})}};
}

}  // namespace

// Guards against a first change that fails because the store is empty, and against an accepting
// entry that applies the change only at its next poll.
Test(settings_service, first_change_is_applied_immediately) {
  FakePlatform platform;
  TestEntry entry(platform);
  json answer;
  cr_assert(entry.Post(SetHeartbeat("c1", 0, 400), answer) == 200);
  cr_assert(answer["version"] == 1);
  cr_assert(entry.replica.current()->tree.Resolve("", "", "").heartbeat_ms == 400);
  cr_assert(entry.pushed.size() == 1);
  SettingsReplica agent;
  SettingsPullState state;
  cr_assert(control::OnSettingsPush(agent, state, entry.pushed[0].settings_push, {}).updated);
  cr_assert(agent.version() == 1);
}

// Guards against a repeated request that is applied again or refused, at the same entry or another
// one. Other operations under the same change_id must be refused.
Test(settings_service, repeat_returns_the_first_version) {
  FakePlatform platform;
  TestEntry first(platform);
  TestEntry second(platform);
  json answer;
  cr_assert(first.Post(SetHeartbeat("c1", 0, 400), answer) == 200);
  cr_assert(first.Post(SetHeartbeat("c2", 1, 300), answer) == 200);
  for (TestEntry* entry : {&first, &second}) {
    cr_assert(entry->Post(SetHeartbeat("c1", 0, 400), answer) == 200);
    cr_assert(answer["version"] == 1 && answer["repeated"] == true);
  }
  cr_assert(second.replica.current()->tree.Resolve("", "", "").heartbeat_ms == 300);
  cr_assert(first.Post(SetHeartbeat("c1", 0, 401), answer) == 400);
}

// Guards against a change that overwrites another change which its operator has not read. The
// request must be refused, and the answer must contain the other change.
Test(settings_service, conflict_reports_the_accepted_change) {
  FakePlatform platform;
  TestEntry first(platform);
  TestEntry second(platform);
  json answer;
  cr_assert(first.Post(SetHeartbeat("c1", 0, 400), answer) == 200);
  cr_assert(second.Post(SetHeartbeat("c2", 0, 300), answer) == 409);
  cr_assert(answer["error"]["winner"]["change_id"] == "c1");
  cr_assert(answer["error"]["outcome"] == "not_run" && answer["error"]["current_version"] == 1);
}

// Guards against an answer "not_run" when an earlier request may have been accepted. A repeated
// request that fails must be answered with "unknown".
Test(settings_service, distinguishes_not_run_from_unknown) {
  FakePlatform platform;
  TestEntry entry(platform);
  json answer;
  platform.SetFault(FakePlatform::Fault::kDown);
  json change = SetHeartbeat("c1", 0, 400);
  cr_assert(entry.Post(change, answer) == 503);
  cr_assert(answer["error"]["outcome"] == "not_run");
  change["repeat"] = true;
  cr_assert(entry.Post(change, answer) == 503);
  cr_assert(answer["error"]["outcome"] == "unknown" && answer["error"]["change_id"] == "c1");
  platform.SetFault(FakePlatform::Fault::kNone);
  cr_assert(entry.Post(change, answer) == 200 && answer["repeated"] == false);
}

// Guards against an entry that lacks few versions (read from log rows) or many versions (read from
// the snapshot) and is not updated by a poll, and against a history with missing changes.
Test(settings_service, poll_catches_up_by_log_and_snapshot) {
  FakePlatform platform;
  TestEntry first(platform);
  TestEntry lagging(platform);
  json answer;
  for (int i = 0; i < 3; ++i) {
    cr_assert(first.Post(SetHeartbeat("c" + std::to_string(i), i, 100 + i), answer) == 200);
  }
  cr_assert(lagging.service().PollOnce().value());
  cr_assert(lagging.Get("/settings/history?limit=2")["changes"].size() == 2);
  for (int i = 3; i < 60; ++i) {
    cr_assert(first.Post(SetHeartbeat("c" + std::to_string(i), i, 100 + i), answer) == 200);
  }
  cr_assert(lagging.service().PollOnce().value());
  cr_assert(lagging.Get("/settings")["version"] == 60);
  cr_assert(lagging.Get("/settings")["tree"]["values"]["heartbeat_ms"] == 159);
  cr_assert(lagging.Get("/settings/history?limit=60")["changes"].size() == 60);
}
