// Fixture that runs one exchange against a fleet of fake upstreams.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/request_context.h"
#include "tests/gateway/fake_engine.h"

namespace rattanramp::tests {

/// Records the answer and stops the event loop when the answer ends.
struct RecordingSink final : gateway::CallerSink {
  explicit RecordingSink(asio::io_context& context) : context(context) {}
  void Answer(int code, const http::Fields& answer_fields, std::string text) override;
  void StartStream(int code, const http::Fields& answer_fields, gateway::StreamEnd end) override;
  void StreamBytes(std::string_view bytes) override { body += bytes; }
  void EndStream() override;
  void Abort() override;
  std::size_t unsent_bytes() const override { return unsent; }

  asio::io_context& context;
  int status = 0;
  http::Fields fields;
  std::string body;
  /// Bytes that the caller has not read yet.
  std::size_t unsent = 0;
  bool is_complete = false;
  bool is_aborted = false;
};

class ExchangeFixture {
 public:
  ExchangeFixture();

  void Add(const std::string& id, core::UpstreamStage stage, std::uint16_t port,
           std::int64_t slots = 4);
  /// Removes the entry of an upstream and adds it again.
  std::shared_ptr<gateway::Upstream> RemoveAndReturn(const std::string& id);
  /// Returns a request that has just arrived.
  gateway::RequestContext MakeRequest(core::RequestKind kind, bool is_resumable,
                                      std::int64_t max_upstreams, std::int64_t timeout_ms) const;
  /// Runs one request until its answer ends, for at most 5 s.
  void Run(core::RequestKind kind, bool is_resumable, std::int64_t max_upstreams = 2,
           std::int64_t timeout_ms = 4'000);

  asio::io_context context;
  std::string request_id = "r1";
  std::string request_body;
  std::int64_t max_output_tokens = 100;
  /// Called with the exchange after it has started.
  std::function<void(gateway::Exchange&)> on_started = [](gateway::Exchange& /*exchange*/) {};
  gateway::Settings settings;
  gateway::Fleet fleet;
  Metrics metrics;
  gateway::Dispatcher dispatcher;
  std::map<std::string, core::RetryWindow> retry_windows;
  gateway::GatewayState state;
  RecordingSink sink;
};

}  // namespace rattanramp::tests
