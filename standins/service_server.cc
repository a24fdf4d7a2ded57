#include "standins/service_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "standins/http_json.h"

namespace rattanramp::standins {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr std::size_t kMaxConnections = 4096;

}  // namespace

Result<std::unique_ptr<ServiceServer>> ServiceServer::Create(const std::string& listen,
                                                             const ServiceOptions& options) {
  HttpServerOptions server_options;
  server_options.address = listen;
  server_options.max_connections = kMaxConnections;
  BOOST_OUTCOME_TRY(server, HttpServer::Create(server_options));
  return std::unique_ptr<ServiceServer>(new ServiceServer(std::move(server), options));
}

ServiceServer::ServiceServer(std::unique_ptr<HttpServer> server, const ServiceOptions& options)
    : server_(std::move(server)), options_(options) {
  faults_.delay_ms = options.delay_ms;
  AddRoutes();
  server_->Start();
}

ServiceServer::~ServiceServer() { Stop(); }

void ServiceServer::Stop() {
  stop_.Raise();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  slot_free_.notify_all();
  server_->Stop();
}

void ServiceServer::AddRoutes() {
  httplib::Server& routes = server_->routes();
  routes.Get("/counts", [this](const httplib::Request&, httplib::Response& response) {
    HandleCounts(response);
  });
  routes.Post("/faults",
              WithJsonErrors([this](const httplib::Request& request, httplib::Response& response) {
                HandleFaults(request, response);
              }));
  routes.Get(".*", [this](const httplib::Request& request, httplib::Response& response) {
    HandleLookup(request, response);
  });
  const httplib::Server::Handler run = [this](const httplib::Request& request,
                                              httplib::Response& response) {
    HandleRun(request, response);
  };
  routes.Post(".*", run);
  routes.Put(".*", run);
}

bool ServiceServer::SimulateWork() {
  int delay_ms = 0;
  {
    std::unique_lock<std::mutex> lock(mutex_);
    slot_free_.wait(lock, [this] {
      return stopping_ || options_.max_running == 0 || running_ < options_.max_running;
    });
    if (stopping_) {
      return false;
    }
    ++running_;
    delay_ms = faults_.delay_ms;
  }
  stop_.Wait(Milliseconds(delay_ms));
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    --running_;
  }
  slot_free_.notify_one();
  return true;
}

bool ServiceServer::ApplyFaults(httplib::Response& response) {
  Faults faults;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    faults = faults_;
  }
  if (faults.drop_replies) {
    HttpServer::ShutDownConnection();
    return true;
  }
  if (faults.fail_status != 0) {
    SetJson(response, faults.fail_status, {{"error", "simulated failure"}});
    return true;
  }
  return false;
}

void ServiceServer::HandleRun(const httplib::Request& request, httplib::Response& response) {
  const std::string key = request.get_header_value("Idempotency-Key");
  std::int64_t claim = 0;
  {
    // A run is counted when it starts, so that it is counted even if the caller disconnects.
    const std::lock_guard<std::mutex> lock(mutex_);
    claim = ++last_claim_;
    ++runs_[{key, request.body}];
  }
  SimulateWork();
  if (!ApplyFaults(response)) {
    SetJson(response, kCreated, {{"claim", claim}, {"path", request.path}, {"key", key}});
  }
}

void ServiceServer::HandleLookup(const httplib::Request& request, httplib::Response& response) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++lookups_;
  }
  SimulateWork();
  if (!ApplyFaults(response)) {
    SetJson(response, kOk, {{"path", request.path}, {"found", true}});
  }
}

void ServiceServer::HandleCounts(httplib::Response& response) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::int64_t total = 0;
  std::map<std::string, std::int64_t> by_key;
  for (const auto& [run, count] : runs_) {
    total += count;
    by_key[run.first] += count;
  }
  // Requests without an idempotency key may run more than once, so they are not included in the
  // maximum.
  std::int64_t max_runs_per_key = 0;
  json runs = json::array();
  for (const auto& [run, count] : runs_) {
    runs.push_back({{"key", run.first}, {"body", run.second}, {"count", count}});
  }
  for (const auto& [key, count] : by_key) {
    max_runs_per_key = key.empty() ? max_runs_per_key : std::max(max_runs_per_key, count);
  }
  SetJson(response, kOk,
          {{"total", total},
           {"max_runs_per_key", max_runs_per_key},
           {"runs", runs},
           {"lookups", lookups_}});
}

void ServiceServer::HandleFaults(const httplib::Request& request, httplib::Response& response) {
  const json body = ParseObject(request, response);
  if (body.is_null()) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  faults_.delay_ms = body.value("delay_ms", faults_.delay_ms);
  faults_.drop_replies = body.value("drop_replies", faults_.drop_replies);
  faults_.fail_status = body.value("fail_status", faults_.fail_status);
  SetJson(response, kOk,
          {{"delay_ms", faults_.delay_ms},
           {"drop_replies", faults_.drop_replies},
           {"fail_status", faults_.fail_status}});
}

}  // namespace rattanramp::standins
