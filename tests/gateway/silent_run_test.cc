// Streams whose engine goes silent: the run stays open until another engine has accepted the
// stream.
#include "gateway/silent_run.h"

#include <criterion/criterion.h>

#include <asio/steady_timer.hpp>
#include <functional>
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

/// Nothing listens at this port.
constexpr std::uint16_t kClosedPort = 1;

const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kEnd = "0\r\n\r\n";

std::string EventText(int id) { return "id: " + std::to_string(id) + "\ndata: x\n\n"; }

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

std::string Event(int id) { return Chunk(EventText(id)); }

std::string Answer(int status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: r1\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

FakeAnswer Prefill(const std::string& /*head*/, int number) {
  return {Answer(200, "", R"({"kv_handle":"h)" + std::to_string(number) + R"(","tokens":5000})")};
}

const FakeAnswer kRefusal = {Answer(503, "Not-Executed: 1\r\n", "full")};

FakeAnswer Paused(std::string first, std::vector<std::string> later, int pause_ms) {
  FakeAnswer answer;
  answer.bytes = std::move(first);
  answer.later = std::move(later);
  answer.pause = std::chrono::milliseconds(pause_ms);
  return answer;
}

/// Goes on with the third and last event after a silence.
const FakeAnswer kGoesOn = Paused(kStreamHead + Event(1), {Event(2) + Event(3) + kEnd}, 2'300);
const FakeAnswer kStaysSilent = Paused(kStreamHead + Event(1), {"", ""}, 4'000);

/// Continues the stream to its third event.
FakeAnswer Continue(const std::string& head, int /*number*/) {
  const std::string after = FieldOf(head, "Last-Event-Id");
  std::string bytes = kStreamHead;
  for (int id = after.empty() ? 1 : std::stoi(after) + 1; id <= 3; ++id) {
    bytes += Event(id);
  }
  return {bytes + kEnd};
}

struct Case {
  FakeAnswer silent = kGoesOn;
  FakeEngine::Script other = Continue;
  bool is_other_reachable = true;
  FakeEngine::Script prefill = Prefill;
  bool is_stopping = false;
  std::int64_t max_upstreams = 2;
};

struct Outcome {
  bool is_whole = false;
  std::string body;
  std::size_t silent_runs = 0;
  std::size_t other_calls = 0;
  std::vector<std::string> other_heads;
};

/// Runs a stream at the silent engine; the other one is added after the stream has begun.
Outcome Play(const Case& play) {
  FakeEngine prefill(play.prefill);
  FakeEngine silent([&](const std::string& /*head*/, int /*number*/) { return play.silent; });
  FakeEngine other(play.other);
  ExchangeFixture fixture;
  if (play.is_stopping) {
    fixture.state.stop = {DefaultClock().now() - Milliseconds(500), Milliseconds(8'000)};
  }
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("silent", UpstreamStage::kDecode, silent.port());
  asio::steady_timer add_engine(fixture.context, Milliseconds(500));
  add_engine.async_wait([&](const std::error_code& /*error*/) {
    fixture.Add("other", UpstreamStage::kDecode,
                play.is_other_reachable ? other.port() : kClosedPort);
  });
  fixture.Run(RequestKind::kStream, true, play.max_upstreams, 4'000);
  for (const auto& [id, upstream] : fixture.fleet.upstreams()) {
    cr_expect_eq(upstream->local_load.running, 0, "load is left at %s", id.c_str());
    cr_expect_eq(upstream->local_load.reserved_tokens, 0, "memory is left at %s", id.c_str());
  }
  Outcome outcome;
  outcome.body = fixture.sink.body;
  outcome.is_whole =
      fixture.sink.is_complete && outcome.body == EventText(1) + EventText(2) + EventText(3);
  outcome.silent_runs = silent.heads().size();
  outcome.other_heads = other.heads();
  outcome.other_calls = outcome.other_heads.size();
  return outcome;
}

/// Plays a case with and without a planned stop, in which the stream must be whole.
Outcome ExpectWhole(Case play, const char* name) {
  Outcome outcome;
  for (const bool is_stopping : {true, false}) {
    play.is_stopping = is_stopping;
    outcome = Play(play);
    cr_expect(outcome.is_whole, "%s, stopping %d: %s", name, is_stopping, outcome.body.c_str());
  }
  return outcome;
}

}  // namespace

// Guards against the rule LOST, review case 2: a stream is taken from a silent engine that would go
// on, for one that does not take it, whatever the reason.
Test(silent_run, stream_goes_on_when_no_other_engine_takes_it, .timeout = 60) {
  ExpectWhole({.other = [](const std::string&, int) { return kRefusal; }}, "refused");
  ExpectWhole({.is_other_reachable = false}, "unreachable");
  ExpectWhole({.other = [](const std::string&, int) { return FakeAnswer{"", true}; }}, "reset");
  ExpectWhole({.other = [](const std::string&, int) { return Paused("", {""}, 4'000); }}, "silent");
}

// Guards against the same for an engine whose answer begins and does not continue the stream.
Test(silent_run, stream_goes_on_when_the_answer_of_another_engine_fails, .timeout = 60) {
  ExpectWhole(
      {.other = [](const std::string&, int) -> FakeAnswer { return {Answer(500, "", "failed")}; }},
      "failed");
  ExpectWhole({.other = [](const std::string&, int) -> FakeAnswer {
                return {Answer(200, "Response-Seal: s\r\n", "no stream")};
              }},
              "no stream");
  ExpectWhole({.other = [](const std::string&, int) { return Paused(kStreamHead, {""}, 4'000); }},
              "silent after its head");
  ExpectWhole({.other =
                   [](const std::string&, int) {
                     return FakeAnswer{kStreamHead, true};
                   }},
              "reset after its head");
  ExpectWhole({.other = [](const std::string&, int) -> FakeAnswer { return {"nonsense\r\n\r\n"}; }},
              "malformed");
}

// Guards against the same when the prompt cannot be read for the other engine.
Test(silent_run, stream_goes_on_when_its_prompt_cannot_be_read_again, .timeout = 60) {
  const auto then = [](const FakeAnswer& second) {
    return [second](const std::string& head, int number) {
      return number == 0 ? Prefill(head, number) : second;
    };
  };
  ExpectWhole({.prefill = then(kRefusal)}, "refused");
  ExpectWhole({.prefill = then({"", true})}, "reset");
  ExpectWhole({.prefill = then(Paused("", {""}, 4'000))}, "silent");
}

// Guards against keeping a stream at an engine that is gone while another one takes it.
Test(silent_run, stream_is_continued_when_its_engine_stays_silent, .timeout = 60) {
  const Outcome outcome = ExpectWhole({.silent = kStaysSilent}, "gone");
  cr_expect_eq(outcome.other_calls, 1);
  cr_expect_eq(FieldOf(outcome.other_heads[0], "Last-Event-Id"), "1");
}

// Guards against giving up on an engine that was full once, when the first one is gone.
Test(silent_run, full_engine_is_asked_again, .timeout = 60) {
  ExpectWhole({.silent = kStaysSilent,
               .other = [](const std::string& head,
                           int number) { return number == 0 ? kRefusal : Continue(head, number); }},
              "full once");
}

// Guards against losing the continuation when the silent engine ends before the other one answers.
Test(silent_run, continuation_goes_on_when_the_silent_engine_ends, .timeout = 60) {
  FakeAnswer ends = Paused(kStreamHead + Event(1), {""}, 2'000);
  ends.reset = true;
  const auto late = [](const std::string& /*head*/, int /*number*/) {
    return Paused("", {kStreamHead + Event(2) + Event(3) + kEnd}, 700);
  };
  ExpectWhole({.silent = ends, .other = late}, "reset");
  ends.reset = false;
  ends.close = true;
  ExpectWhole({.silent = ends, .other = late}, "closed");
}

// Guards against the rule ORDER: pieces of both runs, or of an event that the silence interrupts.
Test(silent_run, events_of_two_runs_are_not_mixed, .timeout = 60) {
  const std::string second = EventText(2);
  const FakeAnswer half = Paused(kStreamHead + Event(1) + Chunk(second.substr(0, 5)),
                                 {Chunk(second.substr(5)) + Event(3) + kEnd}, 2'300);
  ExpectWhole({.silent = half, .other = [](const std::string&, int) { return kRefusal; }},
              "half an event, refused");
  ExpectWhole({.silent = half,
               .other =
                   [](const std::string& /*head*/, int /*number*/) {
                     return Paused("", {kStreamHead + Event(2) + Event(3) + kEnd}, 1'500);
                   }},
              "half an event, the other engine is late");
  // The first piece after the silence is no whole event, nor the next.
  const FakeAnswer bits =
      Paused(kStreamHead + Event(1) + Chunk(second.substr(0, 3)),
             {"", Chunk(second.substr(3, 4)), Chunk(second.substr(7)) + Event(3) + kEnd}, 1'100);
  ExpectWhole({.silent = bits, .other = [](const std::string&, int) { return kRefusal; }},
              "an event in bits");
  ExpectWhole({.silent = bits,
               .other = [](const std::string&, int) { return Paused("", {kRefusal.bytes}, 600); }},
              "an event in bits, one of them while another engine is asked");
}

// Guards against the same for a stream whose engine is silent before its first event.
Test(silent_run, silence_before_the_first_event, .timeout = 60) {
  const std::string whole = kStreamHead + Event(1) + Event(2) + Event(3) + kEnd;
  ExpectWhole({.silent = Paused("", {whole}, 2'300),
               .other = [](const std::string&, int) { return kRefusal; }},
              "goes on");
  ExpectWhole({.silent = Paused("", {whole}, 2'300),
               .other =
                   [](const std::string&, int) {
                     return FakeAnswer{kStreamHead, true};
                   }},
              "goes on after the head of the other engine");
  ExpectWhole({.silent = Paused("", {""}, 4'000)}, "gone");
  ExpectWhole({.silent = Paused("", {kRefusal.bytes}, 2'000),
               .other = [whole](const std::string& /*head*/,
                                int /*number*/) { return Paused("", {whole}, 700); }},
              "refuses late");
}

// Guards against the rule BUDGET: a stream that may run at one engine only is not sent elsewhere.
Test(silent_run, stream_stays_when_it_may_run_once_only, .timeout = 60) {
  const Outcome outcome = ExpectWhole({.max_upstreams = 1}, "one engine");
  cr_expect_eq(outcome.other_calls, 0);
}
