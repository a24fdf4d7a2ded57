// HTTP API for callers.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/http_server.h"
#include "entry/access_log.h"
#include "entry/active_requests.h"
#include "entry/attempt.h"
#include "entry/service_directory.h"

namespace rattanramp::entry {

struct CallerApiContext {
  DriverContext drivers;
  DirectoryCache& directory;
  ActiveRequests& active;
  /// Returns a refusal while the process has no settings or is draining, else nullopt.
  std::function<std::optional<Refusal>()> not_serving;
  std::string failure_domain;
};

/// Implements the endpoints for callers. Must outlive the server.
class CallerApi {
 public:
  explicit CallerApi(CallerApiContext context);
  void Register(HttpServer& server);

 private:
  using Handler = void (CallerApi::*)(const httplib::Request&, httplib::Response&,
                                      AccessRecord& record, TimePoint arrived);

  /// Returns an HTTP handler that checks whether the entry serves, runs the handler, and writes the
  /// refusal and the access log.
  httplib::Server::Handler Wrap(const std::string& kind, Handler handler);
  void Generate(bool chat, const httplib::Request& request, httplib::Response& response,
                AccessRecord& record, TimePoint arrived);
  void Complete(const httplib::Request& request, httplib::Response& response, AccessRecord& record,
                TimePoint arrived);
  void Chat(const httplib::Request& request, httplib::Response& response, AccessRecord& record,
            TimePoint arrived);
  void Models(const httplib::Request& request, httplib::Response& response, AccessRecord& record,
              TimePoint arrived);
  void Call(const httplib::Request& request, httplib::Response& response, AccessRecord& record,
            TimePoint arrived);
  void IssueCallKey(const httplib::Request& request, httplib::Response& response,
                    AccessRecord& record, TimePoint arrived);
  RefusalOr<std::shared_ptr<const Service>> FindPlainService(const httplib::Request& request) const;
  Milliseconds Lease() const;

  CallerApiContext context_;
};

}  // namespace rattanramp::entry
