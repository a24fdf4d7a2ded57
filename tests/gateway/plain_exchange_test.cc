#include <criterion/criterion.h>

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

FakeAnswer Whole(int status, const std::string& fields, const std::string& body) {
  return {"HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: r1\r\n" + fields +
              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
          false};
}

/// Runs one request against two servers with the same script; counts what arrived at both.
struct Outcome {
  int status = 0;
  std::string body;
  std::size_t arrivals = 0;
};

Outcome RunOnTwo(RequestKind kind, const FakeEngine::Script& script, std::int64_t max_upstreams = 2,
                 std::int64_t timeout_ms = 4'000) {
  FakeEngine first(script);
  FakeEngine second(script);
  ExchangeFixture fixture;
  fixture.Add("a", UpstreamStage::kPlain, first.port());
  fixture.Add("b", UpstreamStage::kPlain, second.port());
  fixture.Run(kind, false, max_upstreams, timeout_ms);
  return {fixture.sink.status, fixture.sink.body, first.heads().size() + second.heads().size()};
}

}  // namespace

// Guards against a claim that runs twice: after a broken connection it may have run.
Test(plain_exchange, request_that_may_run_once_is_not_sent_again, .timeout = 30) {
  const Outcome outcome =
      RunOnTwo(RequestKind::kOnce, [](const std::string& /*head*/, int /*number*/) {
        return FakeAnswer{"", true};
      });
  cr_assert_eq(outcome.status, 502);
  cr_assert_eq(outcome.arrivals, 1);
}

// Guards against giving up on a claim that a full server refused without running it.
Test(plain_exchange, refused_request_goes_to_another_server, .timeout = 30) {
  int calls = 0;
  const Outcome outcome =
      RunOnTwo(RequestKind::kOnce, [&](const std::string& /*head*/, int /*number*/) {
        return ++calls == 1 ? Whole(503, "Not-Executed: 1\r\n", "")
                            : Whole(200, "Response-Seal: s\r\n", "done");
      });
  cr_assert_eq(outcome.status, 200);
  cr_assert_eq(outcome.body, "done");
  cr_assert_eq(outcome.arrivals, 2);
}

// Guards against passing a server's failure on while another server could answer, and against more
// runs than the route allows.
Test(plain_exchange, failed_lookup_is_tried_on_as_many_servers_as_allowed, .timeout = 30) {
  const auto failing = [](const std::string& /*head*/, int /*number*/) {
    return Whole(500, "Response-Seal: s\r\n", "no");
  };
  const Outcome two = RunOnTwo(RequestKind::kRepeatable, failing, 2);
  cr_assert_eq(two.status, 500);
  cr_assert_eq(two.arrivals, 2);
  const Outcome one = RunOnTwo(RequestKind::kRepeatable, failing, 1);
  cr_assert_eq(one.status, 500);
  cr_assert_eq(one.arrivals, 1);
}

// Guards against an answer without a signature passing as a success.
Test(plain_exchange, unsigned_success_is_not_passed, .timeout = 30) {
  const Outcome outcome = RunOnTwo(
      RequestKind::kOnce,
      [](const std::string& /*head*/, int /*number*/) { return Whole(200, "", "forged"); });
  cr_assert_eq(outcome.status, 502);
}

// Guards against a lookup that hangs at one server until its deadline.
Test(plain_exchange, silent_server_is_left_for_another, .timeout = 30) {
  int calls = 0;
  const Outcome outcome =
      RunOnTwo(RequestKind::kRepeatable, [&](const std::string& /*head*/, int /*number*/) {
        return ++calls == 1 ? FakeAnswer{"", false} : Whole(200, "Response-Seal: s\r\n", "done");
      });
  cr_assert_eq(outcome.status, 200);
}

// Guards against holding a request beyond the time that its route allows.
Test(plain_exchange, timeout_of_the_route_ends_the_request, .timeout = 30) {
  const TimePoint start = DefaultClock().now();
  const Outcome outcome = RunOnTwo(
      RequestKind::kOnce,
      [](const std::string& /*head*/, int /*number*/) {
        return FakeAnswer{"", false};
      },
      1, 300);
  cr_assert_eq(outcome.status, 504);
  cr_assert_lt(ToMs(DefaultClock().now() - start), 800);
}

// Guards against handing a server more time than the caller has left.
Test(plain_exchange, remaining_time_is_passed_on, .timeout = 30) {
  std::string deadline;
  RunOnTwo(
      RequestKind::kOnce,
      [&](const std::string& head, int /*number*/) {
        deadline = FieldOf(head, "Deadline-Ms");
        return Whole(200, "Response-Seal: s\r\n", "done");
      },
      1, 700);
  cr_assert_leq(std::stoi(deadline), 700);
  cr_assert_gt(std::stoi(deadline), 400);
}
