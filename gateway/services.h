// What exchanges share.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/metrics.h"
#include "core/retry_window.h"
#include "core/routing_table.h"
#include "gateway/dispatcher.h"
#include "gateway/fleet.h"
#include "gateway/settings.h"

namespace rattanramp::gateway {

struct Services {
  asio::io_context& context;
  const Clock& clock;
  Settings& settings;
  Fleet& fleet;
  Dispatcher& dispatcher;
  Metrics& metrics;
  std::map<std::string, core::RetryWindow>& retry_windows;
  /// Called when a generation takes or leaves memory of an engine.
  std::function<void()> on_reservation;
  /// Mean time that a generation holds its memory, in ms, by service.
  std::map<std::string, double> mean_hold_ms;
  /// Gateways that share the bound on retries, this one included.
  std::int64_t gateways = 1;
};

/// Takes one extra arrival at the service from this gateway's part of the bound.
inline bool TakeExtraArrival(Services& services, const std::string& service) {
  return core::TakeExtra(services.retry_windows[service], services.settings.retry_bound,
                         services.gateways, services.clock.now());
}

}  // namespace rattanramp::gateway
