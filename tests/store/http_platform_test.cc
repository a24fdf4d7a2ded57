#include "store/http_platform.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>

#include "base/http_server.h"

using rattanramp::ErrorKind;
using rattanramp::HttpServer;
using rattanramp::HttpServerOptions;
using rattanramp::Milliseconds;
using rattanramp::Result;
namespace store = rattanramp::store;

namespace {

/// Platform that sends the same status and body in response to every request.
struct FixedResponsePlatform {
  FixedResponsePlatform(int status, const std::string& body) {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    server = std::move(HttpServer::Create(options).value());
    const auto handler = [status, body](const httplib::Request&, httplib::Response& response) {
      response.status = status;
      response.set_content(body, "application/json");
    };
    server->routes().Get(".*", handler);
    server->routes().Post(".*", handler);
    server->Start();
    store = std::move(store::HttpPlatform::Create(
                          "http://127.0.0.1:" + std::to_string(server->port()), Milliseconds(1000))
                          .value());
  }

  std::unique_ptr<HttpServer> server;
  std::unique_ptr<store::HttpPlatform> store;
};

}  // namespace

// Guards against reporting a write as not executed after a 5xx status. A proxy may have sent the
// status after the write had reached the table, so the outcome must be reported as unknown.
Test(http_platform, server_error_on_a_write_has_unknown_outcome) {
  for (const int status : {500, 502, 503, 504}) {
    const FixedResponsePlatform platform(status, "{}");
    const Result<store::CommitResult> result = platform.store->Commit({});
    cr_assert(!result.has_value());
    cr_assert_eq(result.error().kind, ErrorKind::kReplyLost, "status %d", status);
  }
  const FixedResponsePlatform rate_limited(429, "{}");
  cr_assert_eq(rate_limited.store->Commit({}).error().kind, ErrorKind::kUnavailable);
}

// Guards against an uncaught exception that terminates the process when a JSON member in a response
// has an unexpected type.
Test(http_platform, members_of_other_types_do_not_throw) {
  const FixedResponsePlatform platform(
      200, R"({"key":1,"value":[],"version":"x","rows":[1,{"key":null}],"vms":[7,{"id":false}]})");
  cr_assert(platform.store->Read("k").has_value());
  cr_assert(platform.store->Scan("k").has_value());
  cr_assert(platform.store->ListVms().has_value());
}
