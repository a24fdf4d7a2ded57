#include <criterion/criterion.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include "entry/call_driver.h"
#include "tests/support/entry_agents.h"

using namespace rattanramp;
using namespace rattanramp::test_support;

namespace {

using Hook = FakeAgent::Hook;

httplib::Result SendClaim(const EntryFixture& fixture, const std::string& key) {
  return fixture.client().Post("/services/claims/register", {{"Idempotency-Key", key}},
                               R"({"id":1})", "application/json");
}

std::size_t CountCalls(const std::vector<std::shared_ptr<FakeAgent>>& agents) {
  std::size_t calls = 0;
  for (const std::shared_ptr<FakeAgent>& agent : agents) {
    calls += agent->submits(wire::WorkKind::CALL).size();
  }
  return calls;
}

Hook OnSubmit(const std::function<void(FakeAgent&, const wire::Submit&)>& action) {
  return [action](FakeAgent& agent, const wire::Frame& frame) {
    if (frame.__isset.submit) {
      action(agent, frame.submit);
    }
    return frame.__isset.submit;
  };
}

}  // namespace

// Guards against sending a call to an agent other than the one that its issued key names. Happens
// when the agent id in the key is parsed incorrectly, for example because it contains dots.
Test(entry_calls, issued_key_names_its_agent) {
  cr_assert_eq(entry::AgentOfIssuedKey("rr1.agent-1.77.1700000000.abc"), std::string("agent-1"));
  cr_assert_eq(entry::AgentOfIssuedKey("rr1.a.b.c.77.17.abc"), std::string("a.b.c"));
  for (const char* key : {"", "rr1.", "rr1.a", "rr1...", "rr1.1.2.3", "own-key.1.2.3.4"}) {
    cr_assert_eq(entry::AgentOfIssuedKey(key), std::string(), "%s", key);
  }
}

// Guards against running a non-repeatable call twice. The upstream crashes, so the first run may
// have happened; a retry would run the call a second time.
Test(entry_calls, crashed_call_is_not_retried) {
  const Hook crash = OnSubmit([](FakeAgent& agent, const wire::Submit& submit) {
    agent.SendFailedEnd(submit.attempt_id, wire::RefusalKind::UPSTREAM_CRASHED,
                        wire::Outcome::UNKNOWN);
  });
  const std::vector<std::shared_ptr<FakeAgent>> agents = {ServiceAgent("s1", "claims", crash),
                                                          ServiceAgent("s2", "claims", crash)};
  const EntryFixture fixture(agents);
  const httplib::Result result = SendClaim(fixture, "own-1");
  cr_assert_eq(result->status, 502, "%s", result->body.c_str());
  cr_assert_eq(ErrorOf(result)["outcome"].get<std::string>(), std::string("unknown"));
  cr_assert_eq(CountCalls(agents), 1);
}

// Guards against running a call twice after a lost link. The agent stops while it holds the call,
// so the outcome is unknown and the call must not be retried.
Test(entry_calls, stopped_agent_leaves_call_outcome_unknown) {
  const std::shared_ptr<std::atomic<bool>> received = std::make_shared<std::atomic<bool>>(false);
  const Hook ignore_submit =
      OnSubmit([received](FakeAgent&, const wire::Submit&) { received->store(true); });
  const std::vector<std::shared_ptr<FakeAgent>> agents = {
      ServiceAgent("s1", "claims", ignore_submit), ServiceAgent("s2", "claims", ignore_submit)};
  const EntryFixture fixture(agents);
  std::string outcome;
  std::thread caller([&] { outcome = ErrorOf(SendClaim(fixture, "own-2"))["outcome"]; });
  cr_assert(EntryFixture::WaitUntil([&] { return received->load(); }));
  const bool first = !agents[0]->submits(wire::WorkKind::CALL).empty();
  agents[first ? 0 : 1]->Stop();
  caller.join();
  cr_assert_eq(outcome, std::string("unknown"));
  cr_assert_eq(CountCalls(agents), 1);
}

// Guards against losing the response of a call when only the link fails. The agent still has the
// response, so the entry must resume it after the link is restored.
Test(entry_calls, restored_link_resumes_call_response) {
  const std::shared_ptr<FakeAgent> agent =
      ServiceAgent("s1", "claims", [](FakeAgent& self, const wire::Frame& frame) {
        if (frame.__isset.submit) {
          self.DropLinks();
          return true;
        }
        if (frame.__isset.resume) {
          self.SendChunk(frame.resume.attempt_id, 0, "registered", 0);
          self.SendEnd(frame.resume.attempt_id, 10, 201);
        }
        return false;
      });
  const EntryFixture fixture({agent});
  const httplib::Result result = SendClaim(fixture, "own-3");
  cr_assert_eq(result->status, 201, "%s", result->body.c_str());
  cr_assert_eq(result->body, std::string("registered"));
  cr_assert_eq(CountCalls({agent}), 1);
}

// Guards against failing a refused call that another agent can run. The first agent refuses it with
// the owner of the key; the entry must send the call to that owner.
Test(entry_calls, owner_redirect_is_followed) {
  const std::vector<std::shared_ptr<FakeAgent>> agents = {
      ServiceAgent("s1", "claims", OnSubmit([](FakeAgent& agent, const wire::Submit& submit) {
                     agent.SendRefused(submit.attempt_id, wire::RefusalKind::OWNED_ELSEWHERE,
                                       wire::Outcome::NOT_RUN, "s2");
                   })),
      ServiceAgent("s2", "claims")};
  const EntryFixture fixture(agents);
  for (int i = 0; i < 4; ++i) {
    const httplib::Result result = SendClaim(fixture, "own-" + std::to_string(i));
    cr_assert_eq(result->status, 200, "%s", result->body.c_str());
    cr_assert_eq(result->body, std::string("s2 POST /register"));
  }
}

// Guards against sending a call with an issued key to an agent that does not have the record of the
// key. Happens when the named agent refuses or has no link and the entry retries on another agent.
Test(entry_calls, issued_key_is_sent_only_to_its_agent) {
  const Hook refuse = OnSubmit([](FakeAgent& agent, const wire::Submit& submit) {
    agent.SendRefused(submit.attempt_id, wire::RefusalKind::LEAVING, wire::Outcome::NOT_RUN);
  });
  const std::vector<std::shared_ptr<FakeAgent>> agents = {ServiceAgent("s1", "claims"),
                                                          ServiceAgent("s2", "claims", refuse)};
  const EntryFixture fixture(agents);
  const httplib::Result refused = SendClaim(fixture, "rr1.s2.5.1700000000.n");
  cr_assert_eq(refused->status, 503, "%s", refused->body.c_str());
  cr_assert_eq(ErrorOf(refused)["outcome"].get<std::string>(), std::string("not_run"));
  const httplib::Result unreachable = SendClaim(fixture, "rr1.s9.5.1700000000.n");
  cr_assert_eq(ErrorOf(unreachable)["kind"].get<std::string>(), std::string("agent_unreachable"));
  cr_assert_eq(CountCalls(agents), 1);
}

// Guards against a replayed result that the caller cannot distinguish from a second run. The
// response must have the Idempotent-Replayed header.
Test(entry_calls, replayed_result_has_header) {
  const std::shared_ptr<FakeAgent> agent =
      ServiceAgent("s1", "claims", OnSubmit([](FakeAgent& self, const wire::Submit& submit) {
                     wire::End end;
                     end.attempt_id = submit.attempt_id;
                     end.outcome = wire::Outcome::RAN;
                     end.complete = true;
                     end.status = 409;
                     end.replayed = true;
                     wire::Frame frame;
                     frame.__set_attempt_end(end);
                     self.Send(frame);
                   }));
  const EntryFixture fixture({agent});
  const httplib::Result result = SendClaim(fixture, "own-5");
  cr_assert_eq(result->status, 409, "%s", result->body.c_str());
  cr_assert_eq(result->get_header_value("Idempotent-Replayed"), std::string("true"));
  // The status comes from the upstream, so the empty body must not be replaced by a refusal body.
  cr_assert(result->body.empty());
}

// Guards against failing a repeatable call when one upstream crashes. Another upstream can run it,
// so the entry must retry there.
Test(entry_calls, repeatable_call_is_retried_on_another_agent) {
  const Hook crash = OnSubmit([](FakeAgent& agent, const wire::Submit& submit) {
    agent.SendFailedEnd(submit.attempt_id, wire::RefusalKind::UPSTREAM_CRASHED,
                        wire::Outcome::UNKNOWN);
  });
  const std::vector<std::shared_ptr<FakeAgent>> agents = {ServiceAgent("s1", "lookups", crash),
                                                          ServiceAgent("s2", "lookups")};
  const EntryFixture fixture(agents);
  const httplib::Result result = fixture.client().Get("/services/lookups/patterns/1");
  cr_assert_eq(result->status, 200, "%s", result->body.c_str());
  cr_assert_eq(result->body, std::string("s2 GET /patterns/1"));
}

// Guards against an answer that gets a length although its service may have crashed before it was
// whole: an end that the service has not stated is not stated to the caller.
Test(entry_calls, answer_without_a_stated_end_gets_no_length) {
  const Hook answer = OnSubmit([](FakeAgent& agent, const wire::Submit& submit) {
    agent.SendGranted(submit.attempt_id);
    agent.SendChunk(submit.attempt_id, 0, "done", 0);
    wire::End end;
    end.attempt_id = submit.attempt_id;
    end.outcome = wire::Outcome::RAN;
    end.complete = true;
    end.status = 200;
    end.total_bytes = 4;
    end.content_type = "text/plain";
    end.__set_end_unstated(true);
    wire::Frame frame;
    frame.__set_attempt_end(end);
    agent.Send(frame);
  });
  const std::shared_ptr<FakeAgent> agent = ServiceAgent("s1", "claims", answer);
  const EntryFixture fixture({agent});
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect(
      {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(fixture.entry->caller_port())});
  asio::write(socket, asio::buffer(std::string("POST /services/claims/x HTTP/1.1\r\nHost: h\r\n"
                                               "Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n")));
  std::string text;
  std::error_code error;
  asio::read(socket, asio::dynamic_buffer(text), error);
  cr_expect_eq(error, asio::error::eof);
  cr_expect(text.starts_with("HTTP/1.1 200"), "%s", text.c_str());
  cr_expect(text.ends_with("\r\n\r\ndone"), "%s", text.c_str());
  cr_expect_eq(text.find("Content-Length"), std::string::npos, "%s", text.c_str());
  cr_expect_eq(text.find("Transfer-Encoding"), std::string::npos, "%s", text.c_str());
}
