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
  /// "host:port"; port 0 picks a free port.
  std::string address;
  /// Connections served at the same time; each holds a thread while it is open.
  std::size_t max_connections = 1024;
  std::size_t max_body_bytes = 8 * 1024 * 1024;
  int keep_alive_seconds = 30;
  /// Unacknowledged data closes a connection after this time (TCP_USER_TIMEOUT).
  int user_timeout_ms = 10'000;
};

/// Owns an httplib::Server and the thread that accepts its connections.
class HttpServer {
 public:
  /// Binds the address. Errors: kInvalidArgument (bad address), kIo (port in use).
  static Result<std::unique_ptr<HttpServer>> Create(const HttpServerOptions& options);
  ~HttpServer();

  /// Register handlers on this before Start.
  httplib::Server& routes();
  /// Port that was bound.
  int port() const { return port_; }

  void Start();
  /// Stops accepting, then waits for the handlers that still run.
  void Stop();

  /// Number of open connections.
  std::size_t open_connections() const;

  /// True when the caller of the request handled by this thread has closed or reset its
  /// connection. Only valid inside a handler or content provider.
  static bool CallerHasLeft();

  /// Breaks the connection of the request handled by this thread, so that its caller gets no
  /// answer. For fault injection; only valid inside a handler or content provider.
  static void BreakConnection();

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
