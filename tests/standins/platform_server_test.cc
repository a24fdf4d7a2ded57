#include "standins/platform_server.h"

#include <criterion/criterion.h>

#include <string>

using nlohmann::json;
using rattanramp::standins::PlatformOptions;
using rattanramp::standins::PlatformServer;

namespace {

std::unique_ptr<PlatformServer> Start(const PlatformOptions& options = {}) {
  rattanramp::Result<std::unique_ptr<PlatformServer>> server =
      PlatformServer::Create("127.0.0.1:0", options);
  cr_assert(server.has_value());
  return std::move(server.value());
}

httplib::Result Commit(httplib::Client& client, const json& conditions, const json& writes) {
  const json body = {{"conditions", conditions}, {"writes", writes}};
  return client.Post("/table/transactions", body.dump(), "application/json");
}

httplib::Result Insert(httplib::Client& client, const std::string& key, const std::string& value) {
  return Commit(client, {{{"key", key}, {"version", 0}}}, {{{"key", key}, {"value", value}}});
}

void SetMode(httplib::Client& client, const json& faults) {
  cr_assert_eq(client.Post("/faults", faults.dump(), "application/json")->status, 200);
}

}  // namespace

// Guards against two inserts of the same row that both succeed.
Test(platform_server, conditional_insert_conflicts) {
  const std::unique_ptr<PlatformServer> server = Start();
  httplib::Client client("127.0.0.1", server->port());
  cr_assert_eq(json::parse(Insert(client, "agents/a/epoch", "1")->body).at("versions"),
               json({{"agents/a/epoch", 1}}));
  const httplib::Result second = Insert(client, "agents/a/epoch", "2");
  cr_assert_eq(second->status, 409);
  const json conflict = json::parse(second->body);
  cr_assert_eq(conflict.at("key"), "agents/a/epoch");
  cr_assert_eq(conflict.at("row").at("value"), "1");
  cr_assert_eq(conflict.at("row").at("version"), 1);
}

// Guards against a transaction that is applied partially: one of its two conditions fails.
Test(platform_server, failed_condition_writes_nothing) {
  const std::unique_ptr<PlatformServer> server = Start();
  httplib::Client client("127.0.0.1", server->port());
  Insert(client, "a", "1");
  const httplib::Result result =
      Commit(client, {{{"key", "b"}, {"version", 0}}, {{"key", "a"}, {"version", 9}}},
             {{{"key", "b"}, {"value", "1"}}, {{"key", "a"}, {"value", "2"}}});
  cr_assert_eq(result->status, 409);
  cr_assert_eq(json::parse(result->body).at("row").at("version"), 1);
  cr_assert_eq(client.Get("/table/rows/b")->status, 404);
  cr_assert_eq(json::parse(client.Get("/table/rows?prefix=")->body).at("rows").size(), 1);
}

// Guards against a condition on an old version that holds again after the row was removed and
// inserted again.
Test(platform_server, versions_grow_across_a_removal) {
  const std::unique_ptr<PlatformServer> server = Start();
  httplib::Client client("127.0.0.1", server->port());
  Insert(client, "a", "1");
  Commit(client, json::array(), {{{"key", "a"}, {"value", nullptr}}});
  cr_assert_eq(client.Get("/table/rows/a")->status, 404);
  Insert(client, "a", "2");
  cr_assert_eq(json::parse(client.Get("/table/rows/a")->body).at("version"), 2);
}

// Guards against a reply_lost fault that does not apply the write. Callers must be able to handle a
// write that was applied but not confirmed.
Test(platform_server, lost_reply_applies_the_write) {
  const std::unique_ptr<PlatformServer> server = Start();
  httplib::Client client("127.0.0.1", server->port());
  SetMode(client, {{"mode", "reply_lost"}});
  cr_assert(!Insert(client, "a", "1"));
  cr_assert(!client.Put("/objects/o", "content", "application/octet-stream"));
  cr_assert_eq(client.Get("/table/rows/a")->status, 200);
  SetMode(client, {{"mode", "ok"}});
  cr_assert_eq(Insert(client, "a", "1")->status, 409);
  cr_assert_eq(client.Get("/objects/o")->body, "content");
}

// Guards against a simulated outage that applies a write or that cannot be ended because it also
// blocks the /faults route.
Test(platform_server, outage_applies_no_write) {
  const std::unique_ptr<PlatformServer> server = Start();
  httplib::Client client("127.0.0.1", server->port());
  SetMode(client, {{"mode", "down"}});
  cr_assert(!Insert(client, "a", "1"));
  cr_assert(!client.Get("/vms"));
  SetMode(client, {{"mode", "down"}, {"status", 503}});
  cr_assert_eq(Insert(client, "a", "1")->status, 503);
  cr_assert_eq(json::parse(client.Get("/counters")->body).at("writes"), 0);
  SetMode(client, {{"mode", "ok"}});
  cr_assert_eq(client.Get("/table/rows/a")->status, 404);
}

// Guards against a VM list that shows a change before vm_lag_ms has elapsed. The list of the real
// platform is delayed too.
Test(platform_server, vm_list_is_delayed) {
  PlatformOptions options;
  const json list = {{"vms", {{{"id", "e1"}, {"state", "live"}}}}};
  for (const int lag_ms : {600'000, 0}) {
    options.vm_lag_ms = lag_ms;
    const std::unique_ptr<PlatformServer> server = Start(options);
    httplib::Client client("127.0.0.1", server->port());
    cr_assert_eq(client.Put("/vms", list.dump(), "application/json")->status, 200);
    const json seen = json::parse(client.Get("/vms")->body);
    cr_assert_eq(seen.at("version"), lag_ms == 0 ? 1 : 0);
    cr_assert_eq(seen.at("vms").size(), lag_ms == 0 ? 1 : 0);
  }
}

// Guards against rate limits that are not enforced and against rejected writes that are applied.
Test(platform_server, rejects_writes_above_the_limit) {
  PlatformOptions options;
  options.writes_per_second = 0.001;
  const std::unique_ptr<PlatformServer> server = Start(options);
  httplib::Client client("127.0.0.1", server->port());
  cr_assert_eq(Insert(client, "a", "1")->status, 200);
  cr_assert_eq(Insert(client, "b", "1")->status, 429);
  cr_assert_eq(client.Get("/table/rows/b")->status, 404);
  const json counters = json::parse(client.Get("/counters")->body);
  cr_assert_eq(counters.at("writes"), 1);
  cr_assert_eq(counters.at("refused"), 1);
}

// Guards against downloads of weights that exceed the configured bandwidth or lose bytes.
Test(platform_server, weights_arrive_complete_at_a_limited_rate) {
  PlatformOptions options;
  options.weight_bytes = 200'000;
  options.weight_bytes_per_s = 2e6;
  const std::unique_ptr<PlatformServer> server = Start(options);
  httplib::Client client("127.0.0.1", server->port());
  const rattanramp::TimePoint start = rattanramp::DefaultClock().now();
  cr_assert_eq(client.Get("/weights/m1")->body.size(), 200'000);
  cr_assert_geq(rattanramp::ToMs(rattanramp::DefaultClock().now() - start), 90);
}
