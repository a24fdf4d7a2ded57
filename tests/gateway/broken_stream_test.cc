// What a caller sees of a stream that broke off and of the answer that followed: whole events of
// its own request, and then the end of the stream or a visible break.
#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <string>
#include <vector>

#include "tests/gateway/exchange_fixture.h"

using namespace rattanramp;
using core::RequestKind;
using core::UpstreamStage;
using tests::ExchangeFixture;
using tests::FakeAnswer;
using tests::FakeEngine;
using tests::FieldOf;

namespace {

FakeAnswer PrefillAnswer(const std::string& /*head*/, int /*number*/) {
  const std::string body = R"({"kv_handle":"h","tokens":5000})";
  return {"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n" + body};
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

const std::string kLastChunk = "0\r\n\r\n";

std::string StreamHead(const std::string& fields) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n" + fields + "\r\n";
}

const std::string kChunked =
    StreamHead("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
const std::string kUnframed = StreamHead("Content-Type: text/event-stream\r\n");

/// An answer with a length.
std::string Answer(int status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: r1\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string kErrorText =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"
    "internal error\n\ndata: try again\n\n";

FakeAnswer BrokenStream(int events) { return {kChunked + Chunk(Events(1, events)), true}; }

/// What the caller got.
struct Outcome {
  int status = 0;
  std::string body;
  bool is_complete = false;
  bool is_aborted = false;
  std::size_t decodes = 0;
};

/// Runs a stream of which the decode attempts get `answers` in turn; the last one repeats.
Outcome RunStream(const std::vector<FakeAnswer>& answers, bool is_resumable = true) {
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
  fixture.Run(RequestKind::kStream, is_resumable, 3);
  return {fixture.sink.status, fixture.sink.body, fixture.sink.is_complete, fixture.sink.is_aborted,
          decodes};
}

/// Expects a stream of the events 1 to `last` that breaks visibly.
void ExpectBreakAfter(int last, const Outcome& outcome, const std::string& name) {
  cr_expect_eq(outcome.status, 200, "%s: status %d", name.c_str(), outcome.status);
  cr_expect_eq(outcome.body, Events(1, last), "%s: %s", name.c_str(), outcome.body.c_str());
  cr_expect(outcome.is_aborted && !outcome.is_complete, "%s is not broken off", name.c_str());
}

}  // namespace

// Guards against the text or the head of an error in the caller's stream, and against an end that
// looks real, when the engines that should continue the stream answer with something else.
Test(broken_stream, answer_that_does_not_continue_the_stream_is_not_passed, .timeout = 300) {
  const std::string sealed = "Response-Seal: s\r\n";
  const std::string events = "Content-Type: text/event-stream\r\n";
  struct Case {
    std::string name;
    FakeAnswer answer;
  };
  std::vector<Case> cases;
  for (const int status : {500, 502, 503, 504, 400, 404, 408, 429}) {
    cases.push_back({std::to_string(status) + " sealed", {Answer(status, sealed, kErrorText)}});
    cases.push_back({std::to_string(status) + " unsealed", {Answer(status, "", kErrorText)}});
  }
  cases.push_back({"503 not run", {Answer(503, "Not-Executed: 1\r\n", "full\n\n")}});
  cases.push_back({"200 unsealed", {Answer(200, events, Events(3, 4))}});
  cases.push_back({"200 json", {Answer(200, sealed + "Content-Type: application/json\r\n", "{}")}});
  cases.push_back(
      {"200 text", {Answer(200, sealed + "Content-Type: text/plain\r\n", "internal error\n\n")}});
  cases.push_back({"200 untyped json", {Answer(200, sealed, "{\"error\":\"e\"}")}});
  cases.push_back({"200 untyped text", {Answer(200, sealed, "internal error\n\n")}});
  cases.push_back(
      {"200 encoded", {Answer(200, sealed + events + "Content-Encoding: gzip\r\n", Events(3, 4))}});
  cases.push_back({"starts anew", {kChunked + Chunk(Events(1, 4)) + kLastChunk}});
  cases.push_back({"repeats", {kChunked + Chunk(Events(2, 4)) + kLastChunk}});
  cases.push_back({"skips", {kChunked + Chunk(Events(4, 5)) + kLastChunk}});
  cases.push_back({"error event", {kChunked + Chunk("data: internal error\n\n") + kLastChunk}});
  cases.push_back({"head in chunks", {kChunked + Chunk(kErrorText) + kLastChunk}});
  cases.push_back({"head without chunks", {kChunked + kErrorText}});
  cases.push_back({"head without framing", {kUnframed + kErrorText, false, {}, {}, {}, true}});
  for (const Case& one : cases) {
    ExpectBreakAfter(2, RunStream({BrokenStream(2), one.answer}), one.name);
  }
}

// Guards against an error that a server writes into the stream that it has begun: its head and
// text must not reach the caller, and the stream must not look complete.
Test(broken_stream, error_written_into_a_stream_is_not_passed, .timeout = 120) {
  for (const std::string& start : {EventText(3).substr(0, 3), EventText(3).substr(0, 8),
                                   EventText(3).substr(0, 14), std::string()}) {
    const std::string body = Events(1, 2) + start + kErrorText;
    ExpectBreakAfter(2, RunStream({{kChunked + Chunk(body) + kLastChunk}}, false), "chunked");
    FakeAnswer between_chunks;
    between_chunks.bytes = kChunked + Chunk(Events(1, 2) + start);
    between_chunks.later = {kErrorText};
    between_chunks.pause = std::chrono::milliseconds(50);
    ExpectBreakAfter(2, RunStream({between_chunks}, false), "between chunks");
    ExpectBreakAfter(2, RunStream({{kUnframed + body, false, {}, {}, {}, true}}, false),
                     "unframed");
    ExpectBreakAfter(
        2,
        RunStream({{StreamHead("Content-Length: " + std::to_string(body.size()) + "\r\n") + body}},
                  false),
        "with a length");
  }
}

// Guards against a stream that ends in the middle of an event, or by a lost connection, and looks
// complete to the caller.
Test(broken_stream, cut_stream_does_not_look_complete, .timeout = 120) {
  const std::string part = Events(1, 2) + EventText(3).substr(0, 14);
  ExpectBreakAfter(2, RunStream({{kChunked + Chunk(part) + kLastChunk}}, false), "last chunk");
  ExpectBreakAfter(2, RunStream({{kUnframed + part, false, {}, {}, {}, true}}, false), "unframed");
  ExpectBreakAfter(2, RunStream({{kUnframed + Events(1, 2), true}}, false), "unframed reset");
  ExpectBreakAfter(2, RunStream({{kChunked + Chunk(Events(1, 2)), false, {}, {}, {}, true}}, false),
                   "closed");
  ExpectBreakAfter(
      2,
      RunStream({{StreamHead("Content-Length: 400\r\n") + Events(1, 2), false, {}, {}, {}, true}},
                false),
      "short of its length");
}

// Guards against a stream that cannot go on after an engine that sent foreign bytes: the next
// engine continues after the last whole event.
Test(broken_stream, stream_goes_on_after_foreign_bytes, .timeout = 120) {
  const FakeAnswer rest = {kChunked + Chunk(Events(3, 5)) + kLastChunk};
  const std::vector<FakeAnswer> faulty = {
      {kChunked + Chunk(Events(1, 2) + kErrorText) + kLastChunk},
      {kChunked + Chunk(Events(1, 2) + "id: 3\nda") + kLastChunk},
      {kUnframed + Events(1, 2) + "id: 3\nda", false, {}, {}, {}, true},
      {kChunked + Chunk(Events(1, 2)), true}};
  for (const FakeAnswer& answer : faulty) {
    const Outcome outcome = RunStream({answer, rest});
    cr_expect(outcome.is_complete);
    cr_expect_eq(outcome.body, Events(1, 5), "%s", outcome.body.c_str());
    cr_expect_eq(outcome.decodes, 2);
  }
  const Outcome third = RunStream({BrokenStream(2), {Answer(500, "", kErrorText)}, rest});
  cr_expect(third.is_complete);
  cr_expect_eq(third.body, Events(1, 5));
}

// Guards against losing a stream whose engine had sent all events, but not the last chunk: the next
// engine has nothing to add.
Test(broken_stream, stream_without_its_last_chunk_ends_with_an_empty_continuation, .timeout = 60) {
  const Outcome outcome = RunStream({BrokenStream(4), {kChunked + kLastChunk}});
  cr_expect(outcome.is_complete);
  cr_expect_eq(outcome.body, Events(1, 4));
}

// Guards against rejecting what sound engines send.
Test(broken_stream, sound_streams_pass_unchanged, .timeout = 120) {
  const std::string mixed =
      ": start\n\nweight-versions: 7\nid: 41\ndata: a\n\nid: 42\r\nevent: token\r\ndata: b\r\n\r\n";
  for (const FakeAnswer& answer : std::vector<FakeAnswer>{
           {kChunked + Chunk(mixed) + kLastChunk},
           {StreamHead("Content-Type: text/event-stream; charset=utf-8\r\nContent-Length: " +
                       std::to_string(mixed.size()) + "\r\n") +
            mixed},
           {kUnframed + mixed, false, {}, {}, {}, true}}) {
    const Outcome outcome = RunStream({answer}, false);
    cr_expect(outcome.is_complete);
    cr_expect_eq(outcome.body, mixed, "%s", outcome.body.c_str());
  }
  const std::string json = "{\"text\":\"x\"}";
  const Outcome other = RunStream(
      {{Answer(200, "Response-Seal: s\r\nContent-Type: application/json\r\n", json)}}, false);
  cr_expect(other.is_complete);
  cr_expect_eq(other.body, json);
}
