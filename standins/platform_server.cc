#include "standins/platform_server.h"

#include <algorithm>
#include <optional>

#include "standins/http_json.h"

namespace rattanramp::standins {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr std::size_t kMaxConnections = 4096;
constexpr std::size_t kMaxObjectBytes = 64 * 1024 * 1024;
constexpr std::size_t kWeightChunkBytes = 64 * 1024;
/// Burst size of a rate limit: the number of requests that its rate allows in this many seconds.
constexpr double kBurstSeconds = 0.1;

json ToJson(const TableRow& row) {
  return {{"key", row.key}, {"value", row.value}, {"version", row.version}};
}

TableTransaction ParseTransaction(const json& body) {
  TableTransaction transaction;
  for (const json& condition : body.value("conditions", json::array())) {
    transaction.conditions.emplace_back(condition.at("key").get<std::string>(),
                                        condition.at("version").get<std::int64_t>());
  }
  for (const json& write : body.value("writes", json::array())) {
    const json& value = write.at("value");
    transaction.writes.emplace_back(
        write.at("key").get<std::string>(),
        value.is_null() ? std::nullopt : std::optional(value.get<std::string>()));
  }
  return transaction;
}

double Burst(double per_second) { return std::max(1.0, per_second * kBurstSeconds); }

}  // namespace

Result<std::unique_ptr<PlatformServer>> PlatformServer::Create(const std::string& listen,
                                                               const PlatformOptions& options) {
  HttpServerOptions server_options;
  server_options.address = listen;
  server_options.max_connections = kMaxConnections;
  server_options.max_body_bytes = kMaxObjectBytes;
  BOOST_OUTCOME_TRY(server, HttpServer::Create(server_options));
  return std::unique_ptr<PlatformServer>(new PlatformServer(std::move(server), options));
}

PlatformServer::PlatformServer(std::unique_ptr<HttpServer> server, const PlatformOptions& options)
    : server_(std::move(server)),
      options_(options),
      write_limit_(options.writes_per_second, Burst(options.writes_per_second)),
      read_limit_(options.reads_per_second, Burst(options.reads_per_second)),
      weight_limit_(options.weight_bytes_per_s, 0) {
  vm_lists_.emplace_back(TimePoint(), json{{"version", 0}, {"vms", json::array()}});
  AddTableRoutes();
  AddObjectRoutes();
  AddVmRoutes();
  AddTestRoutes();
  server_->Start();
}

PlatformServer::~PlatformServer() { Stop(); }

void PlatformServer::Stop() {
  stop_.Raise();
  server_->Stop();
}

PlatformServer::Faults PlatformServer::faults() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return faults_;
}

httplib::Server::Handler PlatformServer::WithFaultsAndLimits(Access access,
                                                             httplib::Server::Handler handler) {
  return [this, access, handler = WithJsonErrors(std::move(handler))](
             const httplib::Request& request, httplib::Response& response) {
    const Faults faults = this->faults();
    if (faults.mode == FaultMode::kDown && faults.status != 0) {
      SetJson(response, faults.status, {{"error", "simulated outage"}});
      return;
    }
    if (faults.mode == FaultMode::kDown) {
      HttpServer::ShutDownConnection();
      return;
    }
    if (faults.mode == FaultMode::kSlow && !stop_.Wait(Milliseconds(faults.slow_ms))) {
      HttpServer::ShutDownConnection();
      return;
    }
    TokenBucket& limit = access == Access::kWrite ? write_limit_ : read_limit_;
    const bool allowed = limit.TryTake(DefaultClock().now());
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      std::int64_t& counter = access == Access::kWrite ? write_count_ : read_count_;
      ++(allowed ? counter : rejected_count_);
    }
    if (!allowed) {
      SetJson(response, kTooManyRequests, {{"error", "rate limit exceeded"}});
      return;
    }
    handler(request, response);
    if (faults.mode == FaultMode::kReplyLost && access == Access::kWrite) {
      HttpServer::ShutDownConnection();
    }
  };
}

void PlatformServer::AddTableRoutes() {
  httplib::Server& routes = server_->routes();
  routes.Get("/table/rows",
             WithFaultsAndLimits(Access::kRead, [this](const httplib::Request& request,
                                                       httplib::Response& response) {
               json rows = json::array();
               for (const TableRow& row : table_.Scan(request.get_param_value("prefix"))) {
                 rows.push_back(ToJson(row));
               }
               SetJson(response, kOk, {{"rows", rows}});
             }));
  routes.Get("/table/rows/(.+)",
             WithFaultsAndLimits(Access::kRead, [this](const httplib::Request& request,
                                                       httplib::Response& response) {
               const std::optional<TableRow> row = table_.Read(request.matches[1]);
               if (!row) {
                 SetJson(response, kNotFound, {{"error", "row not found"}});
                 return;
               }
               SetJson(response, kOk, ToJson(*row));
             }));
  routes.Post("/table/transactions",
              WithFaultsAndLimits(Access::kWrite, [this](const httplib::Request& request,
                                                         httplib::Response& response) {
                HandleTransaction(request, response);
              }));
}

void PlatformServer::HandleTransaction(const httplib::Request& request,
                                       httplib::Response& response) {
  const json body = ParseObject(request, response);
  if (body.is_null()) {
    return;
  }
  const TableOutcome outcome = table_.Commit(ParseTransaction(body));
  if (outcome.committed) {
    SetJson(response, kOk, {{"versions", outcome.versions}});
    return;
  }
  SetJson(response, kConflict,
          {{"error", "conflict"},
           {"key", outcome.conflict_key},
           {"row", outcome.conflict_row ? ToJson(*outcome.conflict_row) : json()}});
}

void PlatformServer::AddObjectRoutes() {
  httplib::Server& routes = server_->routes();
  routes.Get("/objects/(.+)",
             WithFaultsAndLimits(Access::kRead, [this](const httplib::Request& request,
                                                       httplib::Response& response) {
               const std::lock_guard<std::mutex> lock(mutex_);
               const auto object = objects_.find(request.matches[1]);
               if (object == objects_.end()) {
                 SetJson(response, kNotFound, {{"error", "object not found"}});
                 return;
               }
               response.status = kOk;
               response.set_content(object->second, "application/octet-stream");
             }));
  routes.Put("/objects/(.+)",
             WithFaultsAndLimits(Access::kWrite, [this](const httplib::Request& request,
                                                        httplib::Response& response) {
               const std::lock_guard<std::mutex> lock(mutex_);
               objects_[request.matches[1]] = request.body;
               SetJson(response, kOk, {{"bytes", request.body.size()}});
             }));
  routes.Get("/weights/(.+)",
             WithFaultsAndLimits(Access::kRead, [this](const httplib::Request& request,
                                                       httplib::Response& response) {
               HandleWeights(request, response);
             }));
}

void PlatformServer::HandleWeights(const httplib::Request&, httplib::Response& response) {
  response.status = kOk;
  response.set_content_provider(
      static_cast<std::size_t>(options_.weight_bytes), "application/octet-stream",
      [this](std::size_t, std::size_t length, httplib::DataSink& sink) {
        const std::string chunk(std::min(length, kWeightChunkBytes), 'w');
        const Duration wait =
            weight_limit_.Reserve(static_cast<double>(chunk.size()), DefaultClock().now());
        return stop_.Wait(wait) && sink.write(chunk.data(), chunk.size());
      });
}

void PlatformServer::AddVmRoutes() {
  httplib::Server& routes = server_->routes();
  routes.Get("/vms", WithFaultsAndLimits(Access::kRead, [this](const httplib::Request&,
                                                               httplib::Response& response) {
               const std::lock_guard<std::mutex> lock(mutex_);
               const TimePoint now = DefaultClock().now();
               while (vm_lists_.size() > 1 && vm_lists_[1].first <= now) {
                 vm_lists_.pop_front();
               }
               SetJson(response, kOk, vm_lists_.front().second);
             }));
  // Simulates a change of the VM list by the platform itself, so faults and rate limits do not
  // apply.
  routes.Put("/vms",
             WithJsonErrors([this](const httplib::Request& request, httplib::Response& response) {
               const json body = json::parse(request.body, nullptr, false);
               const json vms = body.is_object() ? body.value("vms", json()) : body;
               if (!vms.is_array()) {
                 SetJson(response, kBadRequest, {{"error", "vms must be an array"}});
                 return;
               }
               const std::lock_guard<std::mutex> lock(mutex_);
               ++last_vm_version_;
               vm_lists_.emplace_back(DefaultClock().now() + Milliseconds(options_.vm_lag_ms),
                                      json{{"version", last_vm_version_}, {"vms", vms}});
               SetJson(response, kOk, {{"version", last_vm_version_}});
             }));
}

void PlatformServer::AddTestRoutes() {
  httplib::Server& routes = server_->routes();
  routes.Get("/counters", [this](const httplib::Request&, httplib::Response& response) {
    const std::lock_guard<std::mutex> lock(mutex_);
    SetJson(response, kOk,
            {{"reads", read_count_}, {"writes", write_count_}, {"refused", rejected_count_}});
  });
  routes.Post("/faults",
              WithJsonErrors([this](const httplib::Request& request, httplib::Response& response) {
                HandleFaults(request, response);
              }));
}

void PlatformServer::HandleFaults(const httplib::Request& request, httplib::Response& response) {
  const json body = ParseObject(request, response);
  if (body.is_null()) {
    return;
  }
  const std::map<std::string, FaultMode> modes = {{"ok", FaultMode::kOk},
                                                  {"down", FaultMode::kDown},
                                                  {"slow", FaultMode::kSlow},
                                                  {"reply_lost", FaultMode::kReplyLost}};
  const std::string name = body.value("mode", "ok");
  const auto mode = modes.find(name);
  if (mode == modes.end()) {
    SetJson(response, kBadRequest, {{"error", "mode must be ok, down, slow or reply_lost"}});
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  faults_ = {mode->second, body.value("slow_ms", 0), body.value("status", 0)};
  SetJson(response, kOk,
          {{"mode", name}, {"slow_ms", faults_.slow_ms}, {"status", faults_.status}});
}

}  // namespace rattanramp::standins
