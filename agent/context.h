// State shared by the components of an agent. Link thread only, unless noted.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "agent/canceller.h"
#include "agent/settings_cache.h"
#include "agent/upstream_port.h"
#include "agent/workers.h"
#include "base/clock.h"
#include "base/metrics.h"
#include "core/crash_table.h"
#include "link/event_loop.h"
#include "settings/boot_config.h"
#include "wire/gen-cpp/rattanramp_types.h"

namespace rattanramp::agent {

/// State of the upstream as last observed by the agent.
struct UpstreamStatus {
  bool up = false;
  /// Requests left by an earlier incarnation of the agent or the engine have been cancelled.
  bool clean = false;
  bool load_known = false;
  UpstreamLoad load;
};

struct AgentContext {
  const settings::BootConfig& boot;
  std::int64_t incarnation;
  /// Post is safe from any thread.
  link::EventLoop& loop;
  /// Safe from any thread.
  UpstreamPort& upstream;
  Workers& workers;
  Canceller& canceller;
  Metrics& metrics;
  const Clock& clock;
  SettingsCache settings_cache;

  UpstreamStatus status{};
  core::CrashTable crash_table{};
  bool leaving = false;
  /// Requests a load report: at once if the argument is true, otherwise with the next report that
  /// is due.
  std::function<void(bool)> load_changed{};
  /// Returns the current load, for reports and refusals.
  std::function<wire::LoadReport()> snapshot{};

  /// See SettingsCache::Of.
  const settings::Settings& SettingsOf(const std::string& service) {
    return settings_cache.Of(service);
  }
};

}  // namespace rattanramp::agent
