// HTTP server on cpp-httplib with the options that rattanramp needs.
#pragma once

#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include "base/result.h"

namespace rattanramp {

struct HttpServerOptions {
  /// "host:port"; port 0 selects a free port.
  std::string address;
  /// Maximum number of open connections; each occupies one thread.
  std::size_t max_connections = 1024;
  std::size_t max_body_bytes = 8 * 1024 * 1024;
  int keep_alive_seconds = 30;
  /// A connection is closed when sent data stays unacknowledged for this time (TCP_USER_TIMEOUT).
  int user_timeout_ms = 10'000;
};

/// Owns an httplib::Server and the thread that accepts its connections.
class HttpServer {
 public:
  /// Binds the address. Errors: kInvalidArgument (bad address), kIo (port in use).
  static Result<std::unique_ptr<HttpServer>> Create(const HttpServerOptions& options);
  ~HttpServer();

  /// Server on which handlers are registered, before Start.
  httplib::Server& routes();
  /// Bound port; differs from the requested one when that was 0.
  int port() const { return port_; }

  void Start();
  /// Stops accepting connections, then waits for running handlers to return.
  void Stop();

  std::size_t open_connections() const;

  /// Whether the caller of the request handled by this thread has closed or reset its connection.
  /// Only valid inside a handler or content provider.
  static bool CallerHasDisconnected();

  /// Shuts down the connection of the request handled by this thread, so that the caller receives
  /// no response. For fault injection; only valid inside a handler or content provider.
  static void ShutDownConnection();

  /// Closes the connection of the request handled by this thread once the response is written. The
  /// handler sets the Connection header itself. Only valid inside a handler.
  static void CloseAfterResponse();

 private:
  class SocketServer;
  class ThreadPerConnectionQueue;
  HttpServer();

  std::shared_ptr<std::atomic<std::size_t>> open_connections_;
  std::unique_ptr<SocketServer> server_;
  std::thread accept_thread_;
  int port_ = 0;
};

struct HostPort {
  std::string host;
  int port = 0;
};

/// Splits "host:port". Error: kInvalidArgument.
Result<HostPort> ParseHostPort(const std::string& address);

}  // namespace rattanramp
