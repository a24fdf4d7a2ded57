#include <criterion/criterion.h>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <string>
#include <tuple>
#include <utility>

#include "tests/gateway/exchange_fixture.h"

using namespace rattanramp;
using core::RequestKind;
using core::UpstreamStage;
using tests::ExchangeFixture;
using tests::FakeAnswer;
using tests::FakeEngine;
using tests::FieldOf;

namespace {

FakeAnswer CompleteAnswer(int status, const std::string& fields, const std::string& body) {
  return {"HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: r1\r\n" + fields +
              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
          false};
}

/// Result of one request to a service of two servers.
struct Outcome {
  int status = 0;
  std::string body;
  /// Requests received by both servers together.
  std::size_t received_requests = 0;
};

/// Runs one request against two servers with the same script.
Outcome RunWithTwoServers(RequestKind kind, const FakeEngine::Script& script,
                          std::int64_t max_upstreams = 2, std::int64_t timeout_ms = 4'000) {
  FakeEngine first(script);
  FakeEngine second(script);
  ExchangeFixture fixture;
  fixture.Add("a", UpstreamStage::kPlain, first.port());
  fixture.Add("b", UpstreamStage::kPlain, second.port());
  fixture.Run(kind, false, max_upstreams, timeout_ms);
  return {fixture.sink.status, fixture.sink.body, first.heads().size() + second.heads().size()};
}

}  // namespace

// Guards against running a once-only request twice: when the connection is lost after sending, the
// server may already have run it.
Test(plain_exchange, once_only_request_is_not_retried_after_lost_connection, .timeout = 30) {
  const Outcome outcome =
      RunWithTwoServers(RequestKind::kOnce, [](const std::string& /*head*/, int /*number*/) {
        return FakeAnswer{"", true};
      });
  cr_assert_eq(outcome.status, 502);
  cr_assert_eq(outcome.received_requests, 1);
}

// Guards against failing a once-only request although a retry is safe: an overloaded server has
// refused it without running it.
Test(plain_exchange, refused_request_is_retried_on_another_server, .timeout = 30) {
  int calls = 0;
  const Outcome outcome =
      RunWithTwoServers(RequestKind::kOnce, [&](const std::string& /*head*/, int /*number*/) {
        return ++calls == 1 ? CompleteAnswer(503, "Not-Executed: 1\r\n", "")
                            : CompleteAnswer(200, "Response-Seal: s\r\n", "done");
      });
  cr_assert_eq(outcome.status, 200);
  cr_assert_eq(outcome.body, "done");
  cr_assert_eq(outcome.received_requests, 2);
}

// Guards against forwarding a server's error while another server could answer, and against more
// runs than the route's max_upstreams allows.
Test(plain_exchange, failed_request_is_retried_up_to_max_upstreams, .timeout = 30) {
  const auto failing = [](const std::string& /*head*/, int /*number*/) {
    return CompleteAnswer(500, "Response-Seal: s\r\n", "no");
  };
  const Outcome two = RunWithTwoServers(RequestKind::kRepeatable, failing, 2);
  cr_assert_eq(two.status, 500);
  cr_assert_eq(two.received_requests, 2);
  const Outcome one = RunWithTwoServers(RequestKind::kRepeatable, failing, 1);
  cr_assert_eq(one.status, 500);
  cr_assert_eq(one.received_requests, 1);
}

// Guards against forwarding a 200 answer without a signature as a success.
Test(plain_exchange, unsigned_success_is_not_forwarded, .timeout = 30) {
  const Outcome outcome =
      RunWithTwoServers(RequestKind::kOnce, [](const std::string& /*head*/, int /*number*/) {
        return CompleteAnswer(200, "", "forged");
      });
  cr_assert_eq(outcome.status, 502);
}

// Guards against a repeatable request that waits for one unresponsive server until its deadline.
Test(plain_exchange, request_is_retried_when_server_times_out, .timeout = 30) {
  int calls = 0;
  const Outcome outcome =
      RunWithTwoServers(RequestKind::kRepeatable, [&](const std::string& /*head*/, int /*number*/) {
        return ++calls == 1 ? FakeAnswer{"", false}
                            : CompleteAnswer(200, "Response-Seal: s\r\n", "done");
      });
  cr_assert_eq(outcome.status, 200);
}

// Guards against holding a request longer than its route's timeout.
Test(plain_exchange, route_timeout_ends_the_request, .timeout = 30) {
  const TimePoint start = DefaultClock().now();
  const Outcome outcome = RunWithTwoServers(
      RequestKind::kOnce,
      [](const std::string& /*head*/, int /*number*/) {
        return FakeAnswer{"", false};
      },
      1, 300);
  cr_assert_eq(outcome.status, 504);
  cr_assert_lt(ToMs(DefaultClock().now() - start), 800);
}

// Guards against sending a server a deadline that is longer than the caller's remaining time.
Test(plain_exchange, remaining_time_is_sent_to_the_server, .timeout = 30) {
  std::string deadline;
  RunWithTwoServers(
      RequestKind::kOnce,
      [&](const std::string& head, int /*number*/) {
        deadline = FieldOf(head, "Deadline-Ms");
        return CompleteAnswer(200, "Response-Seal: s\r\n", "done");
      },
      1, 700);
  cr_assert_leq(std::stoi(deadline), 700);
  cr_assert_gt(std::stoi(deadline), 400);
}

// Guards against handing a caller the late second copy of an earlier answer on a reused connection.
// The copy carries no request id here, so that only its place on the connection speaks for it.
Test(plain_exchange, late_answer_without_id_on_a_reused_connection_is_skipped, .timeout = 30) {
  FakeEngine server([](const std::string& head, int number) -> FakeAnswer {
    const std::string id = FieldOf(head, "Request-Id");
    const std::string answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                               "\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\n" + id;
    const std::string copy = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    return {number == 0 ? answer : copy + answer};
  });
  ExchangeFixture fixture;
  fixture.Add("a", UpstreamStage::kPlain, server.port());
  fixture.Run(RequestKind::kOnce, false);
  cr_assert_eq(fixture.sink.body, "r1");
  fixture.request_id = "r2";
  fixture.sink.body.clear();
  fixture.context.restart();
  fixture.Run(RequestKind::kOnce, false);
  cr_assert_eq(server.connections(), 1);
  cr_assert_eq(fixture.sink.status, 200);
  cr_assert_eq(fixture.sink.body, "r2");
}

// Guards against taking the second copy of a refusal for the answer to the same request's second
// attempt: the caller would get "not run" for a request that has run.
Test(plain_exchange, second_attempt_does_not_reuse_the_connection_of_the_first, .timeout = 30) {
  FakeEngine server([](const std::string& /*head*/, int number) -> FakeAnswer {
    const FakeAnswer refusal = CompleteAnswer(503, "Not-Executed: 1\r\n", "");
    if (number == 0) {
      return refusal;
    }
    return CompleteAnswer(200, "Response-Seal: s\r\n", "done");
  });
  ExchangeFixture fixture;
  fixture.Add("a", UpstreamStage::kPlain, server.port());
  fixture.Run(RequestKind::kOnce, false);
  cr_assert_eq(fixture.sink.status, 200);
  cr_assert_eq(server.connections(), 2);
}

namespace {

/// Runs a once-only request against a server that starts an answer with `start` and then sends
/// `endless` until the connection is closed.
void ExpectEndlessAnswerEnds(const std::string& start, const std::string& endless) {
  FakeEngine server([&](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    FakeAnswer answer;
    answer.bytes = start;
    answer.endless = endless;
    return answer;
  });
  ExchangeFixture fixture;
  fixture.Add("a", UpstreamStage::kPlain, server.port());
  const TimePoint started = DefaultClock().now();
  fixture.Run(RequestKind::kOnce, false);
  // The request may have run, so the refusal must not say otherwise.
  cr_assert_eq(fixture.sink.status, 502, "%d after %s", fixture.sink.status, start.c_str());
  cr_assert_lt(ToMs(DefaultClock().now() - started), 2'000.0);
  cr_assert_gt(fixture.fleet.upstreams().at("a")->health.failure_share, 0.0);
}

}  // namespace

// Guards against memory that grows without bound, and requests that hang until their deadline,
// when a server sends bytes without end.
Test(plain_exchange, endless_bytes_end_the_attempt, .timeout = 90) {
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n";
  const std::string filler(4'096, 'x');
  ExpectEndlessAnswerEnds("HTTP/1.1 200 OK\r\nX-Long: ", filler);
  ExpectEndlessAnswerEnds("HTTP/1.1 200 OK\r\n", "X-More: " + filler.substr(0, 100) + "\r\n");
  ExpectEndlessAnswerEnds("", filler);
  ExpectEndlessAnswerEnds("", "HTTP/1.1 100 Continue\r\n\r\n");
  ExpectEndlessAnswerEnds(head + "\r\n", filler);
  ExpectEndlessAnswerEnds(head + "Transfer-Encoding: chunked\r\n\r\n",
                          "10\r\n0123456789abcdef\r\n");
  ExpectEndlessAnswerEnds(head + "Transfer-Encoding: chunked\r\n\r\n1;ext=", filler);
  ExpectEndlessAnswerEnds(head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: y\r\n");
  ExpectEndlessAnswerEnds("HTTP/1.1 200 OK\r\nRequest-Id: old\r\n\r\n", filler);
}

// Guards against a refusal that promises "not run" to a request that a server may have run: it left
// the list and then lost the connection, and no other server is usable.
Test(plain_exchange, request_that_may_have_run_is_not_refused_when_no_server_is_left,
     .timeout = 30) {
  FakeEngine only([](const std::string& /*head*/, int /*number*/) {
    FakeAnswer answer;
    answer.later = {""};
    answer.pause = std::chrono::milliseconds(700);
    answer.reset = true;
    return answer;
  });
  ExchangeFixture fixture;
  fixture.Add("a", UpstreamStage::kPlain, only.port());
  asio::steady_timer leave(fixture.context);
  fixture.on_started = [&](gateway::Exchange& /*exchange*/) {
    leave.expires_after(Milliseconds(200));
    leave.async_wait([&](const std::error_code& /*error*/) {
      core::UpstreamInfo info;
      info.id = "a";
      info.service = "s";
      info.failure_domain = "domain-a";
      info.address = "127.0.0.1";
      info.port = only.port();
      info.stage = UpstreamStage::kPlain;
      info.slots = 4;
      info.is_draining = true;
      core::DirectoryChange change;
      change.updated = {info};
      fixture.fleet.Apply(change);
    });
  };
  fixture.Run(RequestKind::kRepeatable, false, 2);
  cr_assert_eq(only.heads().size(), 1);
  cr_assert_eq(fixture.sink.status, 502, "%d %s", fixture.sink.status, fixture.sink.body.c_str());
}

// The same when the second server refuses the retry.
Test(plain_exchange, request_that_may_have_run_is_not_refused_when_the_retry_is, .timeout = 30) {
  int calls = 0;
  const Outcome outcome = RunWithTwoServers(
      RequestKind::kRepeatable, [&](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
        if (++calls == 1) {
          return {"", true};
        }
        return CompleteAnswer(503, "Not-Executed: 1\r\n", "busy");
      });
  cr_assert_eq(outcome.status, 502, "%d %s", outcome.status, outcome.body.c_str());
}

// Guards against a request that fails although its server answers: the server was slow, no retry
// was left, and the attempt was ended all the same.
Test(plain_exchange, slow_answer_is_awaited_when_no_retry_is_left, .timeout = 30) {
  const FakeEngine::Script script = [](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    FakeAnswer answer;
    answer.later = {CompleteAnswer(200, "Response-Seal: s\r\n", "done").bytes};
    answer.pause = std::chrono::milliseconds(1'500);
    return answer;
  };
  FakeEngine first(script);
  FakeEngine second(script);
  ExchangeFixture fixture;
  fixture.settings.retry_bound = {0, 0, Milliseconds(10'000)};
  fixture.Add("a", UpstreamStage::kPlain, first.port());
  fixture.Add("b", UpstreamStage::kPlain, second.port());
  fixture.Run(RequestKind::kRepeatable, false);
  cr_assert_eq(fixture.sink.status, 200, "%d %s", fixture.sink.status, fixture.sink.body.c_str());
  cr_assert_eq(first.heads().size() + second.heads().size(), 1);
}

// Guards against a repeatable request that waits to its deadline for an answer that was lost: the
// only server of the service is sound and would answer a second attempt.
Test(plain_exchange, lost_answer_is_asked_for_again_when_there_is_one_server, .timeout = 30) {
  FakeEngine only([](const std::string& /*head*/, int number) -> FakeAnswer {
    return number == 0 ? FakeAnswer{} : CompleteAnswer(200, "Response-Seal: s\r\n", "done");
  });
  ExchangeFixture fixture;
  fixture.Add("a", UpstreamStage::kPlain, only.port());
  fixture.Run(RequestKind::kRepeatable, false);
  cr_assert_eq(fixture.sink.status, 200, "%d %s", fixture.sink.status, fixture.sink.body.c_str());
}

// Guards against a path that is refused for minutes because servers spoilt their answers to its
// first requests (review case 4): a server that sends bytes that are no answer has not ended. A
// server that leaves ends as planned.
Test(plain_exchange, spoilt_answers_and_planned_ends_are_no_crashes, .timeout = 30) {
  ExchangeFixture fixture;
  FakeEngine server([&](const std::string& /*head*/, int number) {
    if (number == 0) {
      return FakeAnswer{"no answer\r\n\r\n"};
    }
    asio::post(fixture.context, [&fixture] {
      core::AnswerFacts facts;
      facts.is_leaving = true;
      gateway::RecordOwnStatement(*fixture.fleet.upstreams().at("a"), facts, DefaultClock().now());
    });
    return FakeAnswer{"", true};
  });
  fixture.Add("a", UpstreamStage::kPlain, server.port());
  for (int i = 0; i < 2; ++i) {
    fixture.context.restart();
    fixture.Run(RequestKind::kOnce, false);
    cr_expect_eq(fixture.sink.status, 502);
    cr_expect(fixture.state.crash_causes.losses.empty(), "request %d", i);
  }
  cr_expect_eq(server.heads().size(), 2);
}

// Load pattern: a burst above the capacity, in which requests that can be on time take all the
// room. Guards against holding a request to its deadline that will not start before it, and against
// a refusal that does not say when to come back.
Test(plain_exchange, late_request_without_prospects_is_refused_at_once, .timeout = 30) {
  FakeEngine server([](const std::string& /*head*/, int /*number*/) {
    return CompleteAnswer(200, "Response-Seal: s\r\n", "done");
  });
  ExchangeFixture fixture;
  fixture.Add("a", UpstreamStage::kPlain, server.port(), 1);
  fixture.fleet.upstreams().at("a")->local_load.running = 5;
  const TimePoint now = DefaultClock().now();
  for (int i = 0; i < 200; ++i) {
    core::QueuedRequest other;
    const bool starts = i < 40;
    other.due = now + Milliseconds(starts ? 1'000 : 3'000);
    other.deadline = now + Milliseconds(4'000);
    fixture.dispatcher.Add("s", other, 0, [starts] { return starts; });
  }
  fixture.Run(RequestKind::kRepeatable, false);
  cr_assert_eq(fixture.sink.status, 503);
  cr_assert_not_null(http::FindField(fixture.sink.fields, "Retry-After"));
  cr_assert_lt(ToMs(DefaultClock().now() - now), 900);
  cr_assert_eq(server.heads().size(), 0);
}

// Guards against a repeatable request that fails although its server answers: it was taken from a
// silent server for another one that does not answer it, whatever the reason.
Test(plain_exchange, silent_server_is_kept_when_no_other_answers, .timeout = 60) {
  const auto late = [](const std::string& bytes, int pause_ms) {
    FakeAnswer answer;
    answer.later = {bytes};
    answer.pause = std::chrono::milliseconds(pause_ms);
    return answer;
  };
  const FakeAnswer whole = CompleteAnswer(200, "Response-Seal: s\r\n", "done");
  const std::pair<const char*, FakeAnswer> others[] = {
      {"refused", CompleteAnswer(503, "Not-Executed: 1\r\n", "full")},
      {"reset", {"", true}},
      {"silent", late("", 4'000)},
      {"reset after its head", {whole.bytes.substr(0, whole.bytes.size() - 2), true}},
      {"no answer", {"nonsense\r\n\r\n"}}};
  for (const auto& [name, other] : others) {
    std::atomic<int> calls = 0;
    const Outcome outcome = RunWithTwoServers(
        RequestKind::kRepeatable, [&](const std::string& /*head*/, int /*number*/) {
          return calls++ == 0 ? late(whole.bytes, 1'500) : other;
        });
    cr_expect_eq(outcome.status, 200, "%s: %d %s", name, outcome.status, outcome.body.c_str());
  }
}

// Guards against the rule BUDGET: each server that is asked while the first is silent may run the
// request, so that no third one is asked on a route for two.
Test(plain_exchange, silent_server_does_not_add_to_the_servers_of_a_route, .timeout = 30) {
  std::atomic<int> calls = 0;
  const FakeEngine::Script script = [&](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    if (calls++ > 0) {
      return {"", true};
    }
    FakeAnswer answer;
    answer.later = {CompleteAnswer(200, "Response-Seal: s\r\n", "done").bytes};
    answer.pause = std::chrono::milliseconds(1'500);
    return answer;
  };
  FakeEngine first(script);
  FakeEngine second(script);
  FakeEngine third(script);
  ExchangeFixture fixture;
  fixture.Add("a", UpstreamStage::kPlain, first.port());
  fixture.Add("b", UpstreamStage::kPlain, second.port());
  fixture.Add("c", UpstreamStage::kPlain, third.port());
  fixture.Run(RequestKind::kRepeatable, false);
  cr_expect_eq(fixture.sink.status, 200, "%d %s", fixture.sink.status, fixture.sink.body.c_str());
  cr_expect_eq(calls, 2, "%d calls", calls.load());
}

// Guards against an answer that is taken from neither of two servers, or waits for the slower one.
Test(plain_exchange, first_answer_of_two_servers_is_taken, .timeout = 30) {
  for (const auto& [first_ms, second_ms, expected] :
       {std::tuple{1'500, 200, "second"}, {900, 1'500, "first"}}) {
    std::atomic<int> calls = 0;
    const Outcome outcome = RunWithTwoServers(
        RequestKind::kRepeatable, [&](const std::string& /*head*/, int /*number*/) {
          const bool is_first = calls++ == 0;
          FakeAnswer answer;
          answer.later = {
              CompleteAnswer(200, "Response-Seal: s\r\n", is_first ? "first" : "second").bytes};
          answer.pause = std::chrono::milliseconds(is_first ? first_ms : second_ms);
          return answer;
        });
    cr_expect_eq(outcome.status, 200);
    cr_expect_eq(outcome.body, std::string(expected));
  }
}
