// Names of the platform's tables that a gateway reads, and the factory of their clients.
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
  /// Table of this product with one row for each gateway.
  std::string gateway_table;
  /// Table of this product whose single row holds the last stage order to an engine.
  std::string order_table;
  /// Creates a client. A client carries one call at a time.
  std::function<std::unique_ptr<store::AsyncTable>()> make_client;
  /// Table of this product with one row for each blocked cause of crashes.
  std::string crash_table = "rattanramp_crashes";
};

}  // namespace rattanramp::gateway
