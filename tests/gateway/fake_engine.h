// Upstream for tests: answers each request as a script says, on a separate thread per connection.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <atomic>
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
};

class FakeEngine {
 public:
  using Script = std::function<FakeAnswer(const std::string& head, int number)>;

  explicit FakeEngine(Script script);
  ~FakeEngine();

  std::uint16_t port() const { return port_; }
  /// Heads of the received requests.
  std::vector<std::string> heads() const;

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
  std::thread accept_thread_;
};

/// Value of a field in the head of a request; empty when the field is missing.
std::string FieldOf(const std::string& head, const std::string& name);

}  // namespace rattanramp::tests
