#include "http/client_connection.h"

#include <criterion/criterion.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <memory>
#include <optional>
#include <string>
#include <thread>

using namespace rattanramp;
using asio::ip::tcp;

namespace {

struct RecordingListener final : http::ResponseListener {
  bool OnHead(const http::ResponseHead& head) override {
    ++head_count;
    const std::string* id = http::FindField(head.fields, "Id");
    return id == nullptr || *id == expected_id;
  }
  void OnBody(std::string_view bytes) override { body.append(bytes); }
  void OnComplete(bool reusable) override { is_reusable = reusable; }
  void OnFailure(http::ExchangeFailure reported_failure) override { failure = reported_failure; }

  std::string expected_id;
  std::string body;
  int head_count = 0;
  std::optional<bool> is_reusable;
  std::optional<http::ExchangeFailure> failure;
};

/// Accepts one connection, reads a request head, writes the response and closes the connection,
/// normally or by a reset.
void ServeOneResponse(tcp::acceptor& acceptor, const std::string& response, bool reset) {
  tcp::socket socket = acceptor.accept();
  std::string request;
  asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
  asio::write(socket, asio::buffer(response));
  if (reset) {
    socket.set_option(asio::socket_base::linger(true, 0));
  }
  socket.close();
}

RecordingListener ExchangeOneRequest(const std::string& response, bool reset,
                                     const std::string& expected_id = "") {
  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::thread server([&] { ServeOneResponse(acceptor, response, reset); });
  RecordingListener recorder;
  recorder.expected_id = expected_id;
  const std::shared_ptr<http::ClientConnection> connection =
      http::ClientConnection::Create(context, acceptor.local_endpoint(), Milliseconds(1'000));
  connection->Send("GET / HTTP/1.1\r\n\r\n", nullptr, false, recorder);
  context.run();
  server.join();
  return recorder;
}

}  // namespace

// Guards against a truncated response being reported as complete. A response without a length ends
// when the connection is closed, so a reset must be reported as a failure.
Test(client_connection, response_without_length_is_complete_only_after_orderly_close,
     .timeout = 20) {
  const std::string response = "HTTP/1.1 200 OK\r\n\r\nwhole";
  const RecordingListener complete = ExchangeOneRequest(response, false);
  cr_assert(complete.is_reusable.has_value());
  cr_assert(!*complete.is_reusable);
  cr_assert_eq(complete.body, "whole");
  const RecordingListener truncated = ExchangeOneRequest(response, true);
  cr_assert(!truncated.is_reusable.has_value());
  cr_assert(truncated.failure == http::ExchangeFailure::kConnectionReset);
}

// Guards against an orderly end and a reset that the log cannot tell apart.
Test(client_connection, orderly_end_and_reset_are_told_apart, .timeout = 20) {
  const std::string part = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
  cr_assert(ExchangeOneRequest(part, false).failure == http::ExchangeFailure::kConnectionClosed);
  cr_assert(ExchangeOneRequest(part, true).failure == http::ExchangeFailure::kConnectionReset);
}

// Guards against a late response being reported as the response to the next request. The listener
// rejects it in OnHead; the connection must discard its body and parse the response that follows.
Test(client_connection, response_to_another_request_is_discarded, .timeout = 20) {
  const RecordingListener recorder = ExchangeOneRequest(
      "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
      "HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 3\r\n\r\nnew",
      false, "new");
  cr_assert_eq(recorder.head_count, 2);
  cr_assert_eq(recorder.body, "new");
  cr_assert(recorder.is_reusable.has_value());
}

// Guards against reusing a connection on which further bytes have arrived after the response: they
// would be parsed as the response to the next request.
Test(client_connection, connection_with_bytes_after_the_response_is_not_reusable, .timeout = 20) {
  const RecordingListener recorder = ExchangeOneRequest(
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", false);
  cr_assert_eq(recorder.body, "ok");
  cr_assert(recorder.is_reusable.has_value());
  cr_assert(!*recorder.is_reusable);
}

// Guards against reporting a request as not sent (kNotConnected) although the server may have
// received it: it could then be sent again and run twice.
Test(client_connection, failure_states_whether_the_request_was_sent, .timeout = 20) {
  const RecordingListener reset = ExchangeOneRequest("", true);
  cr_assert(reset.failure == http::ExchangeFailure::kConnectionReset);

  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const tcp::endpoint unused_endpoint = acceptor.local_endpoint();
  acceptor.close();
  RecordingListener recorder;
  const std::shared_ptr<http::ClientConnection> connection =
      http::ClientConnection::Create(context, unused_endpoint, Milliseconds(1'000));
  connection->Send("GET / HTTP/1.1\r\n\r\n", nullptr, false, recorder);
  context.run();
  cr_assert(recorder.failure == http::ExchangeFailure::kNotConnected);
}

// Guards against a request that was given up being delivered later (review case 1): an orderly
// close leaves the bytes with TCP, which sends them again when a partition has ended. Also when the
// process ends without closing the connection.
Test(client_connection, given_up_request_is_reset, .timeout = 20) {
  for (const bool is_closed : {true, false}) {
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    RecordingListener recorder;
    {
      asio::io_context client_context;
      const std::shared_ptr<http::ClientConnection> connection = http::ClientConnection::Create(
          client_context, acceptor.local_endpoint(), Milliseconds(1'000));
      connection->Send("POST /order HTTP/1.1\r\nContent-Length: 1\r\n\r\n",
                       std::make_shared<const std::string>("x"), false, recorder);
      client_context.run_for(Milliseconds(50));
      if (is_closed) {
        connection->Close();
      }
    }
    tcp::socket socket = acceptor.accept();
    std::error_code error;
    std::array<char, 4'096> bytes{};
    while (!error) {
      socket.read_some(asio::buffer(bytes), error);
    }
    cr_expect(error == asio::error::connection_reset, "is_closed %d: %s", is_closed,
              error.message().c_str());
  }
}

// Guards against unacknowledged bytes that the system delivers later while this process is paused
// and cannot close the connection.
Test(client_connection, delivery_timeout_is_set_on_the_socket, .timeout = 20) {
  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  RecordingListener recorder;
  const std::shared_ptr<http::ClientConnection> connection =
      http::ClientConnection::Create(context, acceptor.local_endpoint(), Milliseconds(1'000));
  connection->SetDeliveryTimeout(Milliseconds(700));
  connection->Send("GET / HTTP/1.1\r\n\r\n", nullptr, false, recorder);
  context.run_for(Milliseconds(50));
  cr_assert_eq(connection->delivery_timeout_ms(), 700);
  connection->Close();
}
