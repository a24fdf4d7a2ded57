// Helpers for the HTTP client of the upstream adapters, based on StrictClient.
#pragma once

#include <memory>
#include <string>

#include "agent/upstream_port.h"
#include "http/strict_client.h"

namespace rattanramp::agent {

/// Creates a client for one request. read_timeout is the longest time without received data.
std::unique_ptr<http::StrictClient> MakeClient(const std::string& url, Milliseconds read_timeout);

/// Result of SendRequest.
struct HttpReply {
  /// kDone for any HTTP answer; kStopped, kRefused or kBroken otherwise.
  RunStatus status = RunStatus::kError;
  httplib::Response response;
  std::string message;
};

/// Sends a request that control can interrupt.
HttpReply SendRequest(http::StrictClient& client, httplib::Request request, RunControl& control);

}  // namespace rattanramp::agent
