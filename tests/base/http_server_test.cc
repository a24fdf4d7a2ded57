#include "base/http_server.h"

#include <criterion/criterion.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>

using rattanramp::HttpServer;
using rattanramp::HttpServerOptions;
using rattanramp::Result;

namespace {

std::unique_ptr<HttpServer> MakeServer() {
  HttpServerOptions options;
  options.address = "127.0.0.1:0";
  Result<std::unique_ptr<HttpServer>> server = HttpServer::Create(options);
  cr_assert(server.has_value());
  return std::move(server.value());
}

}  // namespace

// Guards against two processes binding the same port without an error, which SO_REUSEPORT allows.
Test(http_server, second_bind_of_a_port_fails) {
  const std::unique_ptr<HttpServer> first = MakeServer();
  HttpServerOptions options;
  options.address = "127.0.0.1:" + std::to_string(first->port());
  cr_assert(!HttpServer::Create(options).has_value());
}

// Guards against a handler that continues to work after its caller has closed the connection.
Test(http_server, handler_detects_closed_caller_connection) {
  const std::unique_ptr<HttpServer> server = MakeServer();
  std::atomic<bool> caller_left{false};
  server->routes().Get("/wait", [&caller_left](const httplib::Request&, httplib::Response&) {
    for (int i = 0; i < 500 && !HttpServer::CallerHasDisconnected(); ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    caller_left.store(HttpServer::CallerHasDisconnected());
  });
  server->Start();
  {
    httplib::Client client("127.0.0.1", server->port());
    client.set_read_timeout(0, 200'000);
    cr_assert(!client.Get("/wait"));
  }
  server->Stop();
  cr_assert(caller_left.load());
}

// Guards against a keep-alive connection being closed after a few requests.
Test(http_server, reuses_a_connection_for_many_requests) {
  const std::unique_ptr<HttpServer> server = MakeServer();
  server->routes().Post("/echo", [](const httplib::Request& request, httplib::Response& response) {
    response.set_content(request.body, "text/plain");
  });
  server->Start();
  httplib::Client client("127.0.0.1", server->port());
  client.set_keep_alive(true);
  for (int i = 0; i < 50; ++i) {
    const httplib::Result result = client.Post("/echo", std::string(20'000, 'x'), "text/plain");
    cr_assert(result && result->body.size() == 20'000);
  }
}

// Guards against a draining process that keeps connections open: CloseAfterResponse must close a
// connection although the client uses keep-alive.
Test(http_server, handler_closes_the_connection_after_its_response) {
  const std::unique_ptr<HttpServer> server = MakeServer();
  server->routes().Get("/last", [](const httplib::Request&, httplib::Response& response) {
    HttpServer::CloseAfterResponse();
    response.set_content("bye", "text/plain");
  });
  server->Start();
  httplib::Client client("127.0.0.1", server->port());
  client.set_keep_alive(true);
  const httplib::Result result = client.Get("/last");
  cr_assert(result && result->body == "bye");
  for (int i = 0; i < 200 && server->open_connections() > 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  cr_assert_eq(server->open_connections(), 0);
}

// Guards against heads without end, in one line or in many, and against size lines of chunks
// without end: the library keeps them until they end. A hostile caller could end an entry with
// them.
Test(http_server, endless_lines_end_the_connection, .timeout = 60) {
  constexpr std::size_t kEndlessBytes = 64 * 1024 * 1024;
  const std::string filler(4'096, 'x');
  const std::string head = "POST /echo HTTP/1.1\r\nHost: h\r\n";
  for (const auto& [start, piece] : {std::pair{head + "X-Long: ", filler},
                                     {head, "X-More: " + filler.substr(0, 100) + "\r\n"},
                                     {head + "Transfer-Encoding: chunked\r\n\r\n1;", filler}}) {
    const std::unique_ptr<HttpServer> server = MakeServer();
    server->routes().Post("/echo", [](const httplib::Request&, httplib::Response&) {});
    server->Start();
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(server->port())});
    std::error_code error;
    std::size_t sent = asio::write(socket, asio::buffer(start), error);
    while (!error && sent < kEndlessBytes) {
      sent += asio::write(socket, asio::buffer(piece), error);
    }
    cr_expect(error, "read to the end: %s", start.c_str());
  }
}
