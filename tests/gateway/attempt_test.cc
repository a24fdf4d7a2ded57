#include "gateway/attempt.h"

#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <optional>

#include "tests/gateway/fake_engine.h"
#include "tests/gateway/run_until.h"

using namespace rattanramp;
using tests::FakeAnswer;
using tests::FakeEngine;

namespace {

struct RecordingListener final : gateway::AttemptListener {
  void OnAnswerHead(const http::ResponseHead& /*head*/,
                    const core::AnswerFacts& /*facts*/) override {}
  gateway::BodyProgress OnAnswerBody(std::string_view /*bytes*/) override {
    return gateway::BodyProgress::kProgress;
  }
  void OnAnswerComplete() override { is_complete = true; }
  void OnAttemptFailure(gateway::AttemptFailure reported) override { failure = reported; }

  bool is_complete = false;
  std::optional<gateway::AttemptFailure> failure;
};

std::shared_ptr<gateway::Upstream> UpstreamAt(std::uint16_t port) {
  std::shared_ptr<gateway::Upstream> upstream = std::make_shared<gateway::Upstream>();
  upstream->endpoint = {asio::ip::make_address_v4("127.0.0.1"), port};
  return upstream;
}

/// Starts an attempt that may send for one second, pauses the process for `pause` while it
/// connects, and returns what the attempt reported.
RecordingListener RunWithPause(FakeEngine& server, Duration pause) {
  asio::io_context context;
  ManualClock clock;
  RecordingListener listener;
  gateway::AttemptPlan plan;
  plan.head = "POST /order HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
  plan.send_before = clock.now() + Milliseconds(1'000);
  const std::unique_ptr<gateway::Attempt> attempt =
      gateway::Attempt::Start(context, clock, UpstreamAt(server.port()), std::move(plan), listener);
  clock.Advance(pause);
  cr_assert(tests::RunUntil(context, [&] { return listener.is_complete || listener.failure; }));
  return listener;
}

}  // namespace

// Guards against a process that acts on a permission that has run out: it was paused between the
// record of an order and the connection to the engine. The request must count as not sent.
Test(attempt, nothing_is_sent_after_the_permission_has_run_out, .timeout = 30) {
  FakeEngine server([](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    return {"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n"};
  });
  const RecordingListener in_time = RunWithPause(server, Milliseconds(900));
  cr_assert(in_time.is_complete);
  cr_assert_eq(server.heads().size(), 1);
  const RecordingListener late = RunWithPause(server, Milliseconds(5'000));
  cr_assert(late.failure == gateway::AttemptFailure::kNotConnected);
  cr_assert_eq(server.heads().size(), 1);
}

// Guards against reporting a failure before Start has returned: its caller does not have the
// attempt yet. Seen on hanbit-allot-grown trouble-1, where gateways crashed when a deadline passed
// just before a request was to be sent on a kept connection.
Test(attempt, lapsed_permission_on_a_kept_connection_is_reported_later, .timeout = 30) {
  FakeEngine server([](const std::string& head, int /*number*/) -> FakeAnswer {
    return {"HTTP/1.1 200 X\r\nRequest-Id: " + tests::FieldOf(head, "Request-Id") +
            "\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"};
  });
  asio::io_context context;
  ManualClock clock;
  const std::shared_ptr<gateway::Upstream> upstream = UpstreamAt(server.port());
  const auto start = [&](const std::string& id, TimePoint send_before,
                         RecordingListener& listener) {
    gateway::AttemptPlan plan;
    plan.head = "GET /a HTTP/1.1\r\nRequest-Id: " + id + "\r\n\r\n";
    plan.request_id = id;
    plan.send_before = send_before;
    return gateway::Attempt::Start(context, clock, upstream, std::move(plan), listener);
  };
  RecordingListener first;
  const std::unique_ptr<gateway::Attempt> sent = start("r1", clock.now(), first);
  cr_assert(tests::RunUntil(context, [&] { return first.is_complete; }));
  cr_assert_eq(upstream->idle.size(), 1);
  RecordingListener second;
  const std::unique_ptr<gateway::Attempt> late = start("r2", clock.now() - Milliseconds(1), second);
  cr_assert(!second.failure);
  cr_assert(tests::RunUntil(context, [&] { return second.failure.has_value(); }));
  cr_assert(second.failure == gateway::AttemptFailure::kNotConnected);
  cr_assert_eq(server.heads().size(), 1);
}

// Guards against a second copy of an order's answer being taken for the answer to the next order:
// such answers carry no request id.
Test(attempt, request_without_id_gets_a_new_connection, .timeout = 30) {
  FakeEngine server([](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    return {"HTTP/1.1 202 X\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"};
  });
  asio::io_context context;
  ManualClock clock;
  const std::shared_ptr<gateway::Upstream> upstream = UpstreamAt(server.port());
  for (int i = 0; i < 2; ++i) {
    RecordingListener listener;
    gateway::AttemptPlan plan;
    plan.head = "POST /order HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
    const std::unique_ptr<gateway::Attempt> attempt =
        gateway::Attempt::Start(context, clock, upstream, std::move(plan), listener);
    cr_assert(tests::RunUntil(context, [&] { return listener.is_complete; }));
  }
  cr_assert_eq(server.connections(), 2);
}
