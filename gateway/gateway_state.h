// State of the gateway that all exchanges share.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/metrics.h"
#include "core/answer_budget.h"
#include "core/config_freshness.h"
#include "core/crash_causes.h"
#include "core/retry_window.h"
#include "core/routing_table.h"
#include "core/stage_plan.h"
#include "core/stop_plan.h"
#include "gateway/dispatcher.h"
#include "gateway/fleet.h"
#include "gateway/settings.h"

namespace rattanramp::gateway {

class WorkspaceLimiter;

/// An answer that shows that an upstream has not ended.
struct RunningSign {
  /// When the request was sent.
  TimePoint sent;
  TimePoint answered;
};

/// Requests of callers, for the state page and the log.
struct CallerCounts {
  struct LogPace {
    std::optional<TimePoint> last;
    /// Refusals since the last line.
    std::int64_t unlogged = 0;
  };
  /// By name of the workspace (empty: not known) and outcome.
  std::map<std::string, std::map<std::string, std::int64_t>> by_workspace;
  /// By cause of the refusal.
  std::map<std::string, LogPace> log_pace;
};

struct GatewayState {
  asio::io_context& context;
  const Clock& clock;
  Settings& settings;
  Fleet& fleet;
  Dispatcher& dispatcher;
  Metrics& metrics;
  std::map<std::string, core::RetryWindow>& retry_windows;
  /// Called when a generation reserves or releases memory of an engine.
  std::function<void()> on_reservation_change;
  /// Mean sizes and durations of the generations, by service; see ProfileOf.
  std::map<std::string, core::GenerationProfile> profiles;
  /// Number of gateways that share the bound on retries, including this one.
  std::int64_t gateways = 1;
  /// Shared by the answers that are kept until they are complete.
  core::AnswerBudget answer_budget = {};
  /// Set when the process has begun to stop.
  std::optional<core::StopPlan> stop = {};
  core::CrashCauses crash_causes = {};
  /// Answers of upstreams under which requests were lost, by key, until the list of upstreams has
  /// had the time to show that they came from another incarnation.
  std::map<std::int64_t, RunningSign> running_signs = {};
  /// This gateway tries causes again that are blocked.
  bool tries_blocked_causes = false;
  /// Null: no limits are applied.
  WorkspaceLimiter* limiter = nullptr;
  /// The configuration in force; null before the first.
  std::shared_ptr<const core::RoutingTable> table = nullptr;
  core::ConfigFreshness freshness = {};
  CallerCounts callers = {};
};

/// Profile of a service until its first generation has ended. The values are the means of the
/// users' specification: 5,200 tokens of prompt, and 70 events of 72 tokens and 50 ms each.
inline constexpr core::GenerationProfile kInitialProfile = {5'200, 7'700, 3'500, 5'040};

inline core::GenerationProfile& ProfileOf(GatewayState& state, const std::string& service) {
  return state.profiles.try_emplace(service, kInitialProfile).first->second;
}

/// Time for which an upstream gets no requests after another process has answered at its address,
/// or after it has refused its stage. By the end of it each gateway has read the list of upstreams.
inline constexpr Milliseconds kMisdirectedTime{4'000};

/// Excludes an upstream that refused a request as sent to the wrong process, and tells the peers.
inline void ExcludeMisdirected(GatewayState& state, const Upstream& upstream) {
  state.fleet.Exclude(upstream.key, state.clock.now() + kMisdirectedTime);
  state.on_reservation_change();
}

/// Uses one retry out of this gateway's part of the service's retry bound. Returns false when that
/// part is used up.
inline bool TakeExtraArrival(GatewayState& state, const std::string& service) {
  return core::TakeExtra(state.retry_windows[service], state.settings.retry_bound, state.gateways,
                         state.clock.now());
}

}  // namespace rattanramp::gateway
