// Simulated platform with an HTTP interface to a table, an object store, model weights and a VM
// list that shows changes after a delay.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "base/http_server.h"
#include "standins/platform_table.h"
#include "standins/stop_flag.h"
#include "standins/token_bucket.h"

namespace rattanramp::standins {

struct PlatformOptions {
  /// Delay until a new VM list becomes visible.
  int vm_lag_ms = 0;
  /// Rate limits of all writes and of all reads of the table, objects, weights and VM list; 0 means
  /// no limit.
  double writes_per_second = 0;
  double reads_per_second = 0;
  /// Bandwidth shared by all downloads of weights.
  double weight_bytes_per_s = 50e6;
  /// Size of each weight file.
  std::int64_t weight_bytes = 1'000'000;
};

class PlatformServer {
 public:
  /// Listens at "host:port". Errors: kInvalidArgument (address), kIo (port in use).
  static Result<std::unique_ptr<PlatformServer>> Create(const std::string& listen,
                                                        const PlatformOptions& options);
  ~PlatformServer();

  int port() const { return server_->port(); }
  void Stop();

 private:
  /// kDown rejects all requests, kSlow delays them, and kReplyLost applies writes but closes the
  /// connection instead of sending the response.
  enum class FaultMode { kOk, kDown, kSlow, kReplyLost };
  enum class Access { kRead, kWrite };

  struct Faults {
    FaultMode mode = FaultMode::kOk;
    int slow_ms = 0;
    /// HTTP status of responses in mode kDown; 0 closes the connection without a response.
    int status = 0;
  };

  PlatformServer(std::unique_ptr<HttpServer> server, const PlatformOptions& options);

  void AddTableRoutes();
  void AddObjectRoutes();
  void AddVmRoutes();
  void AddTestRoutes();
  /// Returns a handler that applies the faults and the rate limit for the kind of access, counts
  /// the request and calls the given handler.
  httplib::Server::Handler WithFaultsAndLimits(Access access, httplib::Server::Handler handler);
  void HandleTransaction(const httplib::Request& request, httplib::Response& response);
  void HandleWeights(const httplib::Request& request, httplib::Response& response);
  void HandleFaults(const httplib::Request& request, httplib::Response& response);
  Faults faults();

  std::unique_ptr<HttpServer> server_;
  PlatformOptions options_;
  StopFlag stop_;
  PlatformTable table_;
  TokenBucket write_limit_;
  TokenBucket read_limit_;
  TokenBucket weight_limit_;
  std::mutex mutex_;
  Faults faults_;
  std::int64_t read_count_ = 0;
  std::int64_t write_count_ = 0;
  std::int64_t rejected_count_ = 0;
  std::map<std::string, std::string> objects_;
  std::int64_t last_vm_version_ = 0;
  /// VM lists and the times at which they become visible, oldest first. Never empty.
  std::deque<std::pair<TimePoint, nlohmann::json>> vm_lists_;
};

}  // namespace rattanramp::standins
