// Where a gateway finds what it follows in the platform's tables.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "store/async_table.h"

namespace rattanramp::gateway {

struct StoreSource {
  std::string config_table;
  std::string config_key;
  std::string upstream_table;
  /// The product's own table with a row for each gateway.
  std::string gateway_table;
  /// The product's own table with the last order to an engine, one row.
  std::string order_table;
  /// Makes a client; each carries one call at a time.
  std::function<std::unique_ptr<store::AsyncTable>()> make_client;
};

}  // namespace rattanramp::gateway
