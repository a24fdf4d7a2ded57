// Stand-in for a plain HTTP service: lookups by GET and counted runs by POST.
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
  int delay_ms = 5;
  /// Requests that run at the same time; others wait. 0 means no limit.
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
    /// 0 answers normally.
    int fail_status = 0;
  };

  ServiceServer(std::unique_ptr<HttpServer> server, const ServiceOptions& options);

  void AddRoutes();
  void HandleRun(const httplib::Request& request, httplib::Response& response);
  void HandleLookup(const httplib::Request& request, httplib::Response& response);
  void HandleCounts(httplib::Response& response);
  void HandleFaults(const httplib::Request& request, httplib::Response& response);
  /// Applies delay and slots. Returns false when the server is stopping.
  bool SimulateWork();
  /// Replaces the answer as the faults demand. Returns true if it did.
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
  /// Runs by key and body.
  std::map<std::pair<std::string, std::string>, std::int64_t> runs_;
};

}  // namespace rattanramp::standins
