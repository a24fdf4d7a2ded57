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
#include "core/stage_plan.h"
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
  /// Means over the generations of a service; see ProfileOf.
  std::map<std::string, core::GenerationProfile> profiles;
  /// Gateways that share the bound on retries, this one included.
  std::int64_t gateways = 1;
};

/// Profile of a service before a generation has ended: the means of the users' sheets (5,200 tokens
/// of prompt, 70 events of 72 tokens and 50 ms).
inline constexpr core::GenerationProfile kFirstProfile = {5'200, 7'700, 3'500};

inline core::GenerationProfile& ProfileOf(Services& services, const std::string& service) {
  return services.profiles.try_emplace(service, kFirstProfile).first->second;
}

/// Takes one extra arrival at the service from this gateway's part of the bound.
inline bool TakeExtraArrival(Services& services, const std::string& service) {
  return core::TakeExtra(services.retry_windows[service], services.settings.retry_bound,
                         services.gateways, services.clock.now());
}

}  // namespace rattanramp::gateway
