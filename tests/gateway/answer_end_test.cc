// What a caller sees of the end of an answer, on a real connection: an end that the upstream has
// stated is stated to the caller, one that only its connection shows is not, and an answer that was
// broken off looks broken.
#include <criterion/criterion.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "gateway/caller_connection.h"
#include "gateway/generation_exchange.h"
#include "gateway/plain_exchange.h"
#include "http/parser.h"
#include "tests/gateway/exchange_fixture.h"

using namespace rattanramp;
using asio::ip::tcp;
using core::RequestKind;
using core::UpstreamStage;
using tests::ExchangeFixture;
using tests::FakeAnswer;
using tests::FakeEngine;

namespace {

enum class End {
  /// A length or the last chunk states that the answer is whole.
  kStated,
  /// The answer has neither and ended with an orderly close.
  kClosed,
  /// Fewer bytes than stated, no last chunk, or a reset.
  kBroken,
};

std::string NameOf(End end) {
  return end == End::kStated ? "stated" : end == End::kClosed ? "closed" : "broken";
}

struct CallerView {
  int status = 0;
  std::string body;
  End end = End::kBroken;
  /// The head announces that the connection will be closed.
  bool announces_close = false;
};

/// Sends one request to `server` and reads its answer.
CallerView Call(const tcp::endpoint& server, const std::string& version) {
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect(server);
  asio::write(socket, asio::buffer("POST /p/x HTTP/" + version + "\r\nHost: h\r\n\r\n"));
  CallerView view;
  http::ResponseParser parser(false);
  std::string unparsed;
  std::error_code error;
  while (!error && !parser.is_complete()) {
    std::array<char, 4096> bytes;
    unparsed.append(bytes.data(), socket.read_some(asio::buffer(bytes), error));
    for (std::size_t used = 1; used > 0 && !unparsed.empty() && !parser.is_complete();) {
      used = parser.Feed(unparsed).value();
      unparsed.erase(0, used);
    }
    view.body += parser.TakeBody();
  }
  if (parser.has_head()) {
    view.status = parser.head().status;
    view.announces_close = !parser.head().keep_alive;
  }
  if (parser.is_complete()) {
    view.end = End::kStated;
  } else if (error == asio::error::eof && parser.FinishAtEof()) {
    view.end = End::kClosed;
  }
  return view;
}

/// Starts the exchange of the fixture's request for each caller's request.
struct Host final : gateway::CallerHost {
  Host(ExchangeFixture& fixture, RequestKind kind, bool is_resumable)
      : fixture(fixture), kind(kind), is_resumable(is_resumable) {}
  std::unique_ptr<gateway::Exchange> StartExchange(gateway::CallerSink& sink,
                                                   http::RequestHead /*head*/,
                                                   std::string /*body*/) override {
    gateway::RequestContext request = fixture.MakeRequest(kind, is_resumable, 3, 4'000);
    if (kind == RequestKind::kStream) {
      return gateway::GenerationExchange::Start(std::move(request), fixture.state, sink);
    }
    return gateway::PlainExchange::Start(std::move(request), fixture.state, sink);
  }
  core::CallerLimits caller_limits() const override { return {}; }
  bool is_stopping() const override { return false; }
  void OnConnectionEnd(const gateway::CallerConnection* /*connection*/) override {
    fixture.context.stop();
  }

  ExchangeFixture& fixture;
  RequestKind kind;
  bool is_resumable;
};

/// Runs one request of a caller against the upstreams of the fixture.
CallerView RunCall(ExchangeFixture& fixture, RequestKind kind, bool is_resumable,
                   const std::string& version = "1.1") {
  Host host(fixture, kind, is_resumable);
  tcp::acceptor acceptor(fixture.context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  CallerView view;
  std::thread caller([&, server = acceptor.local_endpoint()] { view = Call(server, version); });
  const std::shared_ptr<gateway::CallerConnection> connection =
      gateway::CallerConnection::Create(acceptor.accept(), host);
  connection->Start();
  fixture.context.run_for(Milliseconds(5'000));
  // Ends the caller's read if the connection is still open.
  connection->Close();
  caller.join();
  connection->DropExchange();
  return view;
}

FakeAnswer PrefillAnswer(const std::string& /*head*/, int /*number*/) {
  const std::string body = R"({"kv_handle":"h","tokens":5000})";
  return {"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n" + body};
}

/// Runs a stream of which the decode attempts get `answers` in turn; the last one repeats.
CallerView RunStream(const std::vector<FakeAnswer>& answers, bool is_resumable = false,
                     const std::string& version = "1.1") {
  FakeEngine prefill(PrefillAnswer);
  std::atomic<std::size_t> decodes = 0;
  const FakeEngine::Script script = [&](const std::string& /*head*/, int /*number*/) {
    return answers[std::min(decodes++, answers.size() - 1)];
  };
  FakeEngine first(script);
  FakeEngine second(script);
  FakeEngine third(script);
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d1", UpstreamStage::kDecode, first.port());
  fixture.Add("d2", UpstreamStage::kDecode, second.port());
  fixture.Add("d3", UpstreamStage::kDecode, third.port());
  return RunCall(fixture, RequestKind::kStream, is_resumable, version);
}

/// Runs a plain request that `answer` is the answer to.
CallerView RunPlain(const FakeAnswer& answer, RequestKind kind) {
  FakeEngine server([&](const std::string& /*head*/, int /*number*/) { return answer; });
  ExchangeFixture fixture;
  fixture.Add("a", UpstreamStage::kPlain, server.port());
  return RunCall(fixture, kind, false);
}

std::string EventText(int id) { return "id: " + std::to_string(id) + "\ndata: x\n\n"; }

std::string Events(int first, int last) {
  std::string text;
  for (int id = first; id <= last; ++id) {
    text += EventText(id);
  }
  return text;
}

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

std::string Head(const std::string& fields) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n" + fields + "\r\n";
}

const std::string kStreamType = "Content-Type: text/event-stream\r\n";
const std::string kUnframed = Head(kStreamType);
const std::string kChunked = Head(kStreamType + "Transfer-Encoding: chunked\r\n");
const std::string kLastChunk = "0\r\n\r\n";

std::string WithLength(const std::string& body, const std::string& fields) {
  return Head(fields + "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
}

FakeAnswer Closed(std::string bytes) { return {std::move(bytes), false, {}, {}, {}, true}; }
FakeAnswer Reset(std::string bytes) { return {std::move(bytes), true}; }

void ExpectEnd(End expected, const CallerView& view, const std::string& name) {
  cr_expect(view.end == expected, "%s: status %d, %s after '%s'", name.c_str(), view.status,
            NameOf(view.end).c_str(), view.body.c_str());
}

}  // namespace

// Guards against a stream that is framed as complete although its engine ended in the midst of it:
// without a length and chunks, an engine's end between two events looks like that of the answer.
Test(answer_end, crash_between_events_is_not_framed_as_complete, .timeout = 60) {
  for (const int last : {1, 2, 9}) {
    const CallerView view = RunStream({Closed(kUnframed + Events(1, last))});
    ExpectEnd(End::kClosed, view, "after event " + std::to_string(last));
    cr_expect_eq(view.body, Events(1, last));
    cr_expect(view.announces_close);
  }
}

// Guards against the same where the engine ends within an event, a comment or a line end, or right
// after the head: then the stream is known to be broken off.
Test(answer_end, crash_within_an_event_looks_broken, .timeout = 120) {
  const std::vector<std::string> events = {EventText(2),
                                           "id: 2\r\ndata: x\r\n\r\n",
                                           "weight-versions: 7\nid: 2\ndata: x\ndata: y\n\n",
                                           ": comment\n\n",
                                           ": comment\r\n\r\n",
                                           ": comment\nid: 2\ndata: x\n\n",
                                           "\r\n"};
  for (const std::string& event : events) {
    for (std::size_t size = 1; size < event.size(); ++size) {
      const std::string part = EventText(1) + event.substr(0, size);
      const std::string name = std::to_string(size) + " bytes of '" + event + "'";
      const CallerView view = RunStream({Closed(kUnframed + part)});
      ExpectEnd(End::kBroken, view, name);
    }
  }
  ExpectEnd(End::kBroken, RunStream({Closed(kUnframed)}), "head alone");
}

// Guards against a reset that looks like an end, wherever it comes.
Test(answer_end, reset_looks_broken, .timeout = 120) {
  const std::string event = EventText(2);
  for (std::size_t size = 0; size <= event.size(); ++size) {
    const std::string part = EventText(1) + event.substr(0, size);
    const std::string name = "after " + std::to_string(size) + " bytes";
    ExpectEnd(End::kBroken, RunStream({Reset(kUnframed + part)}), "unframed, reset " + name);
    ExpectEnd(End::kBroken, RunStream({Reset(kChunked + Chunk(part))}), "chunks, reset " + name);
  }
}

// Guards against the same with a length or chunks that the engine does not keep to.
Test(answer_end, answer_shorter_than_its_framing_looks_broken, .timeout = 120) {
  const std::string body = Events(1, 2);
  const std::string chunks = kChunked + Chunk(EventText(1)) + Chunk(EventText(2)) + kLastChunk;
  for (std::size_t size = kChunked.size(); size < chunks.size(); ++size) {
    const std::string name = std::to_string(size - kChunked.size()) + " bytes of the chunks";
    ExpectEnd(End::kBroken, RunStream({Closed(chunks.substr(0, size))}), name);
  }
  const std::string whole = WithLength(body, kStreamType);
  for (std::size_t missing = 1; missing <= body.size(); ++missing) {
    const std::string name = std::to_string(missing) + " bytes missing of the length";
    ExpectEnd(End::kBroken, RunStream({Closed(whole.substr(0, whole.size() - missing))}), name);
  }
}

// Guards against an end that is stated although it belongs to a continuation which was cut too: the
// first engine has stated chunks, the second one has no framing and ends at any byte.
Test(answer_end, cut_continuation_is_not_framed_as_complete, .timeout = 120) {
  const std::string rest = Events(3, 4);
  for (std::size_t size = 0; size <= rest.size(); ++size) {
    const std::string name = std::to_string(size) + " bytes of the continuation";
    const CallerView view = RunStream(
        {Closed(kChunked + Chunk(Events(1, 2))), Closed(kUnframed + rest.substr(0, size))}, true);
    ExpectEnd(End::kBroken, view, name);
    cr_expect_eq(view.status, 200);
  }
}

// Guards against a broken stream whose continuation, which states its end, does not reach a caller
// that was promised no statement; and against a continuation that is not asked for.
Test(answer_end, continuation_completes_a_stream, .timeout = 60) {
  const FakeAnswer rest = {kChunked + Chunk(Events(3, 5)) + kLastChunk};
  const CallerView unframed = RunStream({Closed(kUnframed + Events(1, 2) + "id: 3"), rest}, true);
  ExpectEnd(End::kClosed, unframed, "unframed");
  cr_expect_eq(unframed.body, Events(1, 5));
  const CallerView chunked = RunStream({Closed(kChunked + Chunk(Events(1, 2))), rest}, true);
  ExpectEnd(End::kStated, chunked, "chunks");
  cr_expect_eq(chunked.body, Events(1, 5));
  // The end of the continuation is confirmed by a third engine that has nothing to add.
  const CallerView confirmed = RunStream({Closed(kChunked + Chunk(Events(1, 2))),
                                          Closed(kUnframed + Events(3, 5)),
                                          {kChunked + kLastChunk}},
                                         true);
  ExpectEnd(End::kStated, confirmed, "confirmed");
  cr_expect_eq(confirmed.body, Events(1, 5));
}

// Guards against an answer that is no stream, or one of a plain service, which gets a length that
// its upstream never stated.
Test(answer_end, answer_without_a_length_gets_none, .timeout = 60) {
  const std::string json = R"({"text":"x"})";
  const std::string head = Head("Content-Type: application/json\r\n");
  for (std::size_t size = 0; size <= json.size(); ++size) {
    const std::string part = json.substr(0, size);
    const std::string name = std::to_string(size) + " bytes";
    const CallerView other = RunStream({Closed(head + part)});
    ExpectEnd(End::kClosed, other, "no stream, " + name);
    cr_expect_eq(other.body, part);
    for (const RequestKind kind : {RequestKind::kOnce, RequestKind::kRepeatable}) {
      const CallerView plain = RunPlain(Closed(head + part), kind);
      ExpectEnd(End::kClosed, plain, "plain, " + name);
      cr_expect_eq(plain.status, 200);
      cr_expect_eq(plain.body, part);
      cr_expect(plain.announces_close);
      cr_expect_eq(RunPlain(Reset(head + part), kind).status, 502, "reset, %s", name.c_str());
    }
  }
}

// Guards against a stated end that is lost, and against a connection that is closed for nothing.
Test(answer_end, stated_end_is_passed_on, .timeout = 60) {
  const std::string events = Events(1, 3);
  for (const FakeAnswer& answer :
       {FakeAnswer{kChunked + Chunk(events) + kLastChunk}, {WithLength(events, kStreamType)}}) {
    const CallerView view = RunStream({answer});
    ExpectEnd(End::kStated, view, "stream");
    cr_expect_eq(view.body, events);
    cr_expect(!view.announces_close);
  }
  const CallerView plain = RunPlain({WithLength("x", "")}, RequestKind::kOnce);
  ExpectEnd(End::kStated, plain, "plain");
  cr_expect(!plain.announces_close);
}

// Guards against a sound stream without a length that looks broken to a caller, also to one whose
// version of the protocol has no chunks.
Test(answer_end, sound_stream_without_a_length_stays_whole, .timeout = 60) {
  const std::string stream = ": start\n\n" + Events(1, 3) + "id: 4\r\ndata: x\r\n\r\n: done\n\n";
  for (const std::string version : {"1.1", "1.0"}) {
    FakeAnswer answer = Closed(kUnframed + stream.substr(0, 20));
    for (std::size_t from = 20; from < stream.size(); from += 7) {
      answer.later.push_back(stream.substr(from, 7));
    }
    answer.pause = std::chrono::milliseconds(2);
    const CallerView view = RunStream({answer}, true, version);
    ExpectEnd(End::kClosed, view, version);
    cr_expect_eq(view.body, stream);
  }
}

// Guards against the end of a sound engine's connection as evidence that the request crashes
// engines, or that the engine is unhealthy.
Test(answer_end, end_of_a_sound_stream_is_no_evidence, .timeout = 60) {
  FakeEngine prefill(PrefillAnswer);
  FakeEngine decode(
      [](const std::string& /*head*/, int /*number*/) { return Closed(kUnframed + Events(1, 3)); });
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d", UpstreamStage::kDecode, decode.port());
  for (int i = 0; i < 8; ++i) {
    cr_expect_eq(RunCall(fixture, RequestKind::kStream, true).body, Events(1, 3));
    fixture.context.restart();
  }
  cr_expect(fixture.state.crash_causes.losses.empty());
  cr_expect(!core::IsBackingOff(fixture.fleet.OfService("s")[1]->health, DefaultClock().now()));
}
