#include "agent/program.h"

#include <memory>
#include <utility>

#include "agent/agent.h"
#include "agent/http_engine.h"
#include "agent/http_service.h"
#include "agent/lock_port.h"
#include "base/http_server.h"
#include "base/log.h"
#include "base/signals.h"
#include "control/operator_port.h"
#include "store/http_platform.h"

namespace rattanramp::agent {
namespace {

constexpr Milliseconds kPlatformTimeout{2000};
constexpr Milliseconds kSignalPollInterval{50};
constexpr int kExitWorkInterrupted = 3;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kServiceUnavailable = 503;
constexpr std::size_t kMaxOperatorConnections = 16;

Result<void> CheckBoot(const settings::BootConfig& boot) {
  if (boot.listen.link.empty() || boot.listen.operator_address.empty() ||
      boot.listen.lock.empty()) {
    return Error{ErrorKind::kInvalidArgument,
                 "boot file: an agent needs listen.link, listen.operator and listen.lock",
                 "write each as HOST:PORT"};
  }
  if (boot.upstream.url.empty()) {
    return Error{ErrorKind::kInvalidArgument, "boot file: 'upstream' is missing",
                 "set upstream.url and upstream.kind"};
  }
  if (boot.upstream.kind == "service" && boot.upstream.service.empty()) {
    return Error{ErrorKind::kInvalidArgument, "boot file: upstream.service is missing",
                 "set upstream.service to the name of the service that the upstream serves"};
  }
  return Success();
}

Result<std::unique_ptr<UpstreamPort>> MakeUpstream(const settings::UpstreamConfig& config) {
  if (config.kind == "engine") {
    BOOST_OUTCOME_TRY(engine, HttpEngine::Create(config.url));
    return std::unique_ptr<UpstreamPort>(std::move(engine));
  }
  BOOST_OUTCOME_TRY(service, HttpService::Create(config.url));
  return std::unique_ptr<UpstreamPort>(std::move(service));
}

void HandleOrder(Agent& agent, const httplib::Request& request, httplib::Response& response) {
  const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
  const auto text = [&body](const char* name) {
    return body.is_object() && body.contains(name) && body[name].is_string()
               ? body[name].get<std::string>()
               : std::string();
  };
  const Order order{text("kind"), text("name"), text("role")};
  if (order.kind.empty()) {
    response.status = kBadRequest;
    response.set_content("kind is missing\n", "text/plain");
    return;
  }
  const Result<void> sent = agent.SendOrder(order);
  if (!sent) {
    response.status = kServiceUnavailable;
    response.set_content(sent.error().message + "; " + sent.error().remedy + "\n", "text/plain");
    return;
  }
  response.set_content("ok\n", "text/plain");
}

void RegisterRoutes(HttpServer& server, Agent& agent) {
  control::RegisterOperatorRoutes(
      server, agent.metrics(),
      {[&agent] { return agent.NotReadyReason(); }, [&agent] { return agent.State(); }});
  server.routes().Post("/drain", [&agent](const httplib::Request&, httplib::Response& response) {
    agent.Drain();
    response.status = kAccepted;
    response.set_content("draining\n", "text/plain");
  });
  server.routes().Post("/orders",
                       [&agent](const httplib::Request& request, httplib::Response& response) {
                         HandleOrder(agent, request, response);
                       });
}

/// Waits for a stop signal or a drain request, drains the agent and returns the exit code.
int WaitForEnd(Agent& agent) {
  while (WaitForStopSignal(kSignalPollInterval) == 0 && !agent.draining()) {
  }
  agent.Drain();
  const TimePoint end =
      DefaultClock().now() + Milliseconds(agent.ProcessSettings().drain_timeout_ms);
  while (!agent.drained() && DefaultClock().now() < end) {
    WaitForStopSignal(kSignalPollInterval);
  }
  const std::size_t aborted = agent.active();
  Log(aborted == 0 ? LogLevel::kInfo : LogLevel::kWarning, "drain_ended", {{"cut", aborted}});
  return aborted == 0 ? 0 : kExitWorkInterrupted;
}

}  // namespace

Result<int> RunProgram(const ProgramOptions& options) {
  BOOST_OUTCOME_TRY(boot, settings::BootConfig::Load(options.config_file));
  BOOST_OUTCOME_TRYV(CheckBoot(boot));
  const Result<std::unique_ptr<LockPort>> lock = LockPort::Acquire(boot.listen.lock);
  if (!lock) {
    return lock.error();
  }
  BlockStopSignals();
  BOOST_OUTCOME_TRYV(InitLogging(boot.id, options.log_level));
  BOOST_OUTCOME_TRY(upstream, MakeUpstream(boot.upstream));
  BOOST_OUTCOME_TRY(store, store::HttpPlatform::Create(boot.platform_url, kPlatformTimeout));
  HttpServerOptions server_options;
  server_options.address = boot.listen.operator_address;
  server_options.max_connections = kMaxOperatorConnections;
  AgentParts parts;
  parts.boot = std::move(boot);
  parts.upstream = std::move(upstream);
  parts.store = std::move(store);
  parts.clock = &DefaultClock();
  BOOST_OUTCOME_TRY(agent, Agent::Create(std::move(parts)));
  BOOST_OUTCOME_TRY(server, HttpServer::Create(server_options));
  RegisterRoutes(*server, *agent);
  server->Start();
  agent->Start();
  Log(LogLevel::kInfo, "agent_started",
      {{"link_port", agent->link_port()}, {"operator_port", server->port()}});
  const int code = WaitForEnd(*agent);
  server->Stop();
  agent->Stop();
  ShutdownLogging();
  return code;
}

}  // namespace rattanramp::agent
