#include "gateway/workspace_limiter.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <chrono>
#include <vector>

#include "base/log.h"

namespace rattanramp::gateway {
namespace {

// Entries of a report. An entry takes about 20 bytes; complete reports are sent whether or not
// something has changed.
constexpr std::size_t kMaxNewEntries = 8;
constexpr std::size_t kMaxCompleteEntries = 4;

constexpr std::size_t kMaxStates = 100;

// Callers that are refused together come back within this time of the first.
constexpr std::int64_t kMinRetrySpreadMs = 200;

constexpr std::uint64_t kSpreadSteps = 1'000;

}  // namespace

void WorkspaceLimiter::SetRules(std::span<const core::WorkspaceRule> rules, TimePoint now) {
  for (const std::string& problem : limits_.SetRules(rules, now)) {
    Log(LogLevel::kWarning, "workspace_limit_invalid", {{"problem", problem}});
  }
}

void WorkspaceLimiter::SetPeers(std::span<const std::string> peers, TimePoint now) {
  limits_.SetTiming({ReportPaceFor(peers.size()).repeat_interval});
  limits_.SetMembers(peers, now);
}

bool WorkspaceLimiter::Admit(RequestContext& request, GatewayState& state, CallerSink& sink) {
  if (request.workspace == nullptr) {
    return true;
  }
  const TimePoint now = state.clock.now();
  const core::RequestFacts& facts = request.facts;
  const std::int64_t tokens = facts.prompt_tokens + facts.max_output_tokens;
  const std::int64_t units = core::UnitsOf(
      *request.workspace, tokens > 0 ? std::optional<std::int64_t>(tokens) : std::nullopt);
  const core::LimitDecision decision =
      limits_.Take(core::WorkspaceKey(request.workspace->name), units, now);
  if (decision.is_taken) {
    request.limit_units = units;
    if (limits_.has_news()) {
      state.on_reservation_change();
    }
    return true;
  }
  const std::int64_t wait_ms =
      std::chrono::duration_cast<Milliseconds>(decision.retry_at - now).count() + 1;
  const std::int64_t spread_ms = std::max(wait_ms, kMinRetrySpreadMs);
  const std::int64_t retry_ms =
      wait_ms + spread_ms * static_cast<std::int64_t>(request.seed % kSpreadSteps) /
                    static_cast<std::int64_t>(kSpreadSteps);
  LogRequestEnd(request, state, 429, "limited", "the workspace has reached its limit");
  sink.Answer(429, platform::RefusalFields(request.facts.request_id, retry_ms),
              "not run: the workspace has reached its limit\n");
  return false;
}

void WorkspaceLimiter::GiveBack(const RequestContext& request, TimePoint now) {
  if (request.workspace != nullptr && request.limit_units > 0) {
    limits_.GiveBack(core::WorkspaceKey(request.workspace->name), request.limit_units, now);
  }
}

void WorkspaceLimiter::Tick(Metrics& metrics, TimePoint now) {
  limits_.Refresh(now);
  for (const core::LimitEvent& event : limits_.TakeEvents()) {
    if (event.is_begin) {
      metrics.Count("workspaces_limited_total");
      Log(LogLevel::kInfo, "workspace_limited", {{"workspace", event.workspace}});
    } else {
      metrics.Count("workspace_refusals_total", static_cast<double>(event.refused));
      Log(LogLevel::kInfo, "workspace_not_limited",
          {{"workspace", event.workspace}, {"refused", event.refused}});
    }
  }
}

nlohmann::json WorkspaceLimiter::State(TimePoint now) const {
  nlohmann::json workspaces = nlohmann::json::array();
  for (const core::LimitState& state : limits_.States(kMaxStates, now)) {
    workspaces.push_back({{"workspace", state.workspace},
                          {"rate_per_s", state.rate_per_s},
                          {"burst", state.burst},
                          {"used", state.used},
                          {"refused", state.refused},
                          {"level", state.level},
                          {"own_part", state.own_part}});
  }
  return {{"silent_gateways", limits_.silent_members()},
          {"oldest_report_ms", ToMs(limits_.OldestKnowledge(now))},
          {"workspaces", workspaces}};
}

void WorkspaceLimiter::AddTo(wire::GatewayLoad& report, bool is_complete) {
  if (!limits_.has_limits()) {
    return;
  }
  report.__set_started_unix_ms(process_);
  std::vector<wire::GatewayWorkspaceUse> entries;
  for (const core::WorkspaceUse& use : limits_.Report(
           is_complete ? kMaxCompleteEntries : kMaxNewEntries, is_complete, clock_.now())) {
    wire::GatewayWorkspaceUse& entry = entries.emplace_back();
    entry.workspace = use.workspace;
    entry.used = use.used;
    entry.demand_per_s = use.demand_per_s;
  }
  if (!entries.empty()) {
    report.__set_workspace_use(entries);
  }
}

void WorkspaceLimiter::Record(const wire::GatewayLoad& report) {
  // Reports to one peer only, and those of gateways without limits, do not state the process.
  if (report.gateway.empty() || !report.__isset.started_unix_ms) {
    return;
  }
  std::vector<core::WorkspaceUse> uses;
  uses.reserve(report.workspace_use.size());
  for (const wire::GatewayWorkspaceUse& entry : report.workspace_use) {
    uses.push_back({entry.workspace, entry.used, entry.demand_per_s});
  }
  limits_.Record(report.gateway, report.started_unix_ms, uses, clock_.now());
}

}  // namespace rattanramp::gateway
