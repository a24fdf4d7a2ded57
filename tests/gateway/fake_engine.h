// Upstream for tests: answers each request as a script says, on a separate thread per connection.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rattanramp::tests {

struct FakeAnswer {
  std::string bytes;
  /// Resets the connection after the bytes; otherwise it stays open.
  bool reset = false;
  /// Sent after `bytes`, one after the other, each after a pause of `pause`.
  std::vector<std::string> later = {};
  std::chrono::milliseconds pause{0};
  /// If not empty: sent after all other bytes, again and again until the peer closes.
  std::string endless = {};
  /// Closes the connection in an orderly way after the bytes.
  bool close = false;
};

class FakeEngine {
 public:
  using Script = std::function<FakeAnswer(const std::string& head, int number)>;

  explicit FakeEngine(Script script);
  ~FakeEngine();

  std::uint16_t port() const { return port_; }
  /// Heads of the received requests.
  std::vector<std::string> heads() const;
  /// Number of connections that were accepted.
  std::size_t connections() const;
  /// Endless bytes that were written on all connections.
  std::size_t endless_bytes() const { return endless_bytes_; }

 private:
  void Serve(asio::ip::tcp::socket socket);

  Script script_;
  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  mutable std::mutex mutex_;
  std::vector<std::string> heads_;
  std::vector<std::thread> threads_;
  std::vector<std::shared_ptr<asio::ip::tcp::socket>> sockets_;
  std::atomic<bool> is_stopped_ = false;
  std::atomic<std::size_t> endless_bytes_ = 0;
  std::thread accept_thread_;
};

/// Value of a field in the head of a request; empty when the field is missing.
std::string FieldOf(const std::string& head, const std::string& name);

}  // namespace rattanramp::tests
