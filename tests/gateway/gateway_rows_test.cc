#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <memory>
#include <string>

#include "gateway/gateway.h"
#include "tests/gateway/fake_table.h"
#include "tests/gateway/gateway_settings.h"
#include "tests/gateway/run_until.h"

using namespace rattanramp;

// Guards against a gateway that ends, or stops following the list, because another writer left an
// odd row among those of the upstreams or of the gateways.
Test(gateway_rows, odd_rows_do_not_keep_a_gateway_from_the_others, .timeout = 30) {
  asio::io_context context;
  tests::FakeTables tables;
  const auto write = [&](const std::string& table, const std::string& key,
                         const std::string& value) {
    tables.tables[table][key] = {key, value, ++tables.version, false};
  };
  constexpr int kLevels = 30'000;
  const std::string nested = std::string(kLevels, '[') + std::string(kLevels, ']');
  write("config", "c", R"({"version":1,"routes":[],"services":[]})");
  write("upstreams", "nested",
        R"({"addr":"127.0.0.1:9","state":"ready","service":)" + nested + "}");
  write("upstreams", "number",
        R"({"addr":"127.0.0.1:9","state":"ready","service":"s","slots":1e300})");
  write("upstreams", "u", R"({"addr":"127.0.0.1:9","state":"ready","service":"s","slots":6})");
  write("gateways", "nested", nested);
  write("gateways", "address", R"({"address":5,"peer_port":9})");
  write("gateways", "port", R"({"address":"127.0.0.1","peer_port":65545})");
  write("gateways", "peer", R"({"address":"127.0.0.1","peer_port":9})");
  const gateway::StoreSource source{"config",
                                    "c",
                                    "upstreams",
                                    "gateways",
                                    "orders",
                                    [&]() -> std::unique_ptr<store::AsyncTable> {
                                      return std::make_unique<tests::FakeTable>(context, tables);
                                    }};
  const std::unique_ptr<gateway::Gateway> gateway = std::move(
      gateway::Gateway::Create(context, DefaultClock(), tests::TestSettings(), source).value());
  // The gateway itself and the peer with a valid row.
  cr_assert(tests::RunUntil(context, [&] {
    return gateway->is_ready() && gateway->StateDump().find("\"gateways\": 2") != std::string::npos;
  }));
  const std::string state = gateway->StateDump();
  cr_assert_neq(state.find("\"id\": \"u\""), std::string::npos);
  cr_assert_eq(state.find("\"id\": \"n"), std::string::npos);
}
