// What a caller sees of an answer that is no valid HTTP message, or that was cut off while its
// request was still being sent.
#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "core/upstream_health.h"
#include "gateway/return_check.h"
#include "tests/gateway/exchange_fixture.h"
#include "tests/support/broken_heads.h"

using namespace rattanramp;
using core::RequestKind;
using core::UpstreamStage;
using tests::ExchangeFixture;
using tests::FakeAnswer;
using tests::FakeEngine;
using tests::WithLength;

namespace {

// More than the socket buffers of both sides hold.
constexpr std::size_t kUploadBytes = 32 * 1024 * 1024;

const std::string kKvHandle = R"({"kv_handle":"h","tokens":5000})";
const std::string kEvents = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";

// Fields of an answer to the requests of the fixture.
const std::string kFields = "Request-Id: r1\r\nResponse-Seal: s\r\n";

FakeAnswer PrefillAnswer(const std::string& /*head*/, int /*number*/) {
  return {WithLength("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n", kKvHandle)};
}

/// Runs one plain request against two servers that both send `answer`.
void RunPlain(ExchangeFixture& fixture, const FakeAnswer& answer, RequestKind kind) {
  const auto script = [&](const std::string& /*head*/, int /*number*/) { return answer; };
  FakeEngine first(script);
  FakeEngine second(script);
  fixture.Add("a", UpstreamStage::kPlain, first.port());
  fixture.Add("b", UpstreamStage::kPlain, second.port());
  fixture.Run(kind, false);
  cr_expect_eq(first.heads().size() + second.heads().size(), kind == RequestKind::kOnce ? 1 : 2);
}

/// Runs one stream whose engines send these answers.
void RunStream(ExchangeFixture& fixture, const FakeEngine::Script& prefill,
               const FakeEngine::Script& decode) {
  FakeEngine prefill_engine(prefill);
  FakeEngine decode_engine(decode);
  fixture.Add("p", UpstreamStage::kPrefill, prefill_engine.port());
  fixture.Add("d", UpstreamStage::kDecode, decode_engine.port());
  fixture.settings.retry_bound = {0, 0, Milliseconds(10'000)};
  fixture.Run(RequestKind::kStream, false);
}

FakeEngine::Script Always(const FakeAnswer& answer) {
  return [answer](const std::string& /*head*/, int /*number*/) { return answer; };
}

/// Whether a returned server that sends `answer` to health checks is used again.
bool IsConfirmedBy(const FakeAnswer& answer) {
  FakeEngine server(Always(answer));
  ExchangeFixture fixture;
  fixture.Add("a", UpstreamStage::kPlain, server.port());
  core::RoutingRules rules;
  core::ServiceRule service;
  service.name = "s";
  service.health_path = "/healthz";
  rules.services = {service};
  const auto table = core::RoutingTable::Create(rules).value();
  gateway::ReturnCheck check(fixture.state);
  const std::shared_ptr<gateway::Upstream> upstream = fixture.RemoveAndReturn("a");
  const TimePoint returned = DefaultClock().now();
  while (server.heads().empty() && DefaultClock().now() - returned < Milliseconds(5'000)) {
    check.Tick(*table);
    fixture.context.restart();
    fixture.context.run_for(Milliseconds(10));
  }
  cr_expect(!server.heads().empty());
  fixture.context.restart();
  fixture.context.run_for(Milliseconds(100));
  check.Stop();
  return !upstream->statement->is_unconfirmed;
}

/// Expects that no part of the gateway takes answers with the heads of `heads_with` for answers.
void ExpectNoAnswer(std::vector<std::string> (*heads_with)(const std::string& fields)) {
  for (const std::string& head : heads_with(kFields)) {
    for (const bool is_closed : {false, true}) {
      for (const RequestKind kind : {RequestKind::kOnce, RequestKind::kRepeatable}) {
        FakeAnswer answer{WithLength(head, "body")};
        answer.close = is_closed;
        ExchangeFixture fixture;
        RunPlain(fixture, answer, kind);
        cr_expect_eq(fixture.sink.status, 502, "plain: status %d after '%s'", fixture.sink.status,
                     head.c_str());
      }
      FakeAnswer kv{WithLength(head, kKvHandle)};
      kv.close = is_closed;
      ExchangeFixture prefill;
      RunStream(
          prefill, Always(kv),
          Always({WithLength(
              "HTTP/1.1 200 OK\r\n" + kFields + "Content-Type: text/event-stream\r\n", kEvents)}));
      cr_expect(prefill.sink.status >= 500, "prefill: status %d after '%s'", prefill.sink.status,
                head.c_str());
      FakeAnswer events{WithLength(head + "Content-Type: text/event-stream\r\n", kEvents)};
      events.close = is_closed;
      ExchangeFixture decode;
      RunStream(decode, PrefillAnswer, Always(events));
      cr_expect_eq(decode.sink.status, 502, "decode: status %d after '%s'", decode.sink.status,
                   head.c_str());
    }
  }
  // Health checks have no Request-Id.
  for (const std::string& head : heads_with("Instance-Id: a\r\n")) {
    for (const bool is_closed : {false, true}) {
      FakeAnswer health{WithLength(head, "")};
      health.close = is_closed;
      cr_expect(!IsConfirmedBy(health), "health check: '%s'", head.c_str());
    }
  }
}

}  // namespace

// Guards against an answer with a status that HTTP does not have, or a request that waits for
// another answer until its deadline.
Test(broken_answer, status_out_of_range_is_no_answer, .timeout = 300) {
  ExpectNoAnswer(tests::HeadsWithBadStatus);
}

// Guards against an answer with a field whose name holds a blank or a control byte: the line would
// be passed on, or the body end where the server did not end it.
Test(broken_answer, field_name_that_is_no_token_is_no_answer, .timeout = 300) {
  ExpectNoAnswer(tests::HeadsWithBadName);
}

// Guards against a health check that no answer confirms, so that the tests above show nothing.
Test(broken_answer, sound_health_check_confirms, .timeout = 30) {
  cr_expect(IsConfirmedBy({"HTTP/1.1 200 OK\r\nInstance-Id: a\r\nContent-Length: 0\r\n\r\n"}));
}

// Guards against a part of an answer that reaches the caller as a whole one: the server answered at
// once, without a length, and reset the connection while the request was still being sent.
Test(broken_answer, answer_reset_during_the_upload_is_broken, .timeout = 300) {
  const std::string head = "HTTP/1.1 200 OK\r\n" + kFields;
  for (int round = 0; round < 20; ++round) {
    for (const RequestKind kind : {RequestKind::kOnce, RequestKind::kRepeatable}) {
      ExchangeFixture fixture;
      fixture.request_body = std::string(kUploadBytes, 'u');
      RunPlain(fixture, {head + "\r\npart", true}, kind);
      cr_expect_eq(fixture.sink.status, 502, "plain: status %d, '%s'", fixture.sink.status,
                   fixture.sink.body.c_str());
    }
    ExchangeFixture prefill;
    prefill.request_body = std::string(kUploadBytes, 'u');
    RunStream(prefill, Always({head + "\r\n" + kKvHandle, true}),
              Always({WithLength(head + "Content-Type: text/event-stream\r\n", kEvents)}));
    cr_expect(prefill.sink.status >= 500, "prefill: status %d", prefill.sink.status);
    ExchangeFixture decode;
    decode.request_body = std::string(kUploadBytes, 'u');
    RunStream(decode, PrefillAnswer,
              Always({head + "Content-Type: text/event-stream\r\n\r\n" + kEvents, true}));
    cr_expect(!decode.sink.is_complete || decode.sink.status == 502, "decode: status %d, '%s'",
              decode.sink.status, decode.sink.body.c_str());
  }
}
