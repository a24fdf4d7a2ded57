// HTTP interface towards callers.
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
  /// Refusal of new work while the process has no settings or is draining.
  std::function<std::optional<Refusal>()> not_serving;
  std::string failure_domain;
};

/// Registers the callers' endpoints. The object outlives the server.
class CallerApi {
 public:
  explicit CallerApi(CallerApiContext context);
  void Register(HttpServer& server);

 private:
  using Handler = void (CallerApi::*)(const httplib::Request&, httplib::Response&,
                                      AccessRecord& record, TimePoint arrived);

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
