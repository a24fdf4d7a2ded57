// Settings of a gateway on free ports of the loopback address, for tests.
#pragma once

#include <cstdint>

#include "gateway/settings.h"
#include "tests/support/free_port.h"

namespace rattanramp::tests {

inline gateway::Settings TestSettings() {
  const asio::ip::address_v4 loopback = asio::ip::address_v4::loopback();
  const auto port = [] { return static_cast<std::uint16_t>(testing::FreePort()); };
  gateway::Settings settings;
  settings.node = "g";
  settings.failure_domain = "domain-a";
  settings.address = loopback;
  settings.callers = {loopback, port()};
  settings.readiness = {loopback, port()};
  settings.metrics_port = port();
  settings.peer_port = port();
  settings.retry_bound = {0.2, 58, Milliseconds(10'000)};
  return settings;
}

}  // namespace rattanramp::tests
