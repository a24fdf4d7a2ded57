#include "gateway/generation_exchange.h"

#include <criterion/criterion.h>

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <limits>
#include <memory>
#include <string>
#include <thread>

#include "tests/gateway/exchange_fixture.h"

using namespace rattanramp;
using core::RequestKind;
using core::UpstreamStage;
using tests::ExchangeFixture;
using tests::FakeAnswer;
using tests::FakeEngine;
using tests::FieldOf;

namespace {

std::string CompleteAnswer(int status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: r1\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

FakeAnswer PrefillAnswer(const std::string& /*head*/, int number) {
  return {CompleteAnswer(200, "",
                         R"({"kv_handle":"h)" + std::to_string(number) + R"(","tokens":5000})"),
          false};
}

/// Nothing listens at this port.
constexpr std::uint16_t kClosedPort = 1;

std::string Event(int id) {
  const std::string text = "id: " + std::to_string(id) + "\ndata: x\n\n";
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

}  // namespace

// Guards against the prefill answer of a resumed stream being handled as events of the stream. With
// this fault, every resumed stream was prefilled four times without effect and then aborted (seen
// in censo-arbolado scale-2).
Test(generation_exchange, interrupted_stream_is_resumed_on_another_engine, .timeout = 30) {
  FakeEngine prefill(PrefillAnswer);
  int decodes = 0;
  const auto decode_script = [&](const std::string& head, int /*number*/) -> FakeAnswer {
    ++decodes;
    const std::string after = FieldOf(head, "Last-Event-Id");
    if (decodes == 1) {
      return {kStreamHead + Event(1) + Event(2) + "a\r\nid: 3\nda", true};
    }
    cr_assert_eq(after, "2");
    return {kStreamHead + Event(3) + Event(4) + "0\r\n\r\n", false};
  };
  FakeEngine first(decode_script);
  FakeEngine second(decode_script);
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d1", UpstreamStage::kDecode, first.port());
  fixture.Add("d2", UpstreamStage::kDecode, second.port());
  fixture.Run(RequestKind::kStream, true);
  cr_assert(fixture.sink.is_complete);
  cr_assert_eq(fixture.sink.body,
               "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n");
  cr_assert_eq(prefill.heads().size(), 2);
  cr_assert_eq(first.heads().size(), 1);
  cr_assert_eq(second.heads().size(), 1);
  for (const FakeEngine* engine : {&first, &second}) {
    cr_assert(!FieldOf(engine->heads()[0], "Kv-Source").empty());
  }
}

// Guards against starting a decode on an engine without free memory, which preempts a running
// stream. It comes about in a burst at several gateways: during prefill, peers fill the chosen
// engine.
Test(generation_exchange, overloaded_decode_engine_is_replaced, .timeout = 30) {
  ExchangeFixture fixture;
  std::string chosen;
  FakeEngine prefill([&](const std::string& head, int number) -> FakeAnswer {
    asio::post(fixture.context, [&] {
      for (const auto& [id, upstream] : fixture.fleet.upstreams()) {
        if (upstream->info.stage == UpstreamStage::kDecode && upstream->local_load.running == 1) {
          chosen = id;
          fixture.fleet.SetPeerState("peer", {{{upstream->key, {3, 95'000, 0}}}, {}, {}});
        }
      }
    });
    return PrefillAnswer(head, number);
  });
  const auto decode_script = [](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    return {kStreamHead + Event(1) + "0\r\n\r\n", false};
  };
  FakeEngine first(decode_script);
  FakeEngine second(decode_script);
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d1", UpstreamStage::kDecode, first.port());
  fixture.Add("d2", UpstreamStage::kDecode, second.port());
  fixture.Run(RequestKind::kStream, true);
  cr_assert(fixture.sink.is_complete);
  cr_assert(chosen == "d1" || chosen == "d2");
  cr_assert_eq((chosen == "d1" ? first : second).heads().size(), 0);
  cr_assert_eq((chosen == "d1" ? second : first).heads().size(), 1);
  cr_assert_eq(prefill.heads().size(), 1);
}

// Guards against running a non-resumable stream twice after its engine failed, and against
// reporting the incomplete stream as complete.
Test(generation_exchange, non_resumable_stream_is_aborted, .timeout = 30) {
  FakeEngine prefill(PrefillAnswer);
  FakeEngine decode([](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    return {kStreamHead + Event(1), true};
  });
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d", UpstreamStage::kDecode, decode.port());
  fixture.Run(RequestKind::kStream, false);
  cr_assert(fixture.sink.is_aborted);
  cr_assert(!fixture.sink.is_complete);
  cr_assert_eq(decode.heads().size(), 1);
}

// Guards against a second prefill of a prompt that is already prefilled. A decode engine whose
// address belongs to another process has not used the prefilled prompt, which is kept for half a
// second.
Test(generation_exchange, prefilled_prompt_is_reused_on_another_engine, .timeout = 30) {
  FakeEngine prefill(PrefillAnswer);
  const auto reject = [](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    return {CompleteAnswer(421, "Instance-Id: other\r\n", ""), false};
  };
  const auto accept = [](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    return {kStreamHead + Event(1) + "0\r\n\r\n", false};
  };
  bool has_rejected = false;
  const auto script = [&](const std::string& head, int number) -> FakeAnswer {
    return std::exchange(has_rejected, true) ? accept(head, number) : reject(head, number);
  };
  FakeEngine first(script);
  FakeEngine second(script);
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d1", UpstreamStage::kDecode, first.port());
  fixture.Add("d2", UpstreamStage::kDecode, second.port());
  fixture.Run(RequestKind::kStream, false);
  cr_assert(fixture.sink.is_complete);
  cr_assert_eq(fixture.sink.body, "id: 1\ndata: x\n\n");
  cr_assert_eq(prefill.heads().size(), 1);
}

// Guards against answering that a request did not run while an engine may be running it: the
// connection is lost before the answer.
Test(generation_exchange, connection_lost_before_answer_reports_unknown_outcome, .timeout = 30) {
  FakeEngine prefill(PrefillAnswer);
  FakeEngine decode([](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    return {"", true};
  });
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d", UpstreamStage::kDecode, decode.port());
  fixture.Run(RequestKind::kStream, false);
  cr_assert_eq(fixture.sink.status, 502);
}

// Guards against cutting a slow but sound stream: its caller waits up to 3.6 s between events, and
// the stream cannot go on elsewhere.
Test(generation_exchange, slow_stream_that_cannot_move_is_not_cut, .timeout = 30) {
  FakeEngine prefill(PrefillAnswer);
  FakeEngine decode([](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    FakeAnswer answer;
    answer.later = {kStreamHead + Event(1), Event(2) + "0\r\n\r\n"};
    answer.pause = std::chrono::milliseconds(1'600);
    return answer;
  });
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d", UpstreamStage::kDecode, decode.port());
  fixture.Run(RequestKind::kStream, false, 1, 5'000);
  cr_assert(fixture.sink.is_complete);
  cr_assert_eq(fixture.sink.status, 200);
  cr_assert_eq(fixture.sink.body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
}

// Guards against waiting on a stalled stream because single bytes still arrive. Progress is a
// complete event; comment lines and parts of an event are not.
Test(generation_exchange, stalled_stream_with_single_bytes_moves_on, .timeout = 30) {
  FakeEngine prefill(PrefillAnswer);
  int decodes = 0;
  const auto decode_script = [&](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    if (++decodes > 1) {
      return {kStreamHead + Event(2) + "0\r\n\r\n", false};
    }
    FakeAnswer answer;
    answer.bytes = kStreamHead + Event(1);
    answer.later.assign(30, "3\r\n:\n\n\r\n");
    answer.pause = std::chrono::milliseconds(200);
    return answer;
  };
  FakeEngine first(decode_script);
  FakeEngine second(decode_script);
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d1", UpstreamStage::kDecode, first.port());
  fixture.Add("d2", UpstreamStage::kDecode, second.port());
  const TimePoint started = DefaultClock().now();
  fixture.Run(RequestKind::kStream, true);
  cr_assert(fixture.sink.is_complete);
  cr_assert_neq(fixture.sink.body.find("id: 2\n"), std::string::npos);
  cr_assert_lt(ToMs(DefaultClock().now() - started), 2'500.0);
}

// Guards against memory that grows without bound when an engine sends an event without an end.
Test(generation_exchange, event_without_end_ends_the_attempt, .timeout = 30) {
  FakeEngine prefill(PrefillAnswer);
  const std::string filler(4'096, 'x');
  FakeEngine decode([&](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    FakeAnswer answer;
    answer.bytes = kStreamHead + Event(1);
    answer.endless = "1000\r\n" + filler + "\r\n";
    return answer;
  });
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d", UpstreamStage::kDecode, decode.port());
  const TimePoint started = DefaultClock().now();
  fixture.Run(RequestKind::kStream, false);
  cr_assert(fixture.sink.is_aborted);
  cr_assert_lt(ToMs(DefaultClock().now() - started), 2'000.0);
}

// Guards against ending an attempt as silent while the gateway itself does not read from the
// engine, because the caller reads slowly.
Test(generation_exchange, slow_caller_does_not_end_the_attempt, .timeout = 30) {
  FakeEngine prefill(PrefillAnswer);
  FakeEngine decode([](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    FakeAnswer answer;
    answer.bytes = kStreamHead + Event(1);
    answer.later = {Event(2) + "0\r\n\r\n"};
    answer.pause = std::chrono::milliseconds(300);
    return answer;
  });
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d", UpstreamStage::kDecode, decode.port());
  fixture.sink.unsent = 1'000'000;
  asio::steady_timer caller_reads(fixture.context);
  fixture.on_started = [&](gateway::Exchange& exchange) {
    caller_reads.expires_after(Milliseconds(2'000));
    caller_reads.async_wait([&](const std::error_code& /*error*/) {
      fixture.sink.unsent = 0;
      exchange.OnBytesSent();
    });
  };
  fixture.Run(RequestKind::kStream, true);
  cr_assert(fixture.sink.is_complete);
  cr_assert_eq(decode.heads().size(), 1);
}

// Guards against sending one request after the other to an engine that is no longer at its address,
// at this gateway and its peers, until the list of upstreams is read again.
Test(generation_exchange, misdirected_engine_gets_no_further_requests, .timeout = 30) {
  FakeEngine prefill(PrefillAnswer);
  FakeEngine gone([](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    return {CompleteAnswer(421, "Instance-Id: other\r\n", ""), false};
  });
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d", UpstreamStage::kDecode, gone.port());
  fixture.Run(RequestKind::kStream, false, 2, 1'000);
  cr_assert_eq(fixture.sink.status, 503);
  cr_assert_eq(gone.heads().size(), 1);
  cr_assert(fixture.fleet.upstreams().at("d")->is_excluded);
  cr_assert_eq(fixture.fleet.LocalExclusions().size(), 1);
}

// Guards against counting memory of the prefill engine as free while it keeps a prompt that no
// decode engine has taken, and against counting it as taken afterwards.
Test(generation_exchange, prefilled_prompt_counts_at_its_engine_until_it_is_taken, .timeout = 30) {
  FakeEngine prefill(PrefillAnswer);
  FakeEngine decode([](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    FakeAnswer answer;
    answer.later = {kStreamHead + Event(1), "0\r\n\r\n"};
    answer.pause = std::chrono::milliseconds(800);
    return answer;
  });
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d", UpstreamStage::kDecode, decode.port());
  asio::steady_timer before_answer(fixture.context, Milliseconds(400));
  asio::steady_timer after_answer(fixture.context, Milliseconds(1'300));
  std::int64_t waiting_tokens = -1;
  std::int64_t taken_tokens = -1;
  before_answer.async_wait([&](const std::error_code& /*error*/) {
    waiting_tokens = fixture.fleet.upstreams().at("p")->local_load.reserved_tokens;
  });
  after_answer.async_wait([&](const std::error_code& /*error*/) {
    taken_tokens = fixture.fleet.upstreams().at("p")->local_load.reserved_tokens;
  });
  fixture.Run(RequestKind::kStream, false);
  cr_assert(fixture.sink.is_complete);
  cr_assert_eq(waiting_tokens, 5'000);
  cr_assert_eq(taken_tokens, 0);
}

// Guards against the incident LOST: a generation that had waited since the start of a stop was
// started near its end and cut. It is refused as soon as it can no longer end in time.
Test(generation_exchange, queued_generation_is_refused_when_the_stop_leaves_too_little_time,
     .timeout = 30) {
  ExchangeFixture fixture;
  const TimePoint now = DefaultClock().now();
  fixture.state.stop = {now - Milliseconds(1'000), Milliseconds(8'000)};
  bool is_refused_at_once = true;
  fixture.on_started = [&](gateway::Exchange& exchange) {
    exchange.OnStopProgress();
    is_refused_at_once = fixture.sink.is_complete;
    fixture.state.stop->started = now - Milliseconds(5'000);
    exchange.OnStopProgress();
  };
  fixture.Run(RequestKind::kStream, true);
  cr_assert(!is_refused_at_once);
  cr_assert(fixture.sink.is_complete);
  cr_assert_eq(fixture.sink.status, 503);
}

// Guards against the incident LOST: a generation that is longer than usual was accepted and started
// in a stop, because the usual duration was expected of it, and cut at the end.
Test(generation_exchange, long_generation_is_refused_when_it_would_outlast_the_stop,
     .timeout = 30) {
  for (const std::int64_t max_output : {5'000, 20'000}) {
    ExchangeFixture fixture;
    fixture.max_output_tokens = max_output;
    fixture.state.stop = {DefaultClock().now() - Milliseconds(1'000), Milliseconds(8'000)};
    bool is_refused = false;
    fixture.on_started = [&](gateway::Exchange& exchange) {
      exchange.OnStopProgress();
      is_refused = fixture.sink.is_complete && fixture.sink.status == 503;
    };
    fixture.Run(RequestKind::kStream, true, 2, 14'000);
    cr_expect_eq(is_refused, max_output == 20'000);
  }
}

// Guards against a process that exits while an engine runs a request: the answer says that it
// may have run.
Test(generation_exchange, running_generation_gets_an_answer_at_the_forced_end, .timeout = 30) {
  FakeEngine prefill(PrefillAnswer);
  FakeEngine decode([](const std::string& /*head*/, int /*number*/) { return FakeAnswer{}; });
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d", UpstreamStage::kDecode, decode.port());
  asio::steady_timer forced_end(fixture.context);
  fixture.on_started = [&](gateway::Exchange& exchange) {
    forced_end.expires_after(Milliseconds(500));
    forced_end.async_wait([&](const std::error_code& /*error*/) { exchange.EndForStop(); });
  };
  fixture.Run(RequestKind::kStream, true);
  cr_assert_eq(decode.heads().size(), 1);
  cr_assert_eq(fixture.sink.status, 502);
  cr_assert(fixture.sink.is_complete);
}

// Guards against a stream that looks complete although the process has stopped in its midst.
Test(generation_exchange, open_stream_is_cut_visibly_at_the_forced_end, .timeout = 30) {
  FakeEngine prefill(PrefillAnswer);
  FakeEngine decode([](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    return {kStreamHead + Event(1), false};
  });
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d", UpstreamStage::kDecode, decode.port());
  asio::steady_timer forced_end(fixture.context);
  fixture.on_started = [&](gateway::Exchange& exchange) {
    forced_end.expires_after(Milliseconds(500));
    forced_end.async_wait([&](const std::error_code& /*error*/) { exchange.EndForStop(); });
  };
  fixture.Run(RequestKind::kStream, true);
  cr_assert_eq(fixture.sink.status, 200);
  cr_assert(fixture.sink.is_aborted);
  cr_assert(!fixture.sink.is_complete);
}

// Guards against work that is started near the end of a stop: a retry of a request that has not run
// is refused if it can no longer end in time, as a queued request is.
Test(generation_exchange, retry_is_not_started_when_the_stop_leaves_too_little_time,
     .timeout = 30) {
  FakeEngine prefill(PrefillAnswer);
  std::atomic<int> decodes = 0;
  const FakeEngine::Script script = [&](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    FakeAnswer answer;
    if (++decodes == 1) {
      answer.later = {
          "HTTP/1.1 503 X\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"
          "Content-Length: 0\r\n\r\n"};
      answer.pause = std::chrono::milliseconds(310);
    }
    return answer;
  };
  FakeEngine first(script);
  FakeEngine second(script);
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d1", UpstreamStage::kDecode, first.port());
  fixture.Add("d2", UpstreamStage::kDecode, second.port());
  asio::steady_timer stop(fixture.context, Milliseconds(100));
  fixture.on_started = [&](gateway::Exchange& /*exchange*/) {
    // The first decode is running by now.
    stop.async_wait([&](const std::error_code& /*error*/) {
      fixture.state.stop = {DefaultClock().now() - Milliseconds(5'000), Milliseconds(8'000)};
    });
  };
  fixture.Run(RequestKind::kStream, true);
  cr_expect_eq(decodes.load(), 1, "sent to %d decode engines", decodes.load());
  cr_expect_eq(fixture.sink.status, 503, "%d", fixture.sink.status);
}

// Guards against an outcome "unknown" of a request that was never sent: the connection to the
// engine is still being made at the forced end.
Test(generation_exchange, forced_end_before_the_decode_is_sent_says_not_run, .timeout = 30) {
  FakeEngine prefill(PrefillAnswer);
  // The queue of this listener is full, so that connections to it are not completed; the exchange
  // gives up after 300 ms.
  asio::io_context listener_context;
  asio::ip::tcp::acceptor listener(
      listener_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0), false);
  listener.listen(0);
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> fillers;
  for (int i = 0; i < 4; ++i) {
    fillers.push_back(std::make_unique<asio::ip::tcp::socket>(listener_context));
    fillers.back()->async_connect(listener.local_endpoint(), [](const std::error_code&) {});
  }
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d", UpstreamStage::kDecode, listener.local_endpoint().port());
  asio::steady_timer forced_end(fixture.context);
  fixture.on_started = [&](gateway::Exchange& exchange) {
    forced_end.expires_after(Milliseconds(150));
    forced_end.async_wait([&](const std::error_code& /*error*/) { exchange.EndForStop(); });
  };
  fixture.Run(RequestKind::kStream, true);
  cr_assert_eq(prefill.heads().size(), 1);
  cr_assert_eq(fixture.sink.status, 503, "%d %s", fixture.sink.status, fixture.sink.body.c_str());
}

namespace {

struct SilenceCase {
  /// Time for which the prefill engine does not answer.
  std::chrono::milliseconds prefill{0};
  /// Time for which the decode engine sends nothing, not even the head.
  std::chrono::milliseconds first_event{0};
  /// Time for which the decode engine is silent between two events.
  std::chrono::milliseconds between_events{0};
  /// Whether the bound on retries leaves any.
  bool has_retries = true;
  /// Whether another decode engine has capacity.
  bool has_other_engine = true;
  bool is_resumable = true;
};

struct SilenceOutcome {
  bool is_complete = false;
  std::size_t prefills = 0;
  std::size_t decodes = 0;
};

/// Runs a generation whose engines are sound but silent for a while.
SilenceOutcome RunWithSilence(const SilenceCase& silence) {
  FakeEngine prefill([&](const std::string& head, int number) -> FakeAnswer {
    FakeAnswer answer;
    answer.later = {PrefillAnswer(head, number).bytes};
    answer.pause = silence.prefill;
    return answer;
  });
  const FakeEngine::Script decode_script = [&](const std::string& /*head*/,
                                               int /*number*/) -> FakeAnswer {
    FakeAnswer answer;
    if (silence.first_event > std::chrono::milliseconds(0)) {
      answer.later = {kStreamHead + Event(1) + Event(2) + "0\r\n\r\n"};
      answer.pause = silence.first_event;
    } else {
      answer.bytes = kStreamHead + Event(1);
      answer.later = {Event(2) + "0\r\n\r\n"};
      answer.pause = silence.between_events;
    }
    return answer;
  };
  FakeEngine first(decode_script);
  FakeEngine second(decode_script);
  ExchangeFixture fixture;
  if (!silence.has_retries) {
    fixture.settings.retry_bound = {0, 0, Milliseconds(10'000)};
  }
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d1", UpstreamStage::kDecode, first.port());
  if (silence.has_other_engine) {
    fixture.Add("d2", UpstreamStage::kDecode, second.port());
  }
  fixture.Run(RequestKind::kStream, silence.is_resumable);
  return {fixture.sink.is_complete && fixture.sink.status == 200, prefill.heads().size(),
          first.heads().size() + second.heads().size()};
}

// A sound engine may be silent for about a second; with its usual delay this is the longest wait.
constexpr std::chrono::milliseconds kSoundSilence{1'500};

}  // namespace

// Guards against the incident LOST: the gateway ended the answer of a sound engine because it was
// silent for a second, in any stage of a generation.
Test(generation_exchange, silence_of_a_sound_engine_ends_no_attempt, .timeout = 60) {
  const auto zero = std::chrono::milliseconds(0);
  for (const SilenceCase& silence : {SilenceCase{kSoundSilence, zero, zero},
                                     {zero, kSoundSilence, zero},
                                     {zero, zero, kSoundSilence}}) {
    const SilenceOutcome outcome = RunWithSilence(silence);
    cr_expect(outcome.is_complete);
    cr_expect_eq(outcome.prefills, 1, "%zu prefills", outcome.prefills);
    cr_expect_eq(outcome.decodes, 1, "%zu decodes", outcome.decodes);
  }
}

// Guards against the incident LOST: a stream was cut because its engine was silent, although it
// could not be continued elsewhere. The engine may go on while the caller still waits.
Test(generation_exchange, silent_stream_is_kept_while_it_cannot_be_continued_elsewhere,
     .timeout = 60) {
  const auto zero = std::chrono::milliseconds(0);
  const std::chrono::milliseconds long_silence{2'600};
  SilenceCase no_retries{zero, zero, long_silence};
  no_retries.has_retries = false;
  SilenceCase no_other_engine{zero, zero, long_silence};
  no_other_engine.has_other_engine = false;
  for (const SilenceCase& silence : {no_retries, no_other_engine}) {
    const SilenceOutcome outcome = RunWithSilence(silence);
    cr_expect(outcome.is_complete);
    cr_expect_eq(outcome.decodes, 1, "%zu decodes", outcome.decodes);
  }
}

// Guards against the incident LOST: near the end of a stop, a stream was taken from a silent engine
// to be continued elsewhere, for which no time was left.
Test(generation_exchange, silent_stream_is_kept_when_the_stop_leaves_no_time_to_continue_it,
     .timeout = 30) {
  FakeEngine prefill(PrefillAnswer);
  const FakeEngine::Script script = [](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    FakeAnswer answer;
    answer.bytes = kStreamHead + Event(1);
    answer.later = {Event(2) + "0\r\n\r\n"};
    answer.pause = std::chrono::milliseconds(2'000);
    return answer;
  };
  FakeEngine first(script);
  FakeEngine second(script);
  ExchangeFixture fixture;
  fixture.state.stop = {DefaultClock().now() - Milliseconds(2'700), Milliseconds(8'000)};
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d1", UpstreamStage::kDecode, first.port());
  fixture.Add("d2", UpstreamStage::kDecode, second.port());
  fixture.Run(RequestKind::kStream, true, 2, 14'000);
  cr_assert(fixture.sink.is_complete);
  cr_assert_eq(first.heads().size() + second.heads().size(), 1);
}

// Guards against the incident LOST: two streams of a silent engine both leave it for the same free
// place, so that one of them is taken from its engine and waits in the queue.
Test(generation_exchange, silent_streams_do_not_leave_for_the_same_free_place, .timeout = 30) {
  FakeEngine prefill(PrefillAnswer);
  FakeEngine silent([](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    FakeAnswer answer;
    answer.bytes = kStreamHead + Event(1);
    answer.later = {Event(2) + "0\r\n\r\n"};
    answer.pause = std::chrono::milliseconds(2'300);
    return answer;
  });
  FakeEngine other([](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    FakeAnswer answer;
    answer.bytes = kStreamHead + Event(2);
    answer.later = {Event(3) + "0\r\n\r\n"};
    answer.pause = std::chrono::milliseconds(1'400);
    return answer;
  });
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("silent", UpstreamStage::kDecode, silent.port());
  tests::RecordingSink first_sink(fixture.context);
  tests::RecordingSink second_sink(fixture.context);
  std::unique_ptr<gateway::GenerationExchange> first = gateway::GenerationExchange::Start(
      fixture.MakeRequest(RequestKind::kStream, true, 2, 14'000), fixture.state, first_sink);
  std::unique_ptr<gateway::GenerationExchange> second = gateway::GenerationExchange::Start(
      fixture.MakeRequest(RequestKind::kStream, true, 2, 14'000), fixture.state, second_sink);
  asio::steady_timer add_engine(fixture.context, Milliseconds(500));
  add_engine.async_wait([&](const std::error_code& /*error*/) {
    fixture.Add("other", UpstreamStage::kDecode, other.port(), 1);
  });
  // The process is delayed while both streams reach the time limit for silence.
  asio::steady_timer delay(fixture.context, Milliseconds(1'400));
  delay.async_wait([](const std::error_code& /*error*/) {
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  });
  const TimePoint until = DefaultClock().now() + Milliseconds(3'000);
  while (DefaultClock().now() < until) {
    fixture.context.restart();
    fixture.context.run_until(until);
  }
  cr_assert_eq(silent.heads().size(), 2);
  cr_expect_leq(other.heads().size(), 1, "%zu", other.heads().size());
  // Whichever stream stays gets the rest from its engine after 2.3 s.
  cr_expect(first_sink.is_complete || second_sink.is_complete);
}

// Guards against the incident LOST: a generation is taken from a silent engine for one that it may
// not use at once, because requests of other gateways wait for that capacity.
Test(generation_exchange, silent_generation_is_kept_while_peers_contend_for_other_engines,
     .timeout = 30) {
  ExchangeFixture fixture;
  FakeEngine prefill(PrefillAnswer);
  const FakeEngine::Script script = [&](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    asio::post(fixture.context, [&] {
      fixture.fleet.SetPeerState("peer", {{}, {{"s", {100'000'000, 0}}}, {}});
    });
    FakeAnswer answer;
    answer.later = {kStreamHead + Event(1) + Event(2) + "0\r\n\r\n"};
    answer.pause = std::chrono::milliseconds(2'300);
    return answer;
  };
  FakeEngine first(script);
  FakeEngine second(script);
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d1", UpstreamStage::kDecode, first.port());
  fixture.Add("d2", UpstreamStage::kDecode, second.port());
  fixture.Run(RequestKind::kStream, true);
  cr_assert(fixture.sink.is_complete);
  cr_expect_eq(fixture.sink.status, 200, "%d %s", fixture.sink.status, fixture.sink.body.c_str());
  cr_expect_eq(first.heads().size() + second.heads().size(), 1);
}

// Guards against the incident LOST: a stream is taken from a silent engine for one that refuses it,
// and is never continued, although its engine goes on.
Test(generation_exchange, silent_stream_is_kept_when_the_other_engine_refuses_it, .timeout = 30) {
  FakeEngine prefill(PrefillAnswer);
  FakeEngine silent([](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    FakeAnswer answer;
    answer.bytes = kStreamHead + Event(1);
    answer.later = {Event(2) + "0\r\n\r\n"};
    answer.pause = std::chrono::milliseconds(2'300);
    return answer;
  });
  FakeEngine other([](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    return {CompleteAnswer(503, "Not-Executed: 1\r\n", "full"), false};
  });
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("silent", UpstreamStage::kDecode, silent.port());
  asio::steady_timer add_engine(fixture.context, Milliseconds(500));
  add_engine.async_wait([&](const std::error_code& /*error*/) {
    fixture.Add("other", UpstreamStage::kDecode, other.port());
  });
  fixture.Run(RequestKind::kStream, true);
  cr_assert_eq(silent.heads().size(), 1);
  cr_assert(fixture.sink.is_complete);
}

// Guards against work that is started too late to end in a stop: the prefill took so long that the
// decode would outlast the stop, but it was sent all the same and cut.
Test(generation_exchange, decode_is_not_sent_when_the_prefill_leaves_it_too_little_time_in_a_stop,
     .timeout = 30) {
  FakeEngine prefill([](const std::string& head, int number) -> FakeAnswer {
    FakeAnswer answer;
    answer.later = {PrefillAnswer(head, number).bytes};
    answer.pause = std::chrono::milliseconds(1'200);
    return answer;
  });
  FakeEngine decode([](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    return {kStreamHead + Event(1) + "0\r\n\r\n", false};
  });
  ExchangeFixture fixture;
  // Of the 7.5 s until the forced end, 4 s are left; a generation is expected to take 3.5 s.
  fixture.state.stop = {DefaultClock().now() - Milliseconds(3'500), Milliseconds(8'000)};
  fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d", UpstreamStage::kDecode, decode.port());
  fixture.Run(RequestKind::kStream, true, 2, 14'000);
  cr_assert_eq(prefill.heads().size(), 1);
  cr_expect_eq(decode.heads().size(), 0, "%zu decodes", decode.heads().size());
  cr_expect_eq(fixture.sink.status, 503, "%d %s", fixture.sink.status, fixture.sink.body.c_str());
}

// Guards against the incident LOST: the expected duration of a generation with a very large stated
// output overflows, so that it is accepted in a stop.
Test(generation_exchange, generation_of_any_stated_size_is_refused_when_it_would_outlast_the_stop,
     .timeout = 30) {
  for (const std::int64_t max_output :
       {std::int64_t{1'000'000'000'000}, std::int64_t{10'000'000'000'000'000},
        std::numeric_limits<std::int64_t>::max()}) {
    ExchangeFixture fixture;
    fixture.max_output_tokens = max_output;
    fixture.state.stop = {DefaultClock().now() - Milliseconds(1'000), Milliseconds(8'000)};
    bool is_refused = false;
    fixture.on_started = [&](gateway::Exchange& exchange) {
      exchange.OnStopProgress();
      is_refused = fixture.sink.is_complete && fixture.sink.status == 503;
    };
    fixture.Run(RequestKind::kStream, true, 2, 14'000);
    cr_expect(is_refused, "%lld tokens", static_cast<long long>(max_output));
  }
}

// Guards against streams that are refused or cut because connections that failed used up the retry
// bound: no call has reached an engine, so the next one is no retry.
Test(generation_exchange, failed_connection_uses_no_retry, .timeout = 30) {
  FakeEngine prefill(PrefillAnswer);
  FakeEngine decode([](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    return {kStreamHead + Event(1) + "0\r\n\r\n", false};
  });
  ExchangeFixture fixture;
  fixture.settings.retry_bound = {0, 0, Milliseconds(10'000)};
  fixture.Add("p1", UpstreamStage::kPrefill, kClosedPort);
  fixture.Add("p2", UpstreamStage::kPrefill, prefill.port());
  fixture.Add("d", UpstreamStage::kDecode, decode.port());
  fixture.Run(RequestKind::kStream, true);
  cr_assert_gt(fixture.fleet.upstreams().at("p1")->health.failure_share, 0.0);
  cr_assert_eq(fixture.sink.status, 200);
  cr_assert_eq(prefill.heads().size(), 1);
}
