// A faulty server writes an earlier refusal once more. It must not count as the answer to a request
// that the server runs or has run.
#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/attempt.h"
#include "tests/gateway/exchange_fixture.h"
#include "tests/gateway/run_until.h"

using namespace rattanramp;
using core::RequestKind;
using core::UpstreamStage;
using tests::ExchangeFixture;
using tests::FakeAnswer;
using tests::FakeEngine;
using tests::FieldOf;

namespace {

struct RecordingListener final : gateway::AttemptListener {
  void OnAnswerHead(const http::ResponseHead& head, const core::AnswerFacts& facts) override {
    status = head.status;
    not_run = facts.not_run;
  }
  gateway::BodyProgress OnAnswerBody(std::string_view /*bytes*/) override {
    return gateway::BodyProgress::kProgress;
  }
  void OnAnswerComplete() override { is_complete = true; }
  void OnAttemptFailure(gateway::AttemptFailure reported) override { failure = reported; }

  int status = 0;
  bool not_run = false;
  bool is_complete = false;
  std::optional<gateway::AttemptFailure> failure;
};

/// Sends requests one after the other to one upstream.
class Caller {
 public:
  explicit Caller(const FakeEngine& server) : upstream_(std::make_shared<gateway::Upstream>()) {
    upstream_->endpoint = {asio::ip::make_address_v4("127.0.0.1"), server.port()};
  }

  RecordingListener Send(const std::string& id) {
    RecordingListener listener;
    gateway::AttemptPlan plan;
    plan.head = "POST /a HTTP/1.1\r\n" + (id.empty() ? "" : "Request-Id: " + id + "\r\n") +
                "Content-Length: 0\r\n\r\n";
    plan.request_id = id;
    const std::unique_ptr<gateway::Attempt> attempt =
        gateway::Attempt::Start(context_, clock_, upstream_, std::move(plan), listener);
    cr_assert(tests::RunUntil(context_, [&] { return listener.is_complete || listener.failure; }));
    return listener;
  }

  /// Lets bytes arrive on idle connections.
  void Wait(std::chrono::milliseconds time) {
    context_.restart();
    context_.run_for(time);
  }

 private:
  asio::io_context context_;
  ManualClock clock_;
  std::shared_ptr<gateway::Upstream> upstream_;
};

std::string Refusal(const std::string& id) {
  return "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n" +
         (id.empty() ? "" : "Request-Id: " + id + "\r\n") +
         "Keep-Alive: timeout=10\r\nContent-Length: 5\r\n\r\nfull\n";
}

std::string Success(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nRequest-Id: " + id +
         "\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok";
}

/// Whether the answer says that the request ran.
bool IsSuccess(const RecordingListener& answer) {
  return answer.is_complete && answer.status == 200 && !answer.not_run;
}

}  // namespace

// Guards against the incidents REFUSED and TWICE: a request that was refused comes back to the
// connection after other requests, and the first refusal is written once more.
Test(repeated_refusal, request_does_not_return_to_a_connection_that_carried_it, .timeout = 60) {
  for (const int between : {0, 1, 3}) {
    const FakeEngine* self = nullptr;
    bool is_refused = false;
    FakeEngine server([&](const std::string& head, int /*number*/) -> FakeAnswer {
      const std::string id = FieldOf(head, "Request-Id");
      if (id == "r1" && !std::exchange(is_refused, true)) {
        return {Refusal("r1")};
      }
      const bool is_repeated = id == "r1" && self->connections() == 1;
      return {(is_repeated ? Refusal("r1") : "") + Success(id)};
    });
    self = &server;
    Caller caller(server);
    cr_assert(caller.Send("r1").not_run);
    for (int i = 0; i < between; ++i) {
      cr_assert(IsSuccess(caller.Send("other" + std::to_string(i))));
    }
    cr_expect_eq(server.connections(), 1);
    cr_expect(IsSuccess(caller.Send("r1")), "after %d other requests", between);
    cr_expect_eq(server.connections(), 2);
  }
}

// Guards against a list of ids that grows as long as the connection is kept: after many requests a
// new connection takes its place, and no id was forgotten before.
Test(repeated_refusal, connection_is_replaced_before_ids_are_forgotten, .timeout = 60) {
  FakeEngine server([](const std::string& head, int /*number*/) -> FakeAnswer {
    return {Success(FieldOf(head, "Request-Id"))};
  });
  Caller caller(server);
  constexpr int kRequests = 600;
  for (int i = 0; i < kRequests; ++i) {
    cr_assert(IsSuccess(caller.Send("r" + std::to_string(i))));
  }
  cr_expect_geq(server.connections(), 2);
  cr_expect_leq(server.connections(), 10);
}

// Guards against a refusal that is repeated with another id or with none, at any moment, being
// taken for the answer to the next request.
Test(repeated_refusal, repeated_refusal_is_no_answer_to_the_next_request, .timeout = 120) {
  enum class Moment { kWithTheAnswer, kWhileIdle, kBeforeTheNextAnswer, kAfterThePart };
  for (const std::string repeated_id : {"r1", "r0", ""}) {
    for (const Moment moment : {Moment::kWithTheAnswer, Moment::kWhileIdle,
                                Moment::kBeforeTheNextAnswer, Moment::kAfterThePart}) {
      FakeEngine server([&](const std::string& head, int number) -> FakeAnswer {
        const std::string id = FieldOf(head, "Request-Id");
        FakeAnswer answer{number == 0 ? Refusal(id) : Success(id)};
        answer.pause = std::chrono::milliseconds(20);
        if (number == 0 && moment == Moment::kWithTheAnswer) {
          answer.bytes += Refusal(repeated_id);
        } else if (number == 0 && moment == Moment::kWhileIdle) {
          answer.later = {Refusal(repeated_id)};
        } else if (number == 1 && moment == Moment::kBeforeTheNextAnswer) {
          answer.bytes = Refusal(repeated_id) + answer.bytes;
        } else if (number == 1 && moment == Moment::kAfterThePart) {
          answer.later = {Refusal(repeated_id).substr(30), answer.bytes};
          answer.bytes = Refusal(repeated_id).substr(0, 30);
        }
        return answer;
      });
      Caller caller(server);
      cr_expect(caller.Send("r1").not_run);
      if (moment == Moment::kWhileIdle) {
        caller.Wait(std::chrono::milliseconds(100));
      }
      const RecordingListener next = caller.Send("r2");
      cr_expect(IsSuccess(next), "id '%s', moment %d: status %d", repeated_id.c_str(),
                static_cast<int>(moment), next.status);
    }
  }
}

// Guards against an answer whose head is mixed with a refusal, because one of the two was cut: it
// states nothing, so the request may have run.
Test(repeated_refusal, mixed_head_does_not_say_that_the_request_did_not_run, .timeout = 60) {
  const std::string refusal = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: r1\r\n";
  const std::string end = "Content-Length: 0\r\n\r\n";
  const std::vector<std::string> heads = {
      // The head of a stream, and a refusal in its midst.
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: " + refusal + end,
      "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nRequest-Id: r1\r\nX: " + refusal + end,
      "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nX: " + refusal + end,
      // A refusal that was cut, and the answer to the request.
      "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: r0\r\nX: HTTP/1.1 200 OK\r\n"
      "Request-Id: r1\r\nResponse-Seal: s\r\n" +
          end,
      "HTTP/1.1 503 X\r\nNot-Executed: HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n" +
          end,
      "HTTP/1.1 421 X\r\nInstance-Id: HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n" +
          end,
  };
  for (const std::string& head : heads) {
    std::atomic<int> requests = 0;
    const FakeEngine::Script script = [&](const std::string& /*head*/, int /*number*/) {
      ++requests;
      return FakeAnswer{head};
    };
    FakeEngine first(script);
    FakeEngine second(script);
    ExchangeFixture fixture;
    fixture.Add("a", UpstreamStage::kPlain, first.port());
    fixture.Add("b", UpstreamStage::kPlain, second.port());
    fixture.Run(RequestKind::kOnce, false, 2, 1'000);
    cr_expect(fixture.sink.status == 502 || fixture.sink.status == 504, "%d: %s",
              fixture.sink.status, head.c_str());
    cr_expect_eq(requests, 1, "sent %d times: %s", requests.load(), head.c_str());
  }
}

// Guards against passing on a status that promises that the request has not run, when the server
// did not state this.
Test(repeated_refusal, promise_is_passed_on_only_if_the_server_states_it, .timeout = 120) {
  FakeEngine prefill([](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
    const std::string body = R"({"kv_handle":"h","tokens":5000})";
    return {"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body};
  });
  for (const int status : {408, 429, 503}) {
    for (const std::string seal : {"", "Response-Seal: s\r\n"}) {
      for (const RequestKind kind : {RequestKind::kOnce, RequestKind::kStream}) {
        std::atomic<int> requests = 0;
        FakeEngine server([&](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
          ++requests;
          return {"HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: r1\r\n" + seal +
                  "Content-Length: 0\r\n\r\n"};
        });
        ExchangeFixture fixture;
        fixture.Add("p", UpstreamStage::kPrefill, prefill.port());
        fixture.Add("d",
                    kind == RequestKind::kStream ? UpstreamStage::kDecode : UpstreamStage::kPlain,
                    server.port());
        fixture.Run(kind, false, 2, 1'000);
        cr_expect_eq(fixture.sink.status, 502, "%d %s: %d", status, seal.c_str(),
                     fixture.sink.status);
        cr_expect_eq(requests, 1);
      }
    }
  }
}

// Guards against an unsealed error, which no server has made, being passed on as the server's.
Test(repeated_refusal, unsealed_error_is_not_passed_on, .timeout = 60) {
  for (const int status : {400, 403, 404, 302}) {
    FakeEngine server([&](const std::string& /*head*/, int /*number*/) -> FakeAnswer {
      return {"HTTP/1.1 " + std::to_string(status) +
              " X\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n"};
    });
    ExchangeFixture fixture;
    fixture.Add("a", UpstreamStage::kPlain, server.port());
    fixture.Run(RequestKind::kOnce, false, 2, 1'000);
    cr_expect_eq(fixture.sink.status, 502, "%d: %d", status, fixture.sink.status);
  }
}

// Guards against taking an informational answer for the answer itself, even if it bears the fields
// of a refusal.
Test(repeated_refusal, informational_answers_are_skipped, .timeout = 60) {
  FakeEngine server([](const std::string& head, int /*number*/) -> FakeAnswer {
    return {
        "HTTP/1.1 100 Continue\r\n\r\n"
        "HTTP/1.1 103 X\r\nNot-Executed: 1\r\nRequest-Id: r1\r\n\r\n" +
        Success(FieldOf(head, "Request-Id"))};
  });
  Caller caller(server);
  cr_expect(IsSuccess(caller.Send("r1")));
  cr_expect(IsSuccess(caller.Send("r2")));
}

// Guards against the repeated refusal of a prefill ending the decode of the same request, when an
// engine that changes its stage takes both: they have the same request id.
Test(repeated_refusal, refusal_of_a_prefill_does_not_answer_the_decode, .timeout = 60) {
  const FakeEngine* self = nullptr;
  FakeEngine engine([&](const std::string& head, int number) -> FakeAnswer {
    if (!FieldOf(head, "Serving-Stage").empty()) {
      return {Refusal("r1")};
    }
    return {(self->connections() == 1 ? Refusal("r1") : "") + Success(FieldOf(head, "Request-Id"))};
  });
  self = &engine;
  ExchangeFixture fixture;
  fixture.Add("p", UpstreamStage::kPrefill, engine.port());
  fixture.Add("d", UpstreamStage::kDecode, engine.port());
  fixture.Run(RequestKind::kStream, false, 2, 2'000);
  cr_expect_neq(fixture.sink.status, 0);
  for (const std::string& head : engine.heads()) {
    cr_expect(FieldOf(head, "Serving-Stage") == "prefill" || fixture.sink.status != 503);
  }
}
