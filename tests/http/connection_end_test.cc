// Ends of a connection, each in a way that a real server causes, while the request is being written
// and after it: a response without a length is complete only if the server closed in an orderly
// way.
#include <criterion/criterion.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "http/client_connection.h"

using namespace rattanramp;
using asio::ip::tcp;

namespace {

// More than the socket buffers of both sides hold.
constexpr std::size_t kUploadBytes = 32 * 1024 * 1024;

// The system's buffers hold the smaller ones, so that the write ends before the connection does.
constexpr std::size_t kUploadSizes[] = {64 * 1024, 1024 * 1024, 4 * 1024 * 1024, kUploadBytes};

// The system checks it when it probes a window that stays closed, after 0.2 s and later.
constexpr Milliseconds kDeliveryTimeout{300};

// Time in which the client reads what the server has sent.
constexpr Milliseconds kTransferTime{5};

enum class End {
  /// An orderly close after the whole request was read.
  kClose,
  /// An orderly end of sending; the request is not read any further.
  kShutdownSend,
  /// The same, followed by a reset.
  kShutdownSendThenReset,
  /// SO_LINGER with a timeout of zero.
  kReset,
  /// A close with unread bytes, as when a process is killed; the system then sends a reset.
  kCloseUnread,
  /// The server neither reads nor closes; the client's delivery timeout ends the connection.
  kStall,
};

std::string NameOf(End end) {
  switch (end) {
    case End::kClose:
      return "close";
    case End::kShutdownSend:
      return "shutdown";
    case End::kShutdownSendThenReset:
      return "shutdown, then reset";
    case End::kReset:
      return "reset";
    case End::kCloseUnread:
      return "close with unread bytes";
    case End::kStall:
      break;
  }
  return "stall";
}

bool IsOrderly(End end) { return end != End::kReset && end != End::kCloseUnread; }

struct Case {
  End end = End::kClose;
  /// The server reads no more of the body than this before it ends the connection.
  std::size_t read_bytes = 0;
  std::string response;
  /// The client has read the response before the connection ends.
  bool is_response_read_first = true;
};

struct Recorder final : http::ResponseListener {
  bool OnHead(const http::ResponseHead& /*head*/) override { return true; }
  void OnBody(std::string_view bytes) override { body.append(bytes); }
  void OnComplete(bool reusable) override { is_reusable = reusable; }
  void OnFailure(http::ExchangeFailure reported) override { failure = reported; }
  bool has_ended() const { return is_reusable.has_value() || failure.has_value(); }

  std::string body;
  std::optional<bool> is_reusable;
  std::optional<http::ExchangeFailure> failure;
};

void Serve(tcp::socket socket, const Case& plan, const std::atomic<bool>& have_clients_ended) {
  std::string request;
  std::error_code error;
  const std::size_t head = asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
  asio::write(socket, asio::buffer(plan.response), error);
  if (plan.is_response_read_first) {
    std::this_thread::sleep_for(kTransferTime);
  }
  std::vector<char> bytes(64 * 1024);
  std::size_t read = request.size() - head;
  while (read < plan.read_bytes && !error) {
    const std::size_t wanted = std::min(bytes.size(), plan.read_bytes - read);
    read += socket.read_some(asio::buffer(bytes.data(), wanted), error);
  }
  while (plan.end == End::kStall && !have_clients_ended) {
    std::this_thread::sleep_for(kTransferTime);
  }
  if (plan.end == End::kShutdownSend || plan.end == End::kShutdownSendThenReset) {
    socket.shutdown(tcp::socket::shutdown_send, error);
    if (plan.is_response_read_first) {
      std::this_thread::sleep_for(kTransferTime);
    }
  }
  if (plan.end == End::kReset || plan.end == End::kShutdownSendThenReset) {
    socket.set_option(asio::socket_base::linger(true, 0), error);
  }
  if (plan.end == End::kShutdownSend) {
    // Keeps the connection open until the client closes it.
    while (!error && plan.read_bytes == kUploadBytes) {
      socket.read_some(asio::buffer(bytes), error);
    }
    std::this_thread::sleep_for(Milliseconds(50));
  }
  socket.close(error);
}

struct Client {
  std::shared_ptr<http::ClientConnection> connection;
  Recorder recorder;
};

/// Runs `count` exchanges at once on one event loop, which is also busy with other handlers for
/// `handler_time` at a time.
std::vector<std::unique_ptr<Client>> RunExchanges(const Case& plan, std::size_t upload_bytes,
                                                  std::size_t count = 1,
                                                  std::chrono::microseconds handler_time = {}) {
  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::atomic<bool> have_clients_ended = false;
  std::vector<std::thread> servers;
  std::thread accepting([&] {
    for (std::size_t i = 0; i < count; ++i) {
      servers.emplace_back([&plan, &have_clients_ended,
                            socket = std::make_shared<tcp::socket>(acceptor.accept())]() mutable {
        Serve(std::move(*socket), plan, have_clients_ended);
      });
    }
  });
  const std::shared_ptr<const std::string> body =
      std::make_shared<const std::string>(upload_bytes, 'u');
  std::vector<std::unique_ptr<Client>> clients;
  for (std::size_t i = 0; i < count; ++i) {
    clients.push_back(std::make_unique<Client>());
    clients.back()->connection =
        http::ClientConnection::Create(context, acceptor.local_endpoint(), Milliseconds(1'000));
    if (plan.end == End::kStall) {
      clients.back()->connection->SetDeliveryTimeout(kDeliveryTimeout);
    }
    clients.back()->connection->Send(
        "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(upload_bytes) + "\r\n\r\n", body,
        false, clients.back()->recorder);
  }
  const auto have_ended = [&] {
    return std::all_of(clients.begin(), clients.end(),
                       [](const auto& client) { return client->recorder.has_ended(); });
  };
  std::function<void()> keep_busy = [&] {
    std::this_thread::sleep_for(handler_time);
    if (!have_ended()) {
      asio::post(context, keep_busy);
    }
  };
  if (handler_time.count() > 0) {
    asio::post(context, keep_busy);
  }
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!have_ended() && std::chrono::steady_clock::now() < until) {
    context.run_for(Milliseconds(10));
    context.restart();
  }
  for (const std::unique_ptr<Client>& client : clients) {
    client->connection->Close();
  }
  have_clients_ended = true;
  accepting.join();
  for (std::thread& server : servers) {
    server.join();
  }
  return clients;
}

const std::string kUnframed = "HTTP/1.1 200 OK\r\n\r\n";

/// Expects that the response of an exchange counts as complete only where `is_whole`.
void ExpectOutcome(const Recorder& recorder, bool is_whole, const std::string& name) {
  cr_expect(recorder.has_ended(), "%s: no end", name.c_str());
  cr_expect_eq(recorder.is_reusable.has_value(), is_whole, "%s: %s after '%s'", name.c_str(),
               is_whole ? "a whole response fails" : "a broken response counts as complete",
               recorder.body.c_str());
  if (recorder.failure) {
    cr_expect(*recorder.failure == http::ExchangeFailure::kConnectionReset, "%s: failure %d",
              name.c_str(), static_cast<int>(*recorder.failure));
  }
}

}  // namespace

// Guards against a part of a response that counts as a whole one because the connection was reset
// while the request was still being written: the failed write takes the socket's error, and the
// read then sees an end of file.
Test(connection_end, reset_during_the_upload_is_a_failure, .timeout = 120) {
  for (const End end : {End::kReset, End::kCloseUnread}) {
    for (const bool is_response_read_first : {true, false}) {
      for (const std::size_t upload_bytes : kUploadSizes) {
        for (int round = 0; round < 10; ++round) {
          const Case plan{end, 0, kUnframed + "part", is_response_read_first};
          ExpectOutcome(RunExchanges(plan, upload_bytes).front()->recorder, false,
                        NameOf(end) + " within " + std::to_string(upload_bytes) + " bytes");
        }
      }
    }
  }
}

// Guards against the same where the server has read a part of the upload, so that the write goes on
// in pieces, and where the event loop has other work between the end of a write and that of a read.
Test(connection_end, reset_during_the_upload_is_a_failure_beside_load, .timeout = 240) {
  for (const End end : {End::kReset, End::kCloseUnread}) {
    for (const std::size_t read_bytes : {std::size_t{0}, kUploadBytes / 16, kUploadBytes / 4}) {
      for (const int handler_us : {1, 100, 1'000}) {
        for (const bool is_response_read_first : {true, false}) {
          const Case plan{end, read_bytes, kUnframed + "part", is_response_read_first};
          for (const std::unique_ptr<Client>& client :
               RunExchanges(plan, kUploadBytes, 12, std::chrono::microseconds(handler_us))) {
            ExpectOutcome(client->recorder, false,
                          NameOf(end) + " after " + std::to_string(read_bytes) + " bytes");
          }
        }
      }
    }
  }
}

// Guards against the same where the system gives the connection up, as after a partition: the write
// ends with a timeout.
Test(connection_end, delivery_timeout_during_the_upload_is_a_failure, .timeout = 60) {
  for (const int handler_us : {0, 100}) {
    const Case plan{End::kStall, 0, kUnframed + "part"};
    for (const std::unique_ptr<Client>& client :
         RunExchanges(plan, kUploadBytes, 4, std::chrono::microseconds(handler_us))) {
      ExpectOutcome(client->recorder, false, NameOf(End::kStall));
    }
  }
}

// Guards against a whole response that is lost because its server, which has closed the connection
// in an orderly way, does not read the rest of the upload.
Test(connection_end, orderly_end_during_the_upload_is_complete, .timeout = 120) {
  for (const End end : {End::kShutdownSend, End::kShutdownSendThenReset}) {
    for (const std::size_t read_bytes : {std::size_t{0}, kUploadBytes / 16}) {
      for (const int handler_us : {0, 100}) {
        for (const bool is_response_read_first : {true, false}) {
          const Case plan{end, read_bytes, kUnframed + "whole", is_response_read_first};
          for (const std::unique_ptr<Client>& client :
               RunExchanges(plan, kUploadBytes, 8, std::chrono::microseconds(handler_us))) {
            ExpectOutcome(client->recorder, true,
                          NameOf(end) + " after " + std::to_string(read_bytes) + " bytes");
            cr_expect_eq(client->recorder.body, "whole");
          }
        }
      }
    }
  }
}

// Guards against an end after the upload that is taken for another one.
Test(connection_end, end_after_the_upload, .timeout = 120) {
  for (const End end :
       {End::kClose, End::kShutdownSend, End::kShutdownSendThenReset, End::kReset}) {
    for (const std::size_t upload_bytes : {std::size_t{1}, kUploadBytes}) {
      for (const int handler_us : {0, 100}) {
        const Case plan{end, upload_bytes, kUnframed + "bytes"};
        for (const std::unique_ptr<Client>& client :
             RunExchanges(plan, upload_bytes, 4, std::chrono::microseconds(handler_us))) {
          ExpectOutcome(client->recorder, IsOrderly(end), NameOf(end) + " after the upload");
        }
      }
    }
  }
}

// Guards against a response with a length that is lost with the upload, and against a connection on
// which a write has failed and that carries the next request.
Test(connection_end, response_with_a_length_survives_a_reset_of_the_upload, .timeout = 120) {
  for (const End end : {End::kReset, End::kCloseUnread}) {
    for (int round = 0; round < 20; ++round) {
      const Case plan{end, 0, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\n\r\nwhole"};
      const Recorder recorder = RunExchanges(plan, kUploadBytes).front()->recorder;
      cr_expect(recorder.is_reusable.has_value() && !*recorder.is_reusable, "%s",
                NameOf(end).c_str());
      cr_expect_eq(recorder.body, "whole");
      const Case cut{end, 0, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"};
      ExpectOutcome(RunExchanges(cut, kUploadBytes).front()->recorder, false, "with a length");
    }
  }
}
