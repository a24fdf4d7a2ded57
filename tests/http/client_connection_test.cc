#include "http/client_connection.h"

#include <criterion/criterion.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <optional>
#include <string>
#include <thread>

using namespace rattanramp;
using asio::ip::tcp;

namespace {

struct Recorder final : http::ResponseListener {
  bool OnHead(const http::ResponseHead& head) override {
    ++heads;
    const std::string* id = http::FindField(head.fields, "Id");
    return id == nullptr || *id == expected_id;
  }
  void OnBody(std::string_view bytes) override { body.append(bytes); }
  void OnComplete(bool reusable) override { is_reusable = reusable; }
  void OnFailure(http::ExchangeFailure what) override { failure = what; }

  std::string expected_id;
  std::string body;
  int heads = 0;
  std::optional<bool> is_reusable;
  std::optional<http::ExchangeFailure> failure;
};

/// Accepts one connection, reads a head, writes the answer and closes (in order or by a reset).
void ServeOnce(tcp::acceptor& acceptor, const std::string& answer, bool reset) {
  tcp::socket socket = acceptor.accept();
  std::string request;
  asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
  asio::write(socket, asio::buffer(answer));
  if (reset) {
    socket.set_option(asio::socket_base::linger(true, 0));
  }
  socket.close();
}

Recorder Exchange(const std::string& answer, bool reset, const std::string& expected_id = "") {
  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::thread server([&] { ServeOnce(acceptor, answer, reset); });
  Recorder recorder;
  recorder.expected_id = expected_id;
  const std::shared_ptr<http::ClientConnection> connection =
      http::ClientConnection::Create(context, acceptor.local_endpoint(), Milliseconds(1'000));
  connection->Send("GET / HTTP/1.1\r\n\r\n", nullptr, false, recorder);
  context.run();
  server.join();
  return recorder;
}

}  // namespace

// Guards against an answer without a length that was reset on the way counting as whole.
Test(client_connection, unframed_answer_counts_only_after_an_orderly_close, .timeout = 20) {
  const std::string answer = "HTTP/1.1 200 OK\r\n\r\nwhole";
  const Recorder whole = Exchange(answer, false);
  cr_assert(whole.is_reusable.has_value());
  cr_assert(!*whole.is_reusable);
  cr_assert_eq(whole.body, "whole");
  const Recorder cut = Exchange(answer, true);
  cr_assert(!cut.is_reusable.has_value());
  cr_assert(cut.failure == http::ExchangeFailure::kBroken);
}

// Guards against a late second answer being taken for the answer to the next request.
Test(client_connection, answer_to_another_request_is_dropped, .timeout = 20) {
  const Recorder recorder = Exchange(
      "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
      "HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 3\r\n\r\nnew",
      false, "new");
  cr_assert_eq(recorder.heads, 2);
  cr_assert_eq(recorder.body, "new");
  cr_assert(recorder.is_reusable.has_value());
}

// Guards against a connection being used again although bytes follow the answer.
Test(client_connection, bytes_after_the_answer_end_the_connection, .timeout = 20) {
  const Recorder recorder =
      Exchange("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", false);
  cr_assert_eq(recorder.body, "ok");
  cr_assert(recorder.is_reusable.has_value());
  cr_assert(!*recorder.is_reusable);
}

// Guards against "not sent" being claimed for a request that may have arrived.
Test(client_connection, failures_tell_whether_the_request_was_sent, .timeout = 20) {
  const Recorder broken = Exchange("", true);
  cr_assert(broken.failure == http::ExchangeFailure::kBroken);

  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const tcp::endpoint free = acceptor.local_endpoint();
  acceptor.close();
  Recorder recorder;
  const std::shared_ptr<http::ClientConnection> connection =
      http::ClientConnection::Create(context, free, Milliseconds(1'000));
  connection->Send("GET / HTTP/1.1\r\n\r\n", nullptr, false, recorder);
  context.run();
  cr_assert(recorder.failure == http::ExchangeFailure::kNotConnected);
}
