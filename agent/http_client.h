// Helpers over cpp-httplib's client for the upstream adapters.
#pragma once

#include <httplib.h>

#include <memory>
#include <string>

#include "agent/upstream_port.h"

namespace rattanramp::agent {

/// Client for one request. Its read timeout is the longest silence that is accepted.
std::unique_ptr<httplib::Client> MakeClient(const std::string& url, Milliseconds read_timeout);

/// Sends a request that control can interrupt.
struct HttpReply {
  /// kDone for any HTTP answer; kStopped, kRefused or kBroken otherwise.
  RunStatus status = RunStatus::kError;
  httplib::Response response;
  std::string message;
};
HttpReply SendRequest(httplib::Client& client, httplib::Request request, RunControl& control);

}  // namespace rattanramp::agent
