#include "gateway/caller_check.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "base/log.h"
#include "platform/request_format.h"

namespace rattanramp::gateway {
namespace {

// Time between two log lines about refusals of the same kind.
constexpr Milliseconds kRefusalLogInterval{1'000};

// Retry-After while the configuration may be outdated. A held call or a peer's report brings new
// evidence soon if the store can be reached; a caller may also go to another gateway.
constexpr std::int64_t kUncertainRetryMs = 500;

// Lines that are logged about keys that several workspaces hold.
constexpr std::size_t kMaxLoggedShares = 20;

/// Name of a refusal for the log, the metrics and the state page.
std::string_view CauseOf(core::CallerVerdict verdict) {
  switch (verdict) {
    case core::CallerVerdict::kNoKey:
      return "no_key";
    case core::CallerVerdict::kUnknownKey:
      return "unknown_key";
    case core::CallerVerdict::kUncertain:
      return "configuration_may_be_outdated";
    case core::CallerVerdict::kRun:
      break;
  }
  return "";
}

void LogRefusal(const RequestContext& request, GatewayState& state, core::CallerVerdict verdict) {
  const std::string_view cause = CauseOf(verdict);
  const std::string workspace = request.workspace == nullptr ? "" : request.workspace->name;
  state.metrics.Count(fmt::format("callers_refused_total{{cause=\"{}\"}}", cause));
  ++state.callers.by_workspace[workspace][std::string(cause)];
  CallerCounts::LogPace& pace = state.callers.log_pace[std::string(cause)];
  ++pace.unlogged;
  if (pace.last && request.arrived - *pace.last < kRefusalLogInterval) {
    return;
  }
  Log(LogLevel::kInfo, "caller_refused",
      {{"request", request.facts.request_id},
       {"route", request.route->name},
       {"workspace", workspace},
       {"cause", cause},
       {"count", pace.unlogged},
       {"config_version", request.table->version()},
       {"row_version", state.freshness.own_row.version},
       {"newest_row_version", state.freshness.newest.row.version},
       {"evidence_age_ms",
        state.freshness.shown_at ? ToMs(request.arrived - *state.freshness.shown_at) : -1.0}});
  pace = {request.arrived, 0};
}

}  // namespace

bool AdmitCaller(RequestContext& request, GatewayState& state, CallerSink& sink) {
  if (request.table->workspaces().empty()) {
    return true;
  }
  request.caller_key = platform::TakeCallerKey(request.head);
  const core::Caller caller =
      core::IdentifyCaller(*request.table, *request.route, request.caller_key);
  request.workspace = caller.workspace;
  const core::CallerVerdict verdict = core::JudgeCaller(
      caller.kind, state.freshness, request.arrived, state.settings.key_removal_limit);
  const std::string& id = request.facts.request_id;
  switch (verdict) {
    case core::CallerVerdict::kRun:
      return true;
    case core::CallerVerdict::kUncertain:
      sink.Answer(503, platform::RefusalFields(id, kUncertainRetryMs),
                  "not run: the configuration may be outdated; send the request again\n");
      break;
    case core::CallerVerdict::kNoKey:
      sink.Answer(401, platform::KeyRefusalFields(id),
                  "not run: the request has no valid key; send one as a bearer token\n");
      break;
    case core::CallerVerdict::kUnknownKey:
      sink.Answer(401, platform::KeyRefusalFields(id),
                  "not run: the key is not known; use one that is in force\n");
      break;
  }
  LogRefusal(request, state, verdict);
  return false;
}

std::optional<CrashRefusal> CheckAttempt(RequestContext& request, GatewayState& state) {
  if (request.workspace != nullptr && !request.started && state.table &&
      request.table != state.table && !state.table->workspaces().empty()) {
    const core::WorkspaceRule* workspace = state.table->keys().Find(request.caller_key);
    if (workspace == nullptr || workspace->name != request.workspace->name) {
      return CrashRefusal{"the key was taken away while the request was queued", kUncertainRetryMs};
    }
  }
  return CheckCrashCauses(request, state);
}

bool IsConfigOutdated(const GatewayState& state) {
  if (!state.settings.key_removal_limit || !state.table || state.table->workspaces().empty()) {
    return false;
  }
  return !core::IsFresh(state.freshness, state.clock.now(), *state.settings.key_removal_limit);
}

bool MayServeCallers(const GatewayState& state) {
  if (!IsConfigOutdated(state)) {
    return true;
  }
  const std::span<const core::RouteRule> routes = state.table->routes();
  return std::any_of(routes.begin(), routes.end(),
                     [](const core::RouteRule& route) { return route.is_public; });
}

nlohmann::json CallerState(const GatewayState& state) {
  nlohmann::json workspaces = nlohmann::json::array();
  if (state.table) {
    for (const core::WorkspaceRule& rule : state.table->workspaces()) {
      const auto counts = state.callers.by_workspace.find(rule.name);
      workspaces.push_back({{"name", rule.name},
                            {"keys", rule.keys.size()},
                            {"requests", counts == state.callers.by_workspace.end()
                                             ? nlohmann::json::object()
                                             : nlohmann::json(counts->second)}});
    }
  }
  const auto unknown = state.callers.by_workspace.find("");
  const core::ConfigFreshness& freshness = state.freshness;
  return {{"row_version", freshness.own_row.version},
          {"newest_row_version", freshness.newest.row.version},
          {"evidence_age_ms",
           freshness.shown_at ? ToMs(state.clock.now() - *freshness.shown_at) : -1.0},
          {"is_outdated", IsConfigOutdated(state)},
          {"workspaces", workspaces},
          {"without_workspace", unknown == state.callers.by_workspace.end()
                                    ? nlohmann::json::object()
                                    : nlohmann::json(unknown->second)}};
}

void LogKeyFaults(const core::RoutingTable& table) {
  if (table.keys().unusable() > 0) {
    Log(LogLevel::kWarning, "keys_unusable",
        {{"version", table.version()},
         {"keys", table.keys().unusable()},
         {"remedy", fmt::format("use keys of 1 to {} bytes", core::kMaxKeyBytes)}});
  }
  const std::size_t logged = std::min(kMaxLoggedShares, table.keys().shared().size());
  for (const auto& [first, second] : table.keys().shared().first(logged)) {
    Log(LogLevel::kWarning, "key_in_two_workspaces",
        {{"version", table.version()},
         {"workspaces", {first, second}},
         {"remedy", "give each workspace keys of its own; this one is refused"}});
  }
}

}  // namespace rattanramp::gateway
