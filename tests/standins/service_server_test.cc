#include "standins/service_server.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

using nlohmann::json;
using rattanramp::standins::ServiceOptions;
using rattanramp::standins::ServiceServer;

namespace {

std::unique_ptr<ServiceServer> Start() {
  ServiceOptions options;
  options.delay_ms = 0;
  rattanramp::Result<std::unique_ptr<ServiceServer>> server =
      ServiceServer::Create("127.0.0.1:0", options);
  cr_assert(server.has_value());
  return std::move(server.value());
}

httplib::Result Claim(httplib::Client& client, const std::string& key) {
  return client.Post("/claims", {{"Idempotency-Key", key}}, "body", "text/plain");
}

}  // namespace

// Guards against a repeated run that is not counted. Tests would then miss a request that was
// executed twice.
Test(service_server, counts_runs_by_key) {
  const std::unique_ptr<ServiceServer> server = Start();
  httplib::Client client("127.0.0.1", server->port());
  cr_assert_eq(Claim(client, "k1")->status, 201);
  cr_assert_eq(json::parse(Claim(client, "k1")->body).at("claim"), 2);
  Claim(client, "k2");
  cr_assert_eq(client.Get("/patterns/5")->status, 200);
  const json counts = json::parse(client.Get("/counts")->body);
  cr_assert_eq(counts.at("total"), 3);
  cr_assert_eq(counts.at("max_runs_per_key"), 2);
  cr_assert_eq(counts.at("runs").size(), 2);
}

// Guards against a drop_replies fault that does not execute the run or does not count it.
Test(service_server, dropped_reply_counts_as_a_run) {
  const std::unique_ptr<ServiceServer> server = Start();
  httplib::Client client("127.0.0.1", server->port());
  client.Post("/faults", R"({"drop_replies":true})", "application/json");
  cr_assert(!Claim(client, "k1"));
  cr_assert_eq(json::parse(client.Get("/counts")->body).at("total"), 1);
  client.Post("/faults", R"({"drop_replies":false,"fail_status":503})", "application/json");
  cr_assert_eq(Claim(client, "k2")->status, 503);
}
