#include "base/http_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>
#include <functional>
#include <utility>

#include "base/socket_stream.h"

namespace rattanramp {
namespace {

constexpr int kListenBacklog = 1024;
constexpr int kPollIntervalMs = 200;

thread_local int current_socket = -1;
thread_local bool close_after_response = false;

/// Not writable once the caller has closed its connection.
class CallerStream final : public SocketStream {
 public:
  using SocketStream::SocketStream;
  bool is_writable() const override {
    return !HttpServer::CallerHasDisconnected() && SocketStream::is_writable();
  }
};

}  // namespace

/// Runs each connection in its own thread, up to a limit. Connections above the limit wait in the
/// listen backlog.
class HttpServer::ThreadPerConnectionQueue : public httplib::TaskQueue {
 public:
  ThreadPerConnectionQueue(std::size_t max_connections,
                           std::shared_ptr<std::atomic<std::size_t>> connection_count)
      : max_connections_(max_connections), open_connections_(std::move(connection_count)) {}

  void enqueue(std::function<void()> task) override {
    std::unique_lock<std::mutex> lock(mutex_);
    // Blocks the accept thread, so that further connections stay in the listen backlog until a
    // thread ends.
    connection_ended_.wait(lock, [this] { return open_connections_->load() < max_connections_; });
    open_connections_->fetch_add(1);
    std::thread([this, task = std::move(task)] {
      task();
      const std::lock_guard<std::mutex> done_lock(mutex_);
      open_connections_->fetch_sub(1);
      connection_ended_.notify_all();
    }).detach();
  }

  void shutdown() override {
    std::unique_lock<std::mutex> lock(mutex_);
    connection_ended_.wait(lock, [this] { return open_connections_->load() == 0; });
  }

 private:
  std::size_t max_connections_;
  std::shared_ptr<std::atomic<std::size_t>> open_connections_;
  std::mutex mutex_;
  std::condition_variable connection_ended_;
};

/// Serves each accepted socket through CallerStream and records the socket of the current thread,
/// so that handlers can check whether the caller has closed the connection.
class HttpServer::SocketServer : public httplib::Server {
 public:
  std::atomic<bool> stopping{false};

 private:
  bool process_and_close_socket(socket_t socket) override {
    current_socket = socket;
    close_after_response = false;
    CallerStream stream(socket, TimeoutMs(read_timeout_sec_, read_timeout_usec_),
                        TimeoutMs(write_timeout_sec_, write_timeout_usec_));
    bool ok = true;
    bool connection_closed = false;
    for (std::size_t remaining = keep_alive_max_count_; remaining > 0; --remaining) {
      if (!WaitForRequest(stream)) {
        break;
      }
      stream.BeginHead();
      ok = process_request(stream, remaining == 1 || stopping.load(), connection_closed, nullptr);
      if (!ok || connection_closed || close_after_response) {
        break;
      }
    }
    current_socket = -1;
    shutdown(socket, SHUT_RDWR);
    close(socket);
    return ok;
  }

  bool WaitForRequest(const SocketStream& stream) const {
    for (std::int64_t waited_ms = 0; waited_ms < keep_alive_timeout_sec_ * 1000;
         waited_ms += kPollIntervalMs) {
      if (stopping.load()) {
        return WaitForEvent(stream.socket(), POLLIN, 0);
      }
      if (WaitForEvent(stream.socket(), POLLIN, kPollIntervalMs)) {
        return true;
      }
    }
    return false;
  }
};

HttpServer::HttpServer() : open_connections_(std::make_shared<std::atomic<std::size_t>>(0)) {}

Result<std::unique_ptr<HttpServer>> HttpServer::Create(const HttpServerOptions& options) {
  BOOST_OUTCOME_TRY(address, ParseHostPort(options.address));
  std::unique_ptr<HttpServer> server(new HttpServer());
  server->server_ = std::make_unique<SocketServer>();
  httplib::Server& routes = *server->server_;
  std::shared_ptr<int> listen_socket = std::make_shared<int>(-1);
  const int user_timeout_ms = options.user_timeout_ms;
  // The library sets SO_REUSEPORT by default, with which two processes could bind the same port
  // without an error.
  // TCP options set on the listening socket are inherited by accepted sockets.
  routes.set_socket_options([listen_socket, user_timeout_ms](socket_t socket) {
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof(user_timeout_ms));
    *listen_socket = socket;
  });
  routes.set_keep_alive_max_count(1'000'000);
  routes.set_keep_alive_timeout(options.keep_alive_seconds);
  routes.set_payload_max_length(options.max_body_bytes);
  routes.set_read_timeout(30, 0);
  routes.set_write_timeout(30, 0);
  const std::size_t max_connections = options.max_connections;
  const std::shared_ptr<std::atomic<std::size_t>> connection_count = server->open_connections_;
  routes.new_task_queue = [max_connections, connection_count] {
    return new ThreadPerConnectionQueue(max_connections, connection_count);
  };
  if (address.port == 0) {
    server->port_ = routes.bind_to_any_port(address.host);
  } else {
    server->port_ = routes.bind_to_port(address.host, address.port) ? address.port : -1;
  }
  if (server->port_ <= 0) {
    return Error{ErrorKind::kIo, "cannot listen on " + options.address,
                 "choose a free port or stop the process that uses it"};
  }
  // The library listens with a backlog of 5. In a burst of connections, those above it would wait
  // for a SYN retransmission.
  if (listen(*listen_socket, kListenBacklog) != 0) {
    return Error{ErrorKind::kIo, "cannot raise the listen backlog of " + options.address,
                 "check the socket limits of the VM"};
  }
  return server;
}

HttpServer::~HttpServer() { Stop(); }

httplib::Server& HttpServer::routes() { return *server_; }

void HttpServer::Start() {
  accept_thread_ = std::thread([this] { server_->listen_after_bind(); });
  while (!server_->is_running()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void HttpServer::Stop() {
  if (!accept_thread_.joinable()) {
    return;
  }
  server_->stopping.store(true);
  server_->stop();
  accept_thread_.join();
}

std::size_t HttpServer::open_connections() const { return open_connections_->load(); }

bool HttpServer::CallerHasDisconnected() {
  if (current_socket < 0) {
    return false;
  }
  pollfd entry{current_socket, POLLIN | POLLRDHUP, 0};
  if (poll(&entry, 1, 0) <= 0) {
    return false;
  }
  return (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void HttpServer::ShutDownConnection() {
  if (current_socket >= 0) {
    shutdown(current_socket, SHUT_RDWR);
  }
}

void HttpServer::CloseAfterResponse() { close_after_response = true; }

Result<HostPort> ParseHostPort(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  HostPort parsed;
  bool ok = colon != std::string::npos && colon > 0;
  if (ok) {
    parsed.host = address.substr(0, colon);
    const char* begin = address.data() + colon + 1;
    const char* end = address.data() + address.size();
    const std::from_chars_result result = std::from_chars(begin, end, parsed.port);
    constexpr int kMaxPort = 65535;
    ok = result.ec == std::errc() && result.ptr == end && parsed.port >= 0 &&
         parsed.port <= kMaxPort;
  }
  if (!ok) {
    return Error{ErrorKind::kInvalidArgument, "bad address '" + address + "'",
                 "write it as HOST:PORT, for example 127.0.0.1:8080"};
  }
  return parsed;
}

}  // namespace rattanramp
