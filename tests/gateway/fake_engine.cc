#include "tests/gateway/fake_engine.h"

#include <sys/socket.h>

#include <asio/buffer.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

namespace rattanramp::tests {

using asio::ip::tcp;

FakeEngine::FakeEngine(Script script)
    : script_(std::move(script)),
      acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      port_(acceptor_.local_endpoint().port()) {
  accept_thread_ = std::thread([this] {
    while (true) {
      std::error_code error;
      tcp::socket socket = acceptor_.accept(error);
      if (error || is_stopped_) {
        return;
      }
      const std::lock_guard lock(mutex_);
      threads_.emplace_back([this, shared = std::make_shared<tcp::socket>(std::move(
                                       socket))]() mutable { Serve(std::move(*shared)); });
    }
  });
}

FakeEngine::~FakeEngine() {
  is_stopped_ = true;
  // Unblocks the threads that wait for connections or bytes.
  ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  accept_thread_.join();
  {
    const std::lock_guard lock(mutex_);
    for (const std::shared_ptr<tcp::socket>& socket : sockets_) {
      ::shutdown(socket->native_handle(), SHUT_RDWR);
    }
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

std::vector<std::string> FakeEngine::heads() const {
  const std::lock_guard lock(mutex_);
  return heads_;
}

std::size_t FakeEngine::connections() const {
  const std::lock_guard lock(mutex_);
  return threads_.size();
}

void FakeEngine::Serve(tcp::socket moved) {
  const std::shared_ptr<tcp::socket> socket = std::make_shared<tcp::socket>(std::move(moved));
  {
    const std::lock_guard lock(mutex_);
    sockets_.push_back(socket);
  }
  std::string buffer;
  std::error_code error;
  while (!is_stopped_) {
    const std::size_t size =
        asio::read_until(*socket, asio::dynamic_buffer(buffer), "\r\n\r\n", error);
    if (error) {
      return;
    }
    const std::string head = buffer.substr(0, size);
    buffer.erase(0, size);
    int number = 0;
    {
      const std::lock_guard lock(mutex_);
      number = static_cast<int>(heads_.size());
      heads_.push_back(head);
    }
    const FakeAnswer answer = script_(head, number);
    asio::write(*socket, asio::buffer(answer.bytes), error);
    for (const std::string& bytes : answer.later) {
      std::this_thread::sleep_for(answer.pause);
      asio::write(*socket, asio::buffer(bytes), error);
      if (error || is_stopped_) {
        return;
      }
    }
    while (!answer.endless.empty() && !error && !is_stopped_) {
      endless_bytes_ += asio::write(*socket, asio::buffer(answer.endless), error);
    }
    if (answer.close) {
      socket->shutdown(tcp::socket::shutdown_both, error);
      return;
    }
    if (answer.reset) {
      // Waits until the peer has read the bytes: a reset drops bytes that it has not read.
      std::this_thread::sleep_for(std::chrono::milliseconds(30));
      socket->set_option(asio::socket_base::linger(true, 0), error);
      const std::lock_guard lock(mutex_);
      socket->close(error);
      std::erase(sockets_, socket);
      return;
    }
  }
}

std::string FieldOf(const std::string& head, const std::string& name) {
  const std::size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t from = at + name.size() + 4;
  return head.substr(from, head.find("\r\n", from) - from);
}

}  // namespace rattanramp::tests
