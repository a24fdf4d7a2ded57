#include <criterion/criterion.h>

#include <chrono>
#include <string>

#include "tests/gateway/exchange_fixture.h"

using namespace rattanramp;
using core::RequestKind;
using core::UpstreamStage;
using tests::ExchangeFixture;
using tests::FakeAnswer;
using tests::FakeEngine;
using tests::FieldOf;

namespace {

/// Nothing listens at this port.
constexpr std::uint16_t kClosedPort = 1;

std::string Whole(int status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: r1\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Reads a prompt in 100 ms.
FakeAnswer Prefill(const std::string& /*head*/, int number) {
  FakeAnswer answer;
  answer.later = {
      Whole(200, "", R"({"kv_handle":"h)" + std::to_string(number) + R"(","tokens":5000})")};
  answer.pause = std::chrono::milliseconds(100);
  return answer;
}

FakeAnswer Stream(const std::string& /*head*/, int /*number*/) {
  return {
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
      "f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n",
      false};
}

FakeAnswer Refuse(const std::string& /*head*/, int /*number*/) {
  return {Whole(503, "Not-Executed: 1\r\n", ""), false};
}

/// Refuses the requests whose handle is `gone`.
FakeEngine::Script RefuseHandle(const std::string& gone) {
  return [gone](const std::string& head, int number) {
    return FieldOf(head, "Kv-Source").ends_with("/" + gone) ? Refuse(head, number)
                                                            : Stream(head, number);
  };
}

std::size_t Sum(const FakeEngine& a, const FakeEngine& b) {
  return a.heads().size() + b.heads().size();
}

}  // namespace

// Load: engines are full for a moment. Guards against
// reading a prompt again whose handle no engine has taken.
Test(kept_prefill, prompt_refused_by_a_full_engine_is_taken_by_the_next_one, .timeout = 30) {
  FakeEngine prefill(Prefill);
  bool has_refused = false;
  const auto script = [&](const std::string& head, int number) {
    return std::exchange(has_refused, true) ? Stream(head, number) : Refuse(head, number);
  };
  FakeEngine first(script);
  FakeEngine second(script);
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d1", UpstreamStage::kDecode, first.port());
  fixture.Add("d2", UpstreamStage::kDecode, second.port());
  fixture.Run(RequestKind::kStream, false);
  cr_assert_eq(fixture.sink.status, 200);
  cr_assert_eq(prefill.heads().size(), 1);
  cr_assert_eq(Sum(first, second), 2);
}

// Load: handles lapse at once. A handle that two engines refuse is gone, and the prompt is read
// again rather than refused by all engines.
Test(kept_prefill, prompt_whose_handle_is_gone_is_read_again, .timeout = 30) {
  FakeEngine prefill(Prefill);
  FakeEngine first(RefuseHandle("h0"));
  FakeEngine second(RefuseHandle("h0"));
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d1", UpstreamStage::kDecode, first.port());
  fixture.Add("d2", UpstreamStage::kDecode, second.port());
  fixture.Run(RequestKind::kStream, false);
  cr_assert_eq(fixture.sink.status, 200);
  cr_assert_eq(prefill.heads().size(), 2);
  cr_assert_eq(Sum(first, second), 3);
}

// Load: several engines have just died, and draw requests because they have no load (on one
// measured day 430 connections to them in 4 s, each with a prompt that was read). Guards
// against finding out only when the prompt is there, and against trying an engine that one more
// request of this gateway has found dead.
Test(kept_prefill, dead_engine_is_found_while_the_prompt_is_read, .timeout = 30) {
  FakeEngine prefill(Prefill);
  FakeEngine decode(Stream);
  ExchangeFixture fixture;
  fixture.settings.retry_bound = {0, 0, Milliseconds(10'000)};
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  for (const char* id : {"dead1", "dead2", "dead3"}) {
    fixture.Add(id, UpstreamStage::kDecode, kClosedPort);
  }
  fixture.Add("d", UpstreamStage::kDecode, decode.port(), /*slots=*/2);
  fixture.Add("d-too", UpstreamStage::kDecode, decode.port(), /*slots=*/2);
  for (const auto& [id, upstream] : fixture.fleet.upstreams()) {
    if (id.starts_with("d") && !id.starts_with("dead")) {
      // Running requests of peers: the dead engines look less loaded.
      upstream->local_load.running = 1;
    }
  }
  const TimePoint start = DefaultClock().now();
  fixture.Run(RequestKind::kStream, false);
  cr_assert_eq(fixture.sink.status, 200);
  cr_assert_eq(prefill.heads().size(), 1);
  cr_assert_eq(decode.heads().size(), 1);
  cr_assert(!FieldOf(decode.heads()[0], "Kv-Source").empty());
  cr_assert_lt(ToMs(DefaultClock().now() - start), 1'000.0);
  bool found_one = false;
  for (const auto& [id, upstream] : fixture.fleet.upstreams()) {
    found_one = found_one ||
                (id.starts_with("dead") && gateway::IsAvoided(*upstream, DefaultClock().now()));
  }
  cr_assert(found_one);
}
