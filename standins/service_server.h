// Simulated HTTP service. GET requests are lookups. POST and PUT requests are runs, which are
// counted by idempotency key and body.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "base/http_server.h"
#include "standins/stop_flag.h"

namespace rattanramp::standins {

struct ServiceOptions {
  /// Processing time of each request.
  int delay_ms = 5;
  /// Maximum number of concurrent requests; further requests wait. 0 means no limit.
  int max_running = 0;
};

class ServiceServer {
 public:
  /// Listens at "host:port". Errors: kInvalidArgument (address), kIo (port in use).
  static Result<std::unique_ptr<ServiceServer>> Create(const std::string& listen,
                                                       const ServiceOptions& options);
  ~ServiceServer();

  int port() const { return server_->port(); }
  void Stop();

 private:
  struct Faults {
    int delay_ms = 0;
    bool drop_replies = false;
    /// HTTP status of all responses; 0 disables the fault.
    int fail_status = 0;
  };

  ServiceServer(std::unique_ptr<HttpServer> server, const ServiceOptions& options);

  void AddRoutes();
  void HandleRun(const httplib::Request& request, httplib::Response& response);
  void HandleLookup(const httplib::Request& request, httplib::Response& response);
  void HandleCounts(httplib::Response& response);
  void HandleFaults(const httplib::Request& request, httplib::Response& response);
  /// Waits for a free slot and then for the processing time. Returns false if the server stops
  /// before a slot is free.
  bool SimulateWork();
  /// Drops or replaces the response if a fault is active. Returns true if it did.
  bool ApplyFaults(httplib::Response& response);

  std::unique_ptr<HttpServer> server_;
  ServiceOptions options_;
  StopFlag stop_;
  std::mutex mutex_;
  std::condition_variable slot_free_;
  int running_ = 0;
  bool stopping_ = false;
  Faults faults_;
  std::int64_t last_claim_ = 0;
  std::int64_t lookups_ = 0;
  /// Number of runs by idempotency key and body.
  std::map<std::pair<std::string, std::string>, std::int64_t> runs_;
};

}  // namespace rattanramp::standins
