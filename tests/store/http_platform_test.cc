#include "store/http_platform.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include "base/http_server.h"
#include "tests/gateway/fake_engine.h"
#include "tests/support/broken_heads.h"

using rattanramp::ErrorKind;
using rattanramp::HttpServer;
using rattanramp::HttpServerOptions;
using rattanramp::Milliseconds;
using rattanramp::Result;
using rattanramp::tests::FakeAnswer;
using rattanramp::tests::FakeEngine;
using rattanramp::tests::HeadsWithBadName;
using rattanramp::tests::HeadsWithBadStatus;
using rattanramp::tests::WithLength;
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

namespace {

/// Runs `use` with a client of a platform that sends `answer`.
template <typename Use>
auto WithPlatform(const FakeAnswer& answer, Use use) {
  FakeEngine server([&](const std::string& /*head*/, int /*number*/) { return answer; });
  return use(*store::HttpPlatform::Create("http://127.0.0.1:" + std::to_string(server.port()),
                                          Milliseconds(1000))
                  .value());
}

void ExpectNoAnswer(const std::vector<std::string>& heads) {
  for (const std::string& head : heads) {
    for (const bool is_closed : {false, true}) {
      FakeAnswer answer{WithLength(head, R"({"key":"k","rows":[],"vms":[]})")};
      answer.close = is_closed;
      WithPlatform(answer, [&](store::HttpPlatform& platform) {
        cr_expect(!platform.Read("k").has_value(), "read: '%s'", head.c_str());
        cr_expect(!platform.Scan("k").has_value(), "scan: '%s'", head.c_str());
        cr_expect(!platform.ListVms().has_value(), "VM list: '%s'", head.c_str());
        cr_expect(!platform.ReadObject("o").has_value(), "object: '%s'", head.c_str());
        const Result<store::CommitResult> commit = platform.Commit({});
        cr_expect(!commit.has_value() && commit.error().kind == ErrorKind::kReplyLost,
                  "commit: '%s'", head.c_str());
      });
    }
  }
}

}  // namespace

// Guards against an answer with a status that HTTP does not have, which does not show whether a
// write took effect.
Test(http_platform, status_out_of_range_is_no_answer, .timeout = 120) {
  ExpectNoAnswer(HeadsWithBadStatus());
}

// Guards against rows from an answer with a field whose name holds a blank or a control byte.
Test(http_platform, field_name_that_is_no_token_is_no_answer, .timeout = 120) {
  ExpectNoAnswer(HeadsWithBadName());
}

// Guards against a write that counts as done although the platform reset the connection while the
// request was still being sent.
Test(http_platform, answer_reset_during_the_upload_is_broken, .timeout = 120) {
  constexpr std::size_t kUploadBytes = 32 * 1024 * 1024;
  for (int round = 0; round < 20; ++round) {
    const Result<void> written =
        WithPlatform({"HTTP/1.1 200 OK\r\n\r\n{}", true}, [&](store::HttpPlatform& platform) {
          return platform.WriteObject("o", std::string(kUploadBytes, 'u'));
        });
    cr_expect(!written.has_value() && written.error().kind == ErrorKind::kReplyLost);
  }
}
