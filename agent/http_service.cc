#include "agent/http_service.h"

#include <asio.hpp>
#include <utility>

#include "agent/http_client.h"
#include "base/http_server.h"

namespace rattanramp::agent {
namespace {

constexpr std::string_view kScheme = "http://";
constexpr Milliseconds kProbeTimeout{1000};

RunResult NotAnEngine() {
  RunResult result;
  result.status = RunStatus::kError;
  result.message = "the upstream is a plain service and does not support generation";
  return result;
}

}  // namespace

Result<std::unique_ptr<HttpService>> HttpService::Create(const std::string& url) {
  if (!url.starts_with(kScheme)) {
    return Error{ErrorKind::kInvalidArgument, "bad upstream.url '" + url + "'",
                 "write http://HOST:PORT"};
  }
  BOOST_OUTCOME_TRY(address, ParseHostPort(url.substr(kScheme.size())));
  return std::unique_ptr<HttpService>(new HttpService(url, address.host, address.port));
}

HttpService::HttpService(std::string url, std::string host, int port)
    : url_(std::move(url)), host_(std::move(host)), port_(port) {}

void HttpService::SetFence(std::int64_t fence) {}

PrefillResult HttpService::Prefill(const PrefillRequest& /*request*/, RunControl& /*control*/) {
  PrefillResult result;
  result.run = NotAnEngine();
  return result;
}

RunResult HttpService::Decode(const GenerateRequest& /*request*/, const RunSink& /*sink*/,
                              RunControl& /*control*/) {
  return NotAnEngine();
}

RunResult HttpService::Generate(const GenerateRequest& /*request*/, const RunSink& /*sink*/,
                                RunControl& /*control*/) {
  return NotAnEngine();
}

RunResult HttpService::Resume(const std::string& /*request_id*/, std::int64_t /*offset*/,
                              const RunSink& /*sink*/, RunControl& /*control*/) {
  return NotAnEngine();
}

Result<void> HttpService::Cancel(const std::string& /*request_id*/) { return Success(); }

Result<void> HttpService::CancelAll() { return Success(); }

CallReply HttpService::Call(const CallRequest& request, RunControl& control) {
  httplib::Request http_request;
  http_request.method = request.method;
  http_request.path = request.path;
  http_request.body = request.body;
  if (!request.content_type.empty()) {
    http_request.set_header("Content-Type", request.content_type);
  }
  if (!request.idempotency_key.empty()) {
    http_request.set_header("Idempotency-Key", request.idempotency_key);
  }
  http_request.set_header("X-Request-Id", request.request_id);
  const std::unique_ptr<http::StrictClient> client = MakeClient(url_, request.timeout);
  HttpReply reply = SendRequest(*client, std::move(http_request), control);
  CallReply result;
  result.status = reply.status;
  result.message = reply.message;
  if (reply.status == RunStatus::kDone) {
    result.http_status = reply.response.status;
    result.content_type = reply.response.get_header_value("Content-Type");
    result.body = std::move(reply.response.body);
    result.is_end_stated = reply.response.has_header("Content-Length") ||
                           reply.response.get_header_value("Transfer-Encoding") == "chunked";
  }
  return result;
}

Result<void> HttpService::SendOrder(const Order& /*order*/) {
  return Error{ErrorKind::kInvalidArgument, "a plain service does not accept orders", "none"};
}

Result<UpstreamLoad> HttpService::Load() {
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  asio::error_code error;
  const asio::ip::address ip = asio::ip::make_address(host_, error);
  if (error) {
    return Error{ErrorKind::kInvalidArgument, "bad IP address '" + host_ + "'",
                 "use an IP address in upstream.url"};
  }
  asio::error_code connected = asio::error::timed_out;
  socket.async_connect(asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port_)),
                       [&connected](const asio::error_code& result) { connected = result; });
  context.run_for(kProbeTimeout);
  if (connected == asio::error::timed_out) {
    socket.close(error);
    context.restart();
    context.run();
    return Error{ErrorKind::kTimeout, "service did not accept a connection within 1 s",
                 "check the service"};
  }
  if (connected) {
    return Error{ErrorKind::kUnavailable, "service refuses connections: " + connected.message(),
                 "check that the service runs"};
  }
  return UpstreamLoad{};
}

Result<CacheEvents> HttpService::Events(std::int64_t /*after*/) { return CacheEvents{}; }

}  // namespace rattanramp::agent
