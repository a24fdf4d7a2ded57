#include "control/operator_port.h"

#include <utility>

namespace rattanramp::control {
namespace {

constexpr int kServiceUnavailable = 503;
constexpr const char* kPlainText = "text/plain";
constexpr const char* kJson = "application/json";

}  // namespace

void RegisterOperatorRoutes(HttpServer& server, const Metrics& metrics,
                            OperatorCallbacks callbacks) {
  httplib::Server& routes = server.routes();
  routes.Get("/healthz", [](const httplib::Request&, httplib::Response& response) {
    response.set_content("ok\n", kPlainText);
  });
  routes.Get("/readyz", [reason = std::move(callbacks.not_ready_reason)](
                            const httplib::Request&, httplib::Response& response) {
    const std::string text = reason();
    if (!text.empty()) {
      response.status = kServiceUnavailable;
    }
    response.set_content(text.empty() ? "ready\n" : text + "\n", kPlainText);
  });
  routes.Get("/metrics", [&metrics](const httplib::Request&, httplib::Response& response) {
    response.set_content(metrics.PrometheusText(), "text/plain; version=0.0.4");
  });
  routes.Get("/state", [state = std::move(callbacks.state)](const httplib::Request&,
                                                            httplib::Response& response) {
    response.set_content(state().dump(2), kJson);
  });
}

}  // namespace rattanramp::control
