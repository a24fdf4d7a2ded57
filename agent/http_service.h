// UpstreamPort for a plain HTTP service. Only calls and the reachability probe are supported.
#pragma once

#include <memory>
#include <string>

#include "agent/upstream_port.h"

namespace rattanramp::agent {

class HttpService : public UpstreamPort {
 public:
  /// url has the form http://HOST:PORT. Error: kInvalidArgument.
  static Result<std::unique_ptr<HttpService>> Create(const std::string& url);

  void SetFence(std::int64_t fence) override;
  PrefillResult Prefill(const PrefillRequest& request, RunControl& control) override;
  RunResult Decode(const GenerateRequest& request, const RunSink& sink,
                   RunControl& control) override;
  RunResult Generate(const GenerateRequest& request, const RunSink& sink,
                     RunControl& control) override;
  RunResult Resume(const std::string& request_id, std::int64_t offset, const RunSink& sink,
                   RunControl& control) override;
  Result<void> Cancel(const std::string& request_id) override;
  Result<void> CancelAll() override;
  CallReply Call(const CallRequest& request, RunControl& control) override;
  Result<void> SendOrder(const Order& order) override;
  /// Checks only that the service accepts connections; the returned load is empty.
  Result<UpstreamLoad> Load() override;
  Result<CacheEvents> Events(std::int64_t after) override;

 private:
  HttpService(std::string url, std::string host, int port);

  std::string url_;
  std::string host_;
  int port_;
};

}  // namespace rattanramp::agent
