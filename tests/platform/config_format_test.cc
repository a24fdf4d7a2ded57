#include "platform/config_format.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

using namespace rattanramp;

namespace {

constexpr const char* kConfig = R"({"version":7,"routes":[
  {"name":"r","host":"h","prefix":"/p/","kind":"streaming","timeout_ms":14000,
   "target_latency_ms":900,"priority":1,"service":"llm","max_attempts":2,"sticky":true,
   "resumable":true,"target_gap_ms":300},
  {"name":"s","host":"h","prefix":"/q/","kind":"idempotent","timeout_ms":1500,
   "traffic_split":[{"service":"a","weight":90},{"service":"b","weight":10}],"max_attempts":2}],
  "services":[{"name":"llm","health_path":"/healthz","max_conns":370,
   "engine":{"slots":64,"kv_tokens":107085,"stride":72,"kv_hold_s":0.5}}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
   "idle_timeout_ms":15000}})";

store::TableRow Row(const std::string& key, const std::string& value) {
  return {key, value, 1, false};
}

}  // namespace

// Guards against fields of the operator's configuration being decoded into wrong members or units.
Test(config_format, decodes_routes_services_and_limits) {
  const Result<core::RoutingRules> rules = platform::DecodeConfig(kConfig);
  cr_assert(rules.has_value());
  cr_assert_eq(rules.value().version, 7);
  const core::RouteRule& stream = rules.value().routes[0];
  cr_assert(stream.kind == core::RequestKind::kStream);
  cr_assert(stream.is_resumable);
  cr_assert_eq(stream.max_upstreams, 2);
  cr_assert_eq(stream.target_gap_ms, 300);
  cr_assert_eq(rules.value().routes[1].services.size(), 2);
  cr_assert_eq(rules.value().services[0].engine->memory_tokens, 107'085);
  cr_assert_eq(rules.value().services[0].engine->prefill_hold_ms, 500);
  cr_assert_eq(rules.value().limits.idle_timeout_ms, 15'000);
}

// Guards against an invalid configuration replacing the active one: decoding must fail, and the
// message must contain the name of the field of wrong type.
Test(config_format, error_names_the_field_of_wrong_type) {
  cr_assert(!platform::DecodeConfig("not json").has_value());
  cr_assert(!platform::DecodeConfig(R"({"version":1})").has_value());
  const Result<core::RoutingRules> rules = platform::DecodeConfig(
      R"({"version":1,"services":[],"routes":[{"name":"r","host":"h","prefix":"/p/",
          "kind":"idempotent","timeout_ms":"long","service":"a"}]})");
  cr_assert(!rules.has_value());
  cr_assert_neq(rules.error().message.find("timeout_ms"), std::string::npos);
}

// Guards against a process that ends while it reads the list, or uses a server that is none,
// because of one odd entry of another writer: nesting that code traverses recursively, numbers and
// ports that do not fit their type, ids that are no header values.
Test(config_format, odd_rows_are_skipped_and_the_others_used, .timeout = 30) {
  const auto row_with = [](const std::string& field, const std::string& value) {
    std::string row = R"({"service":"s","addr":"10.0.0.9:80","state":"ready","slots":6})";
    return row.insert(1, "\"" + field + "\":" + value + ",");
  };
  constexpr int kLevels = 30'000;
  const std::string nested = std::string(kLevels, '[') + std::string(kLevels, ']');
  std::string nested_objects;
  for (int i = 0; i < kLevels / 4; ++i) {
    nested_objects += R"({"a":)";
  }
  nested_objects += "1" + std::string(kLevels / 4, '}');
  std::vector<store::TableRow> rows = {Row("good", row_with("seq", "4")), Row("nested", nested)};
  for (const char* field :
       {"service", "addr", "state", "zone", "slots", "born", "stage", "other"}) {
    for (const std::string& value : {nested, nested_objects}) {
      rows.push_back(Row(std::string(field) + std::to_string(value.size()),
                         R"({")" + std::string(field) + "\":" + value + "}"));
      rows.push_back(
          Row(std::string(field) + "-" + std::to_string(value.size()), row_with(field, value)));
    }
  }
  for (const char* number : {"1e300", "-1e300", "1e999", "99999999999999999999999", "-1", "0",
                             "9223372036854775808", "1e18"}) {
    rows.push_back(
        Row(std::string("slots") + number,
            std::string(R"({"service":"s","addr":"10.0.0.9:80","state":"ready","slots":)") +
                number + "}"));
  }
  for (const char* number : {"1e300", "-1e300", "1e999"}) {
    rows.push_back(Row(std::string("born") + number, row_with("born", number)));
  }
  for (const char* address : {"10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:80 ",
                              "10.0.0.9:4294967376", "10.0.0.999:80", ":80", "10.0.0.9:", ""}) {
    rows.push_back(Row(std::string("addr") + address, R"({"service":"s","state":"ready","addr":")" +
                                                          std::string(address) + "\"}"));
  }
  for (const char* id : {"", "a\r\nX-Injected: 1", "a b", "\xc3\xa4"}) {
    rows.push_back(Row(id, row_with("seq", "4")));
  }
  platform::UpstreamCache cache;
  const platform::DecodedUpstreams decoded = platform::DecodeUpstreams(rows, cache);
  cr_assert_eq(decoded.upstreams.size(), 1, "%zu", decoded.upstreams.size());
  cr_assert_eq(decoded.upstreams[0].id, "good");
  cr_assert_eq(decoded.invalid_row_keys.size(), rows.size() - 1);
}

// Guards against one malformed row, written by another program, making the valid upstreams
// unavailable. Malformed rows must be reported by their keys and the others decoded.
Test(config_format, malformed_rows_are_reported_and_skipped) {
  const std::string valid_row =
      R"({"service":"s","addr":"10.0.0.9:80","zone":"z","slots":6,"state":"ready","stage":"decode",
          "born":1700000000123,"seq":4})";
  const std::vector<store::TableRow> rows = {
      Row("good", valid_row),
      Row("bytes", "\xff\xfe"),
      Row("no-address", R"({"service":"s","state":"ready"})"),
      Row("bad-address", R"({"service":"s","addr":"10.0.0.9:http","state":"ready"})"),
      Row("bad-state", R"({"service":"s","addr":"10.0.0.9:80","state":"dancing"})"),
      Row("bad-slots", R"({"service":"s","addr":"10.0.0.9:80","state":"ready","slots":"six"})"),
      Row("leaving", R"({"service":"s","addr":"10.0.0.8:80","state":"draining","slots":6})")};
  platform::UpstreamCache cache;
  const platform::DecodedUpstreams decoded = platform::DecodeUpstreams(rows, cache);
  cr_assert_eq(decoded.upstreams.size(), 2);
  cr_assert_eq(decoded.invalid_row_keys.size(), 5);
  cr_assert(decoded.upstreams[0].stage == core::UpstreamStage::kDecode);
  cr_assert_eq(decoded.upstreams[0].started_unix_ms, 1'700'000'000'123);
  cr_assert(decoded.upstreams[1].is_draining);
}

// Guards against a gateway that is busy for 0.2 s each time that it reads a list of 3,000 rows, of
// which only the heartbeats have changed: meanwhile it passes on no events of streams.
Test(config_format, rows_with_a_new_heartbeat_only_are_not_parsed_again) {
  const auto row = [](const std::string& id, const std::string& state, const std::string& seq) {
    return Row(id, R"({"service":"s","addr":"10.0.0.9:80","slots":6,"state":")" + state +
                       R"(","seq":)" + seq + R"(,"stage":"decode"})");
  };
  platform::UpstreamCache cache;
  const auto decode = [&cache](const std::vector<store::TableRow>& rows) {
    return platform::DecodeUpstreams(rows, cache);
  };
  decode({row("a", "ready", "8"), row("b", "ready", "9"), row("odd", "dancing", "1")});
  cr_assert_eq(cache.parsed_rows, 3);
  platform::DecodedUpstreams decoded =
      decode({row("a", "ready", "9"), row("b", "ready", "10"), row("odd", "dancing", "2")});
  cr_assert_eq(cache.parsed_rows, 3, "%ld", static_cast<long>(cache.parsed_rows));
  cr_assert_eq(decoded.upstreams.size(), 2);
  cr_assert_eq(decoded.upstreams[1].id, "b");
  cr_assert_eq(decoded.upstreams[1].slots, 6);
  cr_assert_eq(decoded.invalid_row_keys, std::vector<std::string>{"odd"});
  // A row that has left the list and comes back is parsed, and the cache does not grow.
  decode({row("a", "ready", "10")});
  cr_assert_eq(cache.entries.size(), 1);
  decoded = decode({row("b", "ready", "11"), row("a", "ready", "10")});
  cr_assert_eq(cache.parsed_rows, 4);
  cr_assert_eq(decoded.upstreams.size(), 2);
}

// Guards against an upstream that is still used after its row says that it drains, or whose row is
// taken as it was although it has become malformed in its heartbeat.
Test(config_format, other_changes_of_a_row_are_seen) {
  const std::string before = R"({"service":"s","addr":"10.0.0.9:80","slots":6,"state":")";
  const std::string ready = before + R"(ready","seq":4})";
  platform::UpstreamCache cache;
  const auto decode_after_ready = [&](const std::string& text) {
    cr_assert_eq(platform::DecodeUpstreams({{Row("a", ready)}}, cache).upstreams.size(), 1);
    return platform::DecodeUpstreams({{Row("a", text)}}, cache);
  };
  const platform::DecodedUpstreams draining = decode_after_ready(before + R"(draining","seq":5})");
  cr_assert_eq(draining.upstreams.size(), 1);
  cr_assert(draining.upstreams[0].is_draining);
  for (const char* seq : {"05", "", "-", "5x", "1e999", "5.", "5"}) {
    const std::string text = before + R"(ready","seq":)" + seq;
    cr_assert_eq(decode_after_ready(text).invalid_row_keys.size(), 1, "%s", text.c_str());
    if (std::string(seq) != "5") {
      cr_assert_eq(decode_after_ready(text + "}").invalid_row_keys.size(), 1, "%s", text.c_str());
    }
  }
  cr_assert_eq(decode_after_ready(before + R"(ready","seq":"5"})").upstreams.size(), 1);
  // A second field of the same name, in which the last one counts.
  cr_assert_eq(decode_after_ready(before + R"(ready","seq":5,"slots":7})").upstreams[0].slots, 7);
}

namespace {

using nlohmann::json;

int In(std::minstd_rand& random, int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(random);
}

bool OneIn(std::minstd_rand& random, int cases) { return In(random, 1, cases) == 1; }

json RandomNumber(std::minstd_rand& random, int low, int high) {
  const int number = In(random, low, high);
  return OneIn(random, 3) ? json(static_cast<double>(number)) : json(number);
}

/// A field that may be missing or null.
void SetOptional(std::minstd_rand& random, json& object, const char* name, json value) {
  const int choice = In(random, 0, 5);
  if (choice > 0) {
    object[name] = choice == 1 ? json() : std::move(value);
  }
}

/// Fields that the decoder does not know, with any valid content.
void AddUnknownFields(std::minstd_rand& random, json& object) {
  const std::vector<json> values = {
      nullptr,
      true,
      -4,
      0.25,
      1e300,
      18'446'744'073'709'551'615U,
      "",
      "a\"\\\n\x01 \xe2\x82\xac \xf0\x9f\x90\xa6",
      json::array(),
      json::object(),
      {{"name", 5}, {"weight", "x"}, {"list", {1, {{"a", nullptr}}}}}};
  for (const char* name : {"protocol", "tls", "",
                           "gr\xc3\xb6\xc3\x9f"
                           "e",
                           "\xe5\x90\x8d\xe5\x89\x8d", "with \"quotes\"", "models"}) {
    if (OneIn(random, 6)) {
      object[name] = values[static_cast<std::size_t>(In(random, 0, 10))];
    }
  }
}

std::string LongName(std::minstd_rand& random, const std::string& begin, int longest) {
  return begin + std::string(OneIn(random, 8) ? static_cast<std::size_t>(longest) : 0, 'n');
}

json RandomRoute(std::minstd_rand& random, int number, int services) {
  const auto service = [&] { return "svc-" + std::to_string(In(random, 0, services - 1)); };
  json route = {{"name", LongName(random, "r-" + std::to_string(number), 4'000)},
                {"host", LongName(random, "host" + std::to_string(number % 3) + ".", 240)},
                {"prefix", LongName(random, "/p" + std::to_string(number), 2'000) + "/"},
                {"timeout_ms", RandomNumber(random, 1, 600'000)}};
  const char* const kinds[] = {"idempotent", "non_idempotent", "streaming"};
  route["kind"] = kinds[In(random, 0, 2)];
  if (OneIn(random, 2)) {
    route["service"] = service();
    if (OneIn(random, 4)) {
      route["traffic_split"] = nullptr;
    }
  } else {
    const int shares = In(random, 1, 4);
    const int positive = In(random, 0, shares - 1);
    for (int i = 0; i < shares; ++i) {
      json share = {
          {"service", service()},
          {"weight", RandomNumber(random, i == positive ? 1 : 0, OneIn(random, 3) ? 1 : 100)}};
      AddUnknownFields(random, share);
      route["traffic_split"].push_back(std::move(share));
    }
    if (OneIn(random, 4)) {
      route["service"] = nullptr;
    }
  }
  for (const char* name : {"target_latency_ms", "target_gap_ms", "priority", "max_attempts"}) {
    SetOptional(random, route, name, RandomNumber(random, 0, 60'000));
  }
  for (const char* name : {"sticky", "resumable", "public"}) {
    SetOptional(random, route, name, OneIn(random, 2));
  }
  AddUnknownFields(random, route);
  return route;
}

json RandomService(std::minstd_rand& random, int number) {
  json service = {{"name", "svc-" + std::to_string(number)}};
  SetOptional(random, service, "health_path", LongName(random, "/healthz", 2'000));
  SetOptional(random, service, "max_conns", RandomNumber(random, 1, 100'000));
  json engine = json::object();
  for (const char* name : {"slots", "kv_tokens", "stride", "most", "kv_token_bytes", "pin_ms"}) {
    SetOptional(random, engine, name, RandomNumber(random, 1, 1'000'000));
  }
  SetOptional(random, engine, "kv_hold_s", 0.5 * In(random, 0, 20));
  SetOptional(random, engine, "switch_s", RandomNumber(random, 0, 60));
  SetOptional(random, engine, "link_mbps", 4'400'000.0);
  SetOptional(random, engine, "models", {{{"name", "m"}}});
  AddUnknownFields(random, engine);
  SetOptional(random, service, "engine", std::move(engine));
  AddUnknownFields(random, service);
  return service;
}

json RandomConfig(std::minstd_rand& random, std::int64_t version, const std::vector<json>& routes,
                  int services) {
  json config = {{"version", version}, {"routes", routes}, {"services", json::array()}};
  if (version <= 1'000'000 && OneIn(random, 3)) {
    config["version"] = static_cast<double>(version);
  }
  for (int i = 0; i < services; ++i) {
    config["services"].push_back(RandomService(random, i));
  }
  json limits = json::object();
  for (const char* name :
       {"max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"}) {
    SetOptional(random, limits, name, RandomNumber(random, 1'000, 64'000'000));
  }
  AddUnknownFields(random, limits);
  SetOptional(random, config, "limits", std::move(limits));
  if (OneIn(random, 3)) {
    config["tenants"] = OneIn(random, 2) ? json() : json::array();
  }
  AddUnknownFields(random, config);
  return config;
}

/// Whether the configuration is accepted and a request for each of its routes finds that route.
void ExpectAccepted(const json& config, bool is_ascii) {
  const Result<core::RoutingRules> rules = platform::DecodeConfig(config.dump(-1, ' ', is_ascii));
  if (!rules) {
    RC_FAIL(rules.error().message);
  }
  RC_ASSERT(rules.value().version == config["version"].get<std::int64_t>());
  const Result<std::shared_ptr<const core::RoutingTable>> table =
      core::RoutingTable::Create(rules.value());
  if (!table) {
    RC_FAIL(table.error().message);
  }
  RC_ASSERT(table.value()->routes().size() == config["routes"].size());
  for (const json& route : config["routes"]) {
    const core::RouteRule* const match = table.value()->Match(
        route["host"].get<std::string>(), route["prefix"].get<std::string>() + "2f");
    RC_ASSERT(match != nullptr);
    RC_ASSERT(match->name == route["name"].get<std::string>());
    RC_ASSERT(match->timeout_ms == route["timeout_ms"].get<std::int64_t>());
  }
}

}  // namespace

// Guards against 404 for routes of a configuration that the store has accepted, because one of its
// versions is rejected and the one before stays in force.
Test(config_format, valid_configurations_are_accepted, .timeout = 60) {
  cr_assert(rc::check("valid configurations", [] {
    const int count =
        *rc::gen::weightedElement<int>({{4, 0}, {10, 1}, {40, 7}, {20, 60}, {8, 400}, {3, 2'000}});
    std::minstd_rand random(*rc::gen::inRange<std::uint32_t>(1, 2'000'000'000));
    const int services = In(random, 1, 6);
    std::int64_t version = OneIn(random, 4) ? 1'796'675'000'000 : In(random, 1, 100);
    std::vector<json> routes;
    int number = 0;
    for (; number < count; ++number) {
      routes.push_back(RandomRoute(random, number, services));
    }
    for (int change = 0; change < 3; ++change) {
      ExpectAccepted(RandomConfig(random, version, routes, services), OneIn(random, 2));
      version += In(random, 1, 40);
      if (!routes.empty()) {
        routes.erase(routes.begin() + In(random, 0, static_cast<int>(routes.size()) - 1));
      }
      routes.insert(routes.begin() + In(random, 0, static_cast<int>(routes.size())),
                    RandomRoute(random, number++, services));
    }
  }));
}
