// Operator endpoints that every process serves: health, readiness, metrics and state dump.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>

#include "base/http_server.h"
#include "base/metrics.h"

namespace rattanramp::control {

/// Called on HTTP threads; must be safe from any thread.
struct OperatorCallbacks {
  /// Returns an empty string when the process is ready, otherwise the reason why it is not.
  std::function<std::string()> not_ready_reason;
  /// Returns the state of the process for GET /state.
  std::function<nlohmann::json()> state;
};

/// Registers GET /healthz, /readyz, /metrics and /state. metrics must outlive the server.
void RegisterOperatorRoutes(HttpServer& server, const Metrics& metrics,
                            OperatorCallbacks callbacks);

}  // namespace rattanramp::control
