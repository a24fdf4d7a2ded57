#include "agent/http_client.h"

#include <cstdint>
#include <string>
#include <utility>

namespace rattanramp::agent {
namespace {

constexpr Milliseconds kConnectTimeout{1000};
constexpr Milliseconds kWriteTimeout{5000};

// Largest body of an answer that is kept until it is complete. Answers of services have some KB.
constexpr std::size_t kMaxReplyBytes = 4 * 1024 * 1024;

RunStatus StatusOf(httplib::Error error) {
  const bool nothing_sent = error == httplib::Error::Connection ||
                            error == httplib::Error::ConnectionTimeout ||
                            error == httplib::Error::BindIPAddress;
  return nothing_sent ? RunStatus::kRefused : RunStatus::kBroken;
}

}  // namespace

std::unique_ptr<http::StrictClient> MakeClient(const std::string& url, Milliseconds read_timeout) {
  std::unique_ptr<http::StrictClient> client = http::StrictClient::Create(url);
  client->set_connection_timeout(kConnectTimeout);
  client->set_read_timeout(read_timeout);
  client->set_write_timeout(kWriteTimeout);
  client->set_tcp_nodelay(true);
  // The path of a call is already URL-encoded and must be forwarded unchanged.
  client->set_url_encode(false);
  return client;
}

HttpReply SendRequest(http::StrictClient& client, httplib::Request request, RunControl& control) {
  HttpReply reply;
  if (control.stopped()) {
    reply.status = RunStatus::kStopped;
    return reply;
  }
  std::string body;
  bool is_too_large = false;
  const bool keeps_body = !request.content_receiver;
  if (keeps_body) {
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t,
                                   std::uint64_t) {
      is_too_large = size > kMaxReplyBytes - body.size();
      if (!is_too_large) {
        body.append(data, size);
      }
      return !is_too_large;
    };
  }
  httplib::Error error = httplib::Error::Success;
  control.SetInterrupt([&client] { client.stop(); });
  const bool sent = client.send(request, reply.response, error);
  control.ClearInterrupt();
  if (sent) {
    reply.status = RunStatus::kDone;
    if (keeps_body) {
      reply.response.body = std::move(body);
    }
    return reply;
  }
  if (is_too_large) {
    reply.status = RunStatus::kBroken;
    reply.message = "the answer exceeds " + std::to_string(kMaxReplyBytes) + " bytes";
    return reply;
  }
  reply.status = control.stopped() ? RunStatus::kStopped : StatusOf(error);
  reply.message = httplib::to_string(error);
  return reply;
}

}  // namespace rattanramp::agent
