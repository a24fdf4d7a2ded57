// UpstreamPort for the HTTP interface of a model engine.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "agent/upstream_port.h"

namespace rattanramp::agent {

class HttpEngine : public UpstreamPort {
 public:
  /// url has the form http://HOST:PORT. Error: kInvalidArgument.
  static Result<std::unique_ptr<HttpEngine>> Create(const std::string& url);

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
  Result<UpstreamLoad> Load() override;
  Result<CacheEvents> Events(std::int64_t after) override;

 private:
  explicit HttpEngine(std::string url);

  std::string url_;
  std::atomic<std::int64_t> fence_{0};
};

}  // namespace rattanramp::agent
