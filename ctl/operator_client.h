// HTTP client for the operator ports of processes.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"

namespace rattanramp::ctl {

struct OperatorResponse {
  int status = 0;
  std::string text;
  /// Parsed text; null when it is not JSON.
  nlohmann::json body;
};

/// Whether the status is 2xx.
bool IsOk(const OperatorResponse& response);

/// Message and remedy of a response whose status is not 2xx.
Error ErrorFromResponse(const OperatorResponse& response);

class OperatorClient {
 public:
  /// addresses are HOST:PORT, at least one. Errors: kInvalidArgument.
  static Result<OperatorClient> Create(std::vector<std::string> addresses, Milliseconds timeout);

  /// Sends the request to the addresses in order until one responds. Error: kUnavailable.
  Result<OperatorResponse> Get(
      const std::string& path,
      const std::multimap<std::string, std::string>& parameters = {}) const;

  /// Sends to one address, chosen by index modulo the number of addresses. Errors: kUnavailable
  /// (not sent), kReplyLost (may have taken effect).
  Result<OperatorResponse> Post(std::size_t index, const std::string& path,
                                const std::string& body) const;

  /// Sends the request to the addresses in order until a connection succeeds. Errors as for Post.
  Result<OperatorResponse> PostToAny(const std::string& path, const std::string& body) const;

  std::size_t address_count() const { return addresses_.size(); }

 private:
  OperatorClient(std::vector<std::string> addresses, Milliseconds timeout);

  std::vector<std::string> addresses_;
  Milliseconds timeout_;
};

}  // namespace rattanramp::ctl
