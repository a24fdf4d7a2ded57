// What a caller sees when a server stops in the midst of the head of its answer and closes the
// connection in an orderly way.
#include <criterion/criterion.h>

#include <string>

#include "tests/gateway/exchange_fixture.h"

using namespace rattanramp;
using core::RequestKind;
using core::UpstreamStage;
using tests::ExchangeFixture;
using tests::FakeAnswer;
using tests::FakeEngine;

namespace {

const std::string kPlainHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\nContent-Length: 1600\r\n\r\n";
const std::string kPlainUnframedHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\nKeep-Alive: timeout=5\r\n\r\n";
const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
const std::string kStreamUnframedHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"
    "\r\n";

FakeAnswer CutAnswer(std::string bytes) {
  FakeAnswer answer;
  answer.bytes = std::move(bytes);
  answer.close = true;
  return answer;
}

}  // namespace

// Guards against a success with an empty or short body that looks whole: a server stopped after any
// byte of the head of its answer, on routes that may run once and on others.
Test(cut_head, plain_answer_is_no_success, .timeout = 60) {
  for (const std::string& head : {kPlainHead, kPlainUnframedHead}) {
    for (std::size_t size = 0; size < head.size(); ++size) {
      for (const RequestKind kind : {RequestKind::kOnce, RequestKind::kRepeatable}) {
        const auto script = [&](const std::string& /*request*/, int /*number*/) {
          return CutAnswer(head.substr(0, size));
        };
        FakeEngine first(script);
        FakeEngine second(script);
        ExchangeFixture fixture;
        fixture.Add("a", UpstreamStage::kPlain, first.port());
        fixture.Add("b", UpstreamStage::kPlain, second.port());
        fixture.Run(kind, false);
        cr_assert_eq(fixture.sink.status, 502, "status %d after %zu bytes", fixture.sink.status,
                     size);
        cr_assert_eq(first.heads().size() + second.heads().size(),
                     kind == RequestKind::kOnce ? 1 : 2);
      }
    }
  }
}

// Guards against the same in a stream: the head of the prefill's or the decode's answer is cut.
Test(cut_head, stream_does_not_look_complete, .timeout = 60) {
  for (const std::string& head : {kStreamHead, kStreamUnframedHead}) {
    // The last size is the whole head of an engine that has ended before the first event.
    for (std::size_t size = 0; size <= head.size(); ++size) {
      FakeEngine prefill([](const std::string& /*request*/, int /*number*/) {
        const std::string body = R"({"kv_handle":"h","tokens":5000})";
        return FakeAnswer{"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body};
      });
      FakeEngine decode([&](const std::string& /*request*/, int /*number*/) {
        return CutAnswer(head.substr(0, size));
      });
      ExchangeFixture fixture;
      fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
      fixture.Add("d", UpstreamStage::kDecode, decode.port());
      fixture.Run(RequestKind::kStream, /*is_resumable=*/false);
      cr_assert(!(fixture.sink.is_complete && fixture.sink.status == 200),
                "a complete stream after %zu bytes", size);
      cr_assert(fixture.sink.is_aborted || fixture.sink.status == 502);
    }
  }
}

// Guards against a decode that is sent although the prefill's answer was cut, in its head or, as it
// has no length, in its body.
Test(cut_head, prefill_answer_is_not_used, .timeout = 60) {
  const std::string whole =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n"
      R"({"kv_handle":"h","tokens":5000})";
  for (std::size_t size = 0; size < whole.size(); ++size) {
    FakeEngine prefill([&](const std::string& /*request*/, int /*number*/) {
      return CutAnswer(whole.substr(0, size));
    });
    FakeEngine decode([](const std::string& /*request*/, int /*number*/) {
      return FakeAnswer{kStreamHead + "0\r\n\r\n"};
    });
    ExchangeFixture fixture;
    fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
    fixture.Add("d", UpstreamStage::kDecode, decode.port());
    fixture.settings.retry_bound = {0, 0, Milliseconds(10'000)};
    fixture.Run(RequestKind::kStream, false);
    cr_assert_eq(decode.heads().size(), 0);
    cr_assert_eq(fixture.sink.status, 503);
  }
}
