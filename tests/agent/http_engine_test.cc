#include "agent/http_engine.h"

#include <criterion/criterion.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <functional>
#include <thread>

#include "agent/event_stream.h"
#include "agent/http_service.h"
#include "standins/engine_server.h"
#include "standins/expected_output.h"
#include "standins/service_server.h"
#include "test_entry.h"

using namespace rattanramp;
using namespace rattanramp::agent;

namespace {

std::string UrlOf(int port) { return "http://127.0.0.1:" + std::to_string(port); }

struct Engine {
  std::unique_ptr<standins::EngineServer> server;
  std::unique_ptr<HttpEngine> port;
};

Engine StartEngine() {
  Engine engine;
  standins::EngineOptions options;
  options.time_scale = 5;
  engine.server = standins::EngineServer::Create("127.0.0.1:0", options).value();
  engine.port = HttpEngine::Create(UrlOf(engine.server->port())).value();
  return engine;
}

/// Collects the output of a stream and asserts that it has no gap.
struct Received {
  std::string text;
  bool accepted = false;
  RunSink sink;
  explicit Received(std::int64_t offset = 0) {
    sink.on_accepted = [this] { accepted = true; };
    sink.on_output = [this, offset](const OutputChunk& piece) {
      cr_assert_eq(piece.offset, offset + static_cast<std::int64_t>(text.size()));
      text += piece.text;
    };
  }
};

}  // namespace

// Guards against an adapter that parses the engine's streams, KV handles or load incorrectly.
Test(http_engine, prefill_decode_and_generate) {
  Engine engine = StartEngine();
  const UpstreamLoad load = engine.port->Load().value();
  cr_assert(load.incarnation != 0 && load.total_pieces > 0 && load.prefill_tokens_per_s > 0);
  RunControl control;
  const PrefillResult prefill = engine.port->Prefill({"p1", "some prompt", 0}, control);
  cr_assert_eq(prefill.run.status, RunStatus::kDone);
  GenerateRequest request;
  request.request_id = "d1";
  request.prompt = "some prompt";
  request.max_tokens = 20;
  request.kv_handle = prefill.kv_handle;
  request.source_url = UrlOf(engine.server->port());
  Received decoded;
  const RunResult result = engine.port->Decode(request, decoded.sink, control);
  cr_assert_eq(result.status, RunStatus::kDone);
  cr_assert_eq(result.output_tokens, 20);
  cr_assert_eq(decoded.text.size(), 80u);
  request.request_id = "g1";
  Received generated;
  cr_assert_eq(engine.port->Generate(request, generated.sink, control).status, RunStatus::kDone);
  cr_assert_eq(generated.text, decoded.text);
  Received resumed(40);
  cr_assert_eq(engine.port->Resume("g1", 40, resumed.sink, control).status, RunStatus::kDone);
  cr_assert_eq(resumed.text, decoded.text.substr(40));
  request.request_id = "d2";
  request.kv_handle = "no-such-handle";
  Received none;
  cr_assert_eq(engine.port->Decode(request, none.sink, control).status, RunStatus::kKvGone);
  cr_assert_eq(engine.port->Cancel("no-such-request").error().kind, ErrorKind::kNotFound);
}

// Guards against a worker thread that stays blocked in a stream after its attempt was cancelled.
Test(http_engine, stop_interrupts_a_stream) {
  Engine engine = StartEngine();
  RunControl control;
  GenerateRequest request;
  request.request_id = "g1";
  request.prompt = "some prompt";
  request.max_tokens = 4000;
  Received received;
  RunResult result;
  std::thread worker([&] { result = engine.port->Generate(request, received.sink, control); });
  cr_assert(WaitUntil([&] { return engine.port->Load().value().running == 1; }));
  control.Stop();
  worker.join();
  cr_assert_eq(result.status, RunStatus::kStopped);
  cr_assert(engine.port->Cancel("g1").has_value());
  cr_assert(WaitUntil([&] { return engine.port->Load().value().running == 0; }));
}

// Guards against reporting a stopped engine as a slow one, and a call that was not sent as one that
// may have run. In both cases the connection is refused.
Test(http_engine, refused_connection_has_its_own_status) {
  Engine engine = StartEngine();
  engine.server->Stop();
  engine.server.reset();
  cr_assert_eq(engine.port->Load().error().kind, ErrorKind::kUnavailable);
  std::unique_ptr<standins::ServiceServer> service =
      standins::ServiceServer::Create("127.0.0.1:0", {}).value();
  const std::unique_ptr<HttpService> port = HttpService::Create(UrlOf(service->port())).value();
  cr_assert(port->Load().has_value());
  CallRequest call;
  call.method = "POST";
  call.path = "/claims";
  call.body = "x";
  call.idempotency_key = "k";
  call.timeout = Milliseconds(1000);
  RunControl control;
  const CallReply reply = port->Call(call, control);
  cr_assert_eq(reply.status, RunStatus::kDone);
  cr_assert(reply.http_status >= 200 && reply.http_status < 300 && !reply.body.empty());
  service->Stop();
  service.reset();
  cr_assert_eq(port->Call(call, control).status, RunStatus::kRefused);
  cr_assert_eq(port->Load().error().kind, ErrorKind::kUnavailable);
}

// Guards against a call that looks answered although its server stopped in the midst of the head of
// the answer and closed the connection in an orderly way.
Test(http_service, cut_head_is_no_answer, .timeout = 60) {
  using asio::ip::tcp;
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 1600\r\n\r\n";
  for (std::size_t size = 0; size < head.size(); ++size) {
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::thread server([&] {
      tcp::socket socket = acceptor.accept();
      std::string request;
      asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
      asio::write(socket, asio::buffer(head.substr(0, size)));
      socket.shutdown(tcp::socket::shutdown_both);
    });
    const std::unique_ptr<HttpService> port =
        HttpService::Create(UrlOf(acceptor.local_endpoint().port())).value();
    RunControl control;
    CallRequest request;
    request.request_id = "c1";
    request.method = "POST";
    request.path = "/claims";
    request.timeout = Milliseconds(2'000);
    const CallReply reply = port->Call(request, control);
    server.join();
    cr_expect_neq(reply.status, RunStatus::kDone, "answered with status %d after %zu bytes",
                  reply.http_status, size);
  }
}

namespace {

// Bytes that a faulty server sends at most, so that a test without a bound in the client ends too.
constexpr std::size_t kEndlessBytes = 64 * 1024 * 1024;

/// Calls a server that runs `serve` after it has read the request; then its connection is closed.
CallReply CallServer(const std::function<void(asio::ip::tcp::socket&)>& serve) {
  using asio::ip::tcp;
  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::thread server([&] {
    tcp::socket socket = acceptor.accept();
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
    serve(socket);
  });
  const std::unique_ptr<HttpService> port =
      HttpService::Create(UrlOf(acceptor.local_endpoint().port())).value();
  RunControl control;
  CallRequest request;
  request.request_id = "c1";
  request.method = "POST";
  request.path = "/claims";
  request.timeout = Milliseconds(2'000);
  CallReply reply = port->Call(request, control);
  server.join();
  return reply;
}

/// Bytes that a call reads from a server that starts its answer with `start` and sends `piece`
/// again and again until the caller closes the connection.
std::size_t BytesReadOfEndlessAnswer(const std::string& start, const std::string& piece,
                                     RunStatus& status) {
  std::size_t sent = 0;
  const CallReply reply = CallServer([&](asio::ip::tcp::socket& socket) {
    std::error_code error;
    asio::write(socket, asio::buffer(start), error);
    while (!error && sent < kEndlessBytes) {
      sent += asio::write(socket, asio::buffer(piece), error);
    }
  });
  status = reply.status;
  return sent;
}

/// Calls a server that sends `answer` and closes the connection, normally or by a reset.
CallReply CallClosingServer(const std::string& answer, bool reset) {
  return CallServer([&](asio::ip::tcp::socket& socket) {
    asio::write(socket, asio::buffer(answer));
    if (reset) {
      // A reset drops bytes that the peer has not read.
      std::this_thread::sleep_for(Milliseconds(30));
      const linger reset_on_close = {1, 0};
      setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &reset_on_close,
                 sizeof(reset_on_close));
    }
  });
}

}  // namespace

// Guards against a body that was cut and counts as whole: without a length or chunks, a service
// that crashes ends its answer like one that has finished.
Test(http_service, end_that_is_not_stated_is_reported, .timeout = 60) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string with_length = ok + "Content-Length: 4\r\n\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& whole : {with_length + "done", chunked + "4\r\ndone\r\n0\r\n\r\n"}) {
    const CallReply reply = CallClosingServer(whole, false);
    cr_expect_eq(reply.status, RunStatus::kDone);
    cr_expect_eq(reply.body, std::string("done"));
    cr_expect(reply.is_end_stated);
  }
  for (std::size_t size = 0; size <= 4; ++size) {
    const std::string part = std::string("done").substr(0, size);
    const CallReply unframed = CallClosingServer(ok + "\r\n" + part, false);
    cr_expect_eq(unframed.status, RunStatus::kDone);
    cr_expect_eq(unframed.body, part);
    cr_expect(!unframed.is_end_stated);
    cr_expect_eq(CallClosingServer(ok + "\r\n" + part, true).status, RunStatus::kBroken);
  }
  for (const bool reset : {false, true}) {
    for (const std::string& cut : {with_length, with_length + "don", chunked, chunked + "4\r\ndo",
                                   chunked + "4\r\ndone\r\n", chunked + "4\r\ndone\r\n0\r\n"}) {
      cr_expect_eq(CallClosingServer(cut, reset).status, RunStatus::kBroken, "%s", cut.c_str());
    }
  }
}

// Guards against an agent that runs out of memory because its service sends a body without end.
Test(http_service, endless_body_ends_the_call, .timeout = 60) {
  RunStatus status = RunStatus::kDone;
  const std::string filler(4'096, 'x');
  cr_expect_lt(BytesReadOfEndlessAnswer("HTTP/1.1 200 OK\r\n\r\n", filler, status),
               kEndlessBytes / 2);
  cr_expect_eq(status, RunStatus::kBroken);
  cr_expect_lt(BytesReadOfEndlessAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                        "1000\r\n" + filler + "\r\n", status),
               kEndlessBytes / 2);
  cr_expect_eq(status, RunStatus::kBroken);
}

// The same for a head without end, in one line or in many.
Test(http_service, endless_head_ends_the_call, .timeout = 60) {
  RunStatus status = RunStatus::kDone;
  const std::string filler(4'096, 'x');
  cr_expect_lt(BytesReadOfEndlessAnswer("HTTP/1.1 200 OK\r\nX-Long: ", filler, status),
               kEndlessBytes / 2);
  cr_expect_lt(BytesReadOfEndlessAnswer("HTTP/1.1 200 OK\r\n",
                                        "X-More: " + filler.substr(0, 100) + "\r\n", status),
               kEndlessBytes / 2);
}

// Guards against events of an engine that never end, or never reach their end of line.
Test(http_engine, endless_event_ends_the_stream) {
  int events = 0;
  EventStream stream([&](const nlohmann::json& /*event*/) { ++events; });
  const std::string filler(4'096, 'x');
  std::size_t fed = 0;
  while (fed < kEndlessBytes && stream.Feed(filler)) {
    fed += filler.size();
  }
  cr_expect_leq(fed, kMaxEventBytes);
  EventStream lines([&](const nlohmann::json& /*event*/) { ++events; });
  for (fed = 0; fed < kEndlessBytes && lines.Feed("data: " + filler + "\n"); fed += filler.size()) {
  }
  cr_expect_leq(fed, kMaxEventBytes);
  cr_expect_eq(events, 0);
}
