// Decides whose a request is and whether it may run; see core/caller_keys.h and
// core/config_freshness.h for the rules.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "gateway/caller_sink.h"
#include "gateway/crash_guard.h"
#include "gateway/gateway_state.h"
#include "gateway/request_context.h"

namespace rattanramp::gateway {

/// Takes the key out of the request's head and finds its workspace. Returns false when the request
/// has been refused: with 401 if it has no valid key or one that no workspace holds, and with 503
/// if the configuration may be outdated. `request` has its table, route and time of arrival.
bool AdmitCaller(RequestContext& request, GatewayState& state, CallerSink& sink);

/// Returns why the request must not be sent to an upstream; empty: it may be sent. Called before
/// each attempt. Before the first one the key is checked against the configuration in force now; a
/// request that has been sent goes on, also at another upstream. Causes of crashes are checked,
/// too.
std::optional<CrashRefusal> CheckAttempt(RequestContext& request, GatewayState& state);

/// Whether requests with keys are refused because the configuration may be outdated.
bool IsConfigOutdated(const GatewayState& state);

/// False while each request would be refused because the configuration may be outdated: callers are
/// then served by other gateways. True if a route is public.
bool MayServeCallers(const GatewayState& state);

/// What the state page shows: version, age of the evidence and counts by workspace.
nlohmann::json CallerState(const GatewayState& state);

/// Logs faults in the keys of a version, without the keys.
void LogKeyFaults(const core::RoutingTable& table);

}  // namespace rattanramp::gateway
