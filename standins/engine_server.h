// HTTP interface of the simulated engine.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "base/http_server.h"
#include "standins/engine.h"

namespace rattanramp::standins {

class EngineServer {
 public:
  /// Listens at "host:port". Errors: kInvalidArgument (address or options), kIo (port in use).
  static Result<std::unique_ptr<EngineServer>> Create(const std::string& listen,
                                                      const EngineOptions& options);
  ~EngineServer();

  int port() const { return server_->port(); }
  Engine& engine() { return engine_; }
  void Stop();

 private:
  EngineServer(std::unique_ptr<HttpServer> server, const EngineOptions& options);

  void AddRoutes();
  void AddControlRoutes();
  void AddTestRoutes();
  void HandlePrefill(const httplib::Request& request, httplib::Response& response);
  void HandleDecode(const httplib::Request& request, httplib::Response& response);
  void HandleResume(const httplib::Request& request, httplib::Response& response);
  void HandleCancel(const httplib::Request& request, httplib::Response& response);
  void HandleOrder(const httplib::Request& request, httplib::Response& response);
  void HandleLoad(httplib::Response& response) const;
  void HandleFaults(const httplib::Request& request, httplib::Response& response);
  void StartStream(httplib::Response& response, const RequestPtr& request, std::int64_t offset);
  bool WriteStep(httplib::DataSink& sink, const RequestPtr& request, std::int64_t& offset);
  /// Returns a handler that calls the given one but sends no response on silenced connections. It
  /// does not register a route.
  httplib::Server::Handler WithSilentConnections(httplib::Server::Handler handler);
  bool ConnectionIsSilenced();
  /// Waits until the caller disconnects or the server stops, and then closes the connection.
  void WaitForDisconnect() const;

  std::unique_ptr<HttpServer> server_;
  Engine engine_;
  std::atomic<bool> stopping_{false};
  /// Incremented by the fault silent_connections. Connections whose first request came before the
  /// last increment get no more responses, except the connection that triggered the fault.
  std::atomic<std::uint64_t> silence_epoch_{1};
};

}  // namespace rattanramp::standins
