#include "gateway/caller_connection.h"

#include <criterion/criterion.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace rattanramp;
using asio::ip::tcp;

namespace {

/// Answers nothing; records that the caller has disconnected.
struct SilentExchange final : gateway::Exchange {
  SilentExchange(bool& disconnected, const std::function<void()>& on_bytes_sent)
      : is_caller_disconnected(disconnected), on_bytes_sent(on_bytes_sent) {}
  void OnCallerDisconnected() override { is_caller_disconnected = true; }
  void OnBytesSent() override { on_bytes_sent(); }
  void OnStopProgress() override {}
  void EndForStop() override {}
  bool& is_caller_disconnected;
  const std::function<void()>& on_bytes_sent;
};

/// Serves each request with `serve` and records its target and body.
struct Host final : gateway::CallerHost {
  std::unique_ptr<gateway::Exchange> StartExchange(gateway::CallerSink& sink,
                                                   http::RequestHead head,
                                                   std::string body) override {
    targets.push_back(head.target + body);
    serve(sink);
    return std::make_unique<SilentExchange>(is_caller_disconnected, on_bytes_sent);
  }
  core::CallerLimits caller_limits() const override { return limits; }
  bool is_stopping() const override { return stop_requested; }
  gateway::CallerMemory* memory() override { return shared_memory; }
  void OnConnectionEnd(const gateway::CallerConnection* /*connection*/) override { ended = true; }

  std::function<void(gateway::CallerSink&)> serve = [](gateway::CallerSink& sink) {
    sink.Answer(200, {}, "ok");
  };
  std::function<void()> on_bytes_sent = [] {};
  std::function<void(gateway::CallerConnection&)> on_start =
      [](gateway::CallerConnection& /*connection*/) {};
  core::CallerLimits limits;
  gateway::CallerMemory* shared_memory = nullptr;
  std::vector<std::string> targets;
  bool stop_requested = false;
  bool ended = false;
  bool is_caller_disconnected = false;
};

/// Runs a host and a client with one connection to it. The client runs on its own thread; its
/// return value is returned.
std::string RunClient(Host& host, const std::function<std::string(tcp::socket&)>& client) {
  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::string result;
  std::thread thread([&, endpoint = acceptor.local_endpoint()] {
    asio::io_context client_context;
    tcp::socket socket(client_context);
    socket.connect(endpoint);
    result = client(socket);
  });
  const std::shared_ptr<gateway::CallerConnection> connection =
      gateway::CallerConnection::Create(acceptor.accept(), host);
  connection->Start();
  host.on_start(*connection);
  context.run();
  thread.join();
  return result;
}

std::string ReadAnswer(tcp::socket& socket, std::size_t body_bytes) {
  std::string text;
  const std::size_t head = asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n");
  if (text.size() < head + body_bytes) {
    asio::read(socket, asio::dynamic_buffer(text),
               asio::transfer_exactly(head + body_bytes - text.size()));
  }
  return text;
}

std::string ReadToEnd(tcp::socket& socket) {
  std::string text;
  std::error_code error;
  asio::read(socket, asio::dynamic_buffer(text), error);
  return error == asio::error::eof ? text : text + "[" + error.message() + "]";
}

constexpr const char* kRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace

// Guards against unfilled space of the read buffer being parsed as part of the next request. With
// this fault, every second request on a keep-alive connection got 400 and the connection was
// closed.
Test(caller_connection, keep_alive_connection_serves_several_requests, .timeout = 20) {
  Host host;
  const std::string text = RunClient(host, [](tcp::socket& socket) {
    std::string answers;
    for (int i = 0; i < 3; ++i) {
      asio::write(socket, asio::buffer(std::string(kRequest)));
      answers += ReadAnswer(socket, 2);
    }
    // No bytes may arrive after the last answer.
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    socket.non_blocking(true);
    char byte = 0;
    std::error_code error;
    if (socket.read_some(asio::buffer(&byte, 1), error) > 0 || error != asio::error::would_block) {
      answers += "unexpected bytes";
    }
    return answers;
  });
  cr_assert_eq(host.targets.size(), 3);
  cr_assert_eq(text.find("400"), std::string::npos, "%s", text.c_str());
  cr_assert_eq(text.find("unexpected bytes"), std::string::npos);
}

// Guards against the loss of pipelined requests: both requests arrive in one read, and the second
// must be kept until the first is answered.
Test(caller_connection, pipelined_requests_are_answered_in_order, .timeout = 20) {
  Host host;
  RunClient(host, [](tcp::socket& socket) {
    asio::write(socket, asio::buffer(std::string("POST /1 HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"
                                                 "GET /2 HTTP/1.1\r\nConnection: close\r\n\r\n")));
    return ReadToEnd(socket);
  });
  cr_assert(host.targets == std::vector<std::string>({"/1x", "/2"}));
}

// Guards against an aborted stream that looks complete to the caller, and against the loss of
// events that were queued before the abort.
Test(caller_connection, aborted_stream_delivers_events_without_final_chunk, .timeout = 20) {
  Host host;
  host.serve = [](gateway::CallerSink& sink) {
    sink.StartStream(200, {}, gateway::StreamEnd::kStated);
    sink.StreamBytes("id: 1\n\n");
    sink.Abort();
  };
  const std::string text = RunClient(host, [](tcp::socket& socket) {
    asio::write(socket, asio::buffer(std::string(kRequest)));
    return ReadToEnd(socket);
  });
  cr_assert_neq(text.find("id: 1"), std::string::npos);
  cr_assert_eq(text.find("0\r\n\r\n"), std::string::npos, "%s", text.c_str());
}

// Guards against callers that reuse a connection to a stopping process: answers must carry
// "Connection: close".
Test(caller_connection, answers_close_the_connection_while_stopping, .timeout = 20) {
  Host host;
  host.stop_requested = true;
  const std::string text = RunClient(host, [](tcp::socket& socket) {
    asio::write(socket, asio::buffer(std::string(kRequest)));
    return ReadToEnd(socket);
  });
  cr_assert_neq(text.find("Connection: close\r\n"), std::string::npos);
  cr_assert_neq(text.find("ok"), std::string::npos);
}

// Guards against work that continues after its caller has disconnected: the close must be detected
// while the request is still being served.
Test(caller_connection, disconnect_is_detected_while_request_runs, .timeout = 20) {
  Host host;
  host.serve = [](gateway::CallerSink& /*sink*/) {};
  RunClient(host, [](tcp::socket& socket) {
    asio::write(socket, asio::buffer(std::string(kRequest)));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    return std::string();
  });
  cr_assert(host.is_caller_disconnected);
  cr_assert(host.ended);
}

// Guards against callers that occupy a connection without completing their request.
Test(caller_connection, incomplete_head_times_out, .timeout = 20) {
  Host host;
  host.limits.head_timeout_ms = 50;
  const std::string text = RunClient(host, [](tcp::socket& socket) {
    asio::write(socket, asio::buffer(std::string("GET /a HT")));
    return ReadToEnd(socket);
  });
  cr_assert_neq(text.find("HTTP/1.1 408"), std::string::npos, "%s", text.c_str());
  cr_assert(host.targets.empty());
}

// Guards against a planned stop that closes a connection whose first request is on its way: the
// connection was accepted a moment before.
Test(caller_connection, stop_does_not_close_a_connection_before_its_first_request, .timeout = 20) {
  Host host;
  host.stop_requested = true;
  host.on_start = [](gateway::CallerConnection& connection) { connection.CloseIfIdle(); };
  const std::string text = RunClient(host, [](tcp::socket& socket) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    std::error_code error;
    asio::write(socket, asio::buffer(std::string(kRequest)), error);
    return ReadToEnd(socket);
  });
  cr_assert_neq(text.find("HTTP/1.1 200"), std::string::npos, "%s", text.c_str());
}

// Guards against requests that are read and dropped at the start of a stop: the head of a stream
// promised to keep the connection, the stop began during the stream, and the caller's next request
// crosses its end.
Test(caller_connection, request_that_crosses_the_end_of_a_stream_in_a_stop_is_answered,
     .timeout = 20) {
  Host host;
  bool is_first = true;
  gateway::CallerSink* stream = nullptr;
  host.serve = [&](gateway::CallerSink& sink) {
    if (std::exchange(is_first, false)) {
      sink.StartStream(200, {}, gateway::StreamEnd::kStated);
      stream = &sink;
    } else {
      sink.Answer(503, {}, "refused");
    }
  };
  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::string text;
  std::thread thread([&, endpoint = acceptor.local_endpoint()] {
    asio::io_context client_context;
    tcp::socket socket(client_context);
    socket.connect(endpoint);
    asio::write(socket, asio::buffer(std::string(kRequest)));
    asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n");
    // Crosses the end of the stream, which is written 300 ms after the start.
    asio::write(socket, asio::buffer(std::string(kRequest)));
    text += ReadToEnd(socket);
  });
  const std::shared_ptr<gateway::CallerConnection> connection =
      gateway::CallerConnection::Create(acceptor.accept(), host);
  connection->Start();
  asio::steady_timer timer(context, Milliseconds(300));
  timer.async_wait([&](const std::error_code& /*error*/) {
    host.stop_requested = true;
    stream->EndStream();
  });
  context.run();
  thread.join();
  cr_assert_eq(text.substr(0, text.find("\r\n\r\n")).find("Connection: close"), std::string::npos);
  cr_assert_neq(text.find("HTTP/1.1 503"), std::string::npos, "%s", text.c_str());
}

// Guards against answers that are cut by the limit on idle time: a large answer is still being sent
// when the limit has passed since its last byte was queued.
Test(caller_connection, idle_limit_does_not_cut_an_answer_that_is_being_sent, .timeout = 20) {
  constexpr std::size_t kBodyBytes = 24 * 1024 * 1024;
  constexpr std::size_t kPauses = 8;
  Host host;
  host.limits.idle_timeout_ms = 1'000;
  host.serve = [](gateway::CallerSink& sink) {
    sink.Answer(200, {}, std::string(kBodyBytes, 'x'));
  };
  const std::string text = RunClient(host, [](tcp::socket& socket) {
    asio::write(socket, asio::buffer(std::string(kRequest)));
    std::string answer;
    std::error_code error;
    for (std::size_t i = 0; i < kPauses && !error; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
      asio::read(socket, asio::dynamic_buffer(answer),
                 asio::transfer_exactly(kBodyBytes / kPauses / 2), error);
    }
    if (!error) {
      answer += ReadToEnd(socket);
    }
    return answer;
  });
  cr_assert_eq(text.size(), text.find("\r\n\r\n") + 4 + kBodyBytes);
}

// Guards against callers that never read their answer and hold a connection for good.
Test(caller_connection, idle_limit_closes_a_connection_whose_answer_is_not_read, .timeout = 20) {
  constexpr std::size_t kBodyBytes = 24 * 1024 * 1024;
  Host host;
  host.limits.idle_timeout_ms = 100;
  host.serve = [](gateway::CallerSink& sink) {
    sink.Answer(200, {}, std::string(kBodyBytes, 'x'));
  };
  const std::string text = RunClient(host, [](tcp::socket& socket) {
    asio::write(socket, asio::buffer(std::string(kRequest)));
    std::this_thread::sleep_for(std::chrono::milliseconds(8'000));
    return ReadToEnd(socket);
  });
  cr_assert(host.ended);
  cr_assert_lt(text.size(), kBodyBytes);
}

// Guards against a change of the limit on idle time that does not hold for connections that are
// idle already: the caller follows the newest limit and would send on a closed connection.
Test(caller_connection, raised_idle_limit_holds_for_connections_that_are_idle, .timeout = 20) {
  Host host;
  host.limits.idle_timeout_ms = 100;
  host.serve = [&](gateway::CallerSink& sink) {
    sink.Answer(200, {}, "ok");
    host.limits.idle_timeout_ms = 5'000;
  };
  const std::string text = RunClient(host, [](tcp::socket& socket) {
    asio::write(socket, asio::buffer(std::string(kRequest)));
    ReadAnswer(socket, 2);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    std::error_code error;
    asio::write(socket, asio::buffer(std::string(kRequest)), error);
    std::string answer;
    asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n", error);
    return answer;
  });
  cr_assert_neq(text.find("HTTP/1.1 200"), std::string::npos, "%s", text.c_str());
  cr_assert_eq(host.targets.size(), std::size_t{2});
}

namespace {

/// Sends one request and waits for its answer, sends another while the event loop is held up, and
/// then calls `act` on the connection before the second one could be read. Returns what the caller
/// received after the first answer.
std::string SendWhileLoopIsHeldUp(Host& host,
                                  const std::function<void(gateway::CallerConnection&)>& act) {
  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::promise<void> may_send;
  std::promise<void> has_sent;
  std::string text;
  std::thread thread([&, endpoint = acceptor.local_endpoint()] {
    asio::io_context client_context;
    tcp::socket socket(client_context);
    socket.connect(endpoint);
    asio::write(socket, asio::buffer(std::string(kRequest)));
    ReadAnswer(socket, 2);
    may_send.get_future().wait();
    std::error_code error;
    asio::write(socket, asio::buffer(std::string(kRequest)), error);
    has_sent.set_value();
    text = ReadToEnd(socket);
  });
  const std::shared_ptr<gateway::CallerConnection> connection =
      gateway::CallerConnection::Create(acceptor.accept(), host);
  asio::steady_timer block(context);
  asio::steady_timer hold_up(context);
  host.serve = [&](gateway::CallerSink& sink) {
    sink.Answer(200, {}, "ok");
    if (host.targets.size() > 1) {
      return;
    }
    // While the loop is blocked, the second timer and the connection's timer both expire, so that
    // their handlers run in one turn of the loop.
    block.expires_after(Milliseconds(50));
    block.async_wait([](const std::error_code& /*error*/) {
      std::this_thread::sleep_for(std::chrono::milliseconds(400));
    });
    hold_up.expires_after(Milliseconds(100));
    hold_up.async_wait([&](const std::error_code& /*error*/) {
      may_send.set_value();
      has_sent.get_future().wait();
      act(*connection);
    });
  };
  connection->Start();
  context.run();
  thread.join();
  return text;
}

}  // namespace

// Guards against requests that are dropped at the limit on idle time: the request arrived in time,
// but a loop that was held up runs the timer before it reads.
Test(caller_connection, request_that_has_arrived_at_the_idle_limit_is_answered, .timeout = 20) {
  Host host;
  host.limits.idle_timeout_ms = 200;
  const std::string text =
      SendWhileLoopIsHeldUp(host, [](gateway::CallerConnection& /*connection*/) {});
  cr_assert_neq(text.find("HTTP/1.1 200"), std::string::npos, "%s", text.c_str());
}

// Guards against a stop that drops a request that has arrived but has not been read.
Test(caller_connection, stop_does_not_close_a_connection_whose_request_has_arrived, .timeout = 20) {
  Host host;
  host.limits.idle_timeout_ms = 1'000;
  const std::string text = SendWhileLoopIsHeldUp(
      host, [](gateway::CallerConnection& connection) { connection.CloseIfIdle(); });
  cr_assert_neq(text.find("HTTP/1.1 200"), std::string::npos, "%s", text.c_str());
}

// Guards against an answer that is cut for a slow caller: the wait for the next request began while
// most of the answer was still to be sent.
Test(caller_connection, answer_is_not_cut_by_the_idle_timeout_while_it_is_sent, .timeout = 20) {
  constexpr std::size_t kBodyBytes = 32 * 1024 * 1024;
  Host host;
  host.limits.idle_timeout_ms = 300;
  host.serve = [](gateway::CallerSink& sink) {
    sink.Answer(200, {}, std::string(kBodyBytes, 'x'));
  };
  const std::string text = RunClient(host, [](tcp::socket& socket) {
    asio::write(socket, asio::buffer(std::string(kRequest)));
    std::string answer;
    std::error_code error;
    asio::read(socket, asio::dynamic_buffer(answer), asio::transfer_exactly(1'000), error);
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    asio::read(socket, asio::dynamic_buffer(answer), asio::transfer_exactly(kBodyBytes), error);
    return answer;
  });
  cr_assert_geq(text.size(), kBodyBytes, "%zu bytes", text.size());
}

// Guards against an answer that looks whole although this process ended in the midst of it: without
// chunks or a length, the close by the system would look like the end of the answer.
Test(caller_connection, answer_without_chunks_is_reset_if_it_is_cut, .timeout = 20) {
  for (const bool is_cut : {true, false}) {
    Host host;
    gateway::CallerConnection* cut = nullptr;
    host.on_start = [&](gateway::CallerConnection& connection) {
      cut = is_cut ? &connection : nullptr;
    };
    host.on_bytes_sent = [&] {
      if (cut != nullptr) {
        cut->Close();
      }
    };
    host.serve = [&](gateway::CallerSink& sink) {
      sink.StartStream(200, {}, gateway::StreamEnd::kByClose);
      sink.StreamBytes("id: 1\ndata: x\n\n");
      if (!is_cut) {
        sink.EndStream();
      }
    };
    const std::string text = RunClient(host, [](tcp::socket& socket) {
      asio::write(socket, asio::buffer(std::string(kRequest)));
      return ReadToEnd(socket);
    });
    cr_expect_eq(text.find("[Connection reset") != std::string::npos, is_cut, "%s", text.c_str());
    cr_expect_eq(text.ends_with("id: 1\ndata: x\n\n"), !is_cut);
  }
}

// Guards against trailers without end behind a chunked body, which ended a process in a trial.
// Pattern: trailers in many lines, in one line, and a size line of a chunk without its end.
Test(caller_connection, trailers_and_size_lines_without_end_are_refused, .timeout = 30) {
  for (const std::string& endless :
       {std::string("1\r\nx\r\n0\r\nTrailer: t\r\n"), std::string("1\r\nx\r\n0\r\nTrailer: t"),
        std::string("1;extension=")}) {
    Host host;
    host.limits.max_head_bytes = 8 * 1024;
    const std::string text = RunClient(host, [&](tcp::socket& socket) {
      std::error_code error;
      asio::write(socket,
                  asio::buffer("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + endless),
                  error);
      const std::string line = endless.ends_with("\r\n") ? "Trailer: t\r\n" : "tttttttttttt";
      for (int i = 0; i < 2'000 && !error; ++i) {
        asio::write(socket, asio::buffer(line), error);
      }
      return ReadToEnd(socket);
    });
    cr_assert_neq(text.find("HTTP/1.1 431"), std::string::npos, "%s", text.c_str());
    cr_assert(host.targets.empty());
  }
}

// Guards against an answer that is held without end because its caller does not read it and has
// asked for the connection to be closed after it.
Test(caller_connection, unread_answer_with_close_is_given_up, .timeout = 30) {
  Host host;
  host.limits.idle_timeout_ms = 100;
  host.serve = [](gateway::CallerSink& sink) {
    sink.Answer(200, {}, std::string(32 * 1024 * 1024, 'a'));
  };
  RunClient(host, [](tcp::socket& socket) {
    asio::write(socket, asio::buffer(std::string("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n")));
    std::this_thread::sleep_for(std::chrono::seconds(5));
    return std::string();
  });
  cr_assert(host.ended);
}

// Guards against a crowd that takes all memory: callers beyond it wait and are then refused as not
// run, and one that is within it is served. Pattern: two bodies of which the first one is held.
Test(caller_connection, request_without_memory_is_refused_as_not_run, .timeout = 30) {
  asio::io_context memory_context;
  Metrics metrics;
  const SuspensionClock clock;
  gateway::CallerMemory memory(memory_context, clock, metrics, {64 * 1024, 16 * 1024, 8 * 1024},
                               10);
  Host host;
  host.shared_memory = &memory;
  host.limits.head_timeout_ms = 300;
  const std::string text = RunClient(host, [](tcp::socket& socket) {
    asio::write(socket, asio::buffer("POST /a HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" +
                                     std::string(100'000, 'x')));
    return ReadToEnd(socket);
  });
  cr_assert_neq(text.find("HTTP/1.1 503"), std::string::npos, "%s", text.c_str());
  cr_assert_neq(text.find("Retry-After"), std::string::npos);
  cr_assert(host.targets.empty());
  cr_assert_eq(metrics.value("caller_memory_refusals_total"), 1);
  const std::string served = RunClient(host, [](tcp::socket& socket) {
    asio::write(socket, asio::buffer("POST /b HTTP/1.1\r\nContent-Length: 9000\r\n"
                                     "Connection: close\r\n\r\n" +
                                     std::string(9'000, 'x')));
    return ReadToEnd(socket);
  });
  cr_assert_neq(served.find("HTTP/1.1 200"), std::string::npos, "%s", served.c_str());
}
