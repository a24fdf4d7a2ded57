#include <criterion/criterion.h>

#include "tests/support/entry_agents.h"

using namespace rattanramp;
using namespace rattanramp::test_support;

namespace {

struct RefusalCase {
  const char* path;
  const char* service;
  std::string body;
  int status;
  const char* kind;
};

void ExpectRefusal(const httplib::Result& result, int status, const std::string& kind) {
  const nlohmann::json error = ErrorOf(result);
  cr_assert_eq(result->status, status, "%s", result->body.c_str());
  cr_assert_eq(error["kind"].get<std::string>(), kind, "%s", result->body.c_str());
  cr_assert_eq(error["outcome"].get<std::string>(), std::string("not_run"));
  cr_assert(!error["remedy"].get<std::string>().empty());
  cr_assert_eq(error["request_id"].get<std::string>(), result->get_header_value("X-Request-Id"));
}

}  // namespace

// Guards against forwarding an invalid request to an agent, and against refusals whose kind does
// not identify what the caller has to change.
Test(entry_refusals, bad_requests_have_their_own_kinds) {
  const std::shared_ptr<FakeAgent> engine = Engine("e1");
  const std::shared_ptr<FakeAgent> claims = ServiceAgent("s1", "claims");
  const EntryFixture fixture({engine, claims});
  const std::string long_prompt = R"({"prompt":")" + std::string(5'000, 'x') + R"("})";
  const std::vector<RefusalCase> cases = {
      {"/v1/completions", "chat", "{", 400, "malformed_json"},
      {"/v1/completions", "chat", R"({"model":7,"prompt":"x"})", 400, "malformed_json"},
      {"/v1/completions", "chat", R"({"max_tokens":5})", 400, "missing_prompt"},
      {"/v1/chat/completions", "chat", R"({"messages":[]})", 400, "missing_prompt"},
      {"/v1/completions", "nobody", R"({"prompt":"x"})", 404, "unknown_service"},
      {"/v1/completions", "claims", R"({"prompt":"x"})", 404, "unknown_service"},
      {"/v1/completions", "", R"({"prompt":"x","model":"m9"})", 404, "unknown_model"},
      {"/v1/completions", "chat", R"({"prompt":"x","model":"m9"})", 404, "unknown_model"},
      {"/v1/completions", "chat", R"({"prompt":"x","max_tokens":0})", 400, "bad_max_tokens"},
      {"/v1/completions", "chat", R"({"prompt":"x","max_tokens":"5"})", 400, "bad_max_tokens"},
      {"/v1/completions", "chat", R"({"prompt":"x","max_tokens":99999})", 400, "bad_max_tokens"},
      {"/v1/completions", "long", long_prompt, 413, "prompt_too_long"},
      {"/services/lookups/a", "", std::string(1'001, 'x'), 413, "body_too_large"},
      {"/services/claims/a", "", "{}", 400, "missing_idempotency_key"},
      {"/services/nobody/a", "", "{}", 404, "unknown_service"},
      {"/services/chat/a", "", "{}", 404, "unknown_service"},
      {"/v2/completions", "", "{}", 404, "unknown_path"},
  };
  for (const RefusalCase& test : cases) {
    const httplib::Result result = fixture.client().Post(test.path, {{"X-Service", test.service}},
                                                         test.body, "application/json");
    ExpectRefusal(result, test.status, test.kind);
  }
  cr_assert(engine->submits(wire::WorkKind::GENERATE).empty());
  cr_assert(claims->submits(wire::WorkKind::CALL).empty());
}

// Guards against a response without a refusal body when the request body exceeds the limit of the
// HTTP library, which rejects it before any handler runs.
Test(entry_refusals, body_above_the_http_server_limit) {
  const EntryFixture fixture({});
  const httplib::Result result = fixture.client().Post(
      "/v1/completions", std::string(9 * 1024 * 1024, 'x'), "application/json");
  ExpectRefusal(result, 413, "body_too_large");
}

// Guards against serving without settings. Limits and retry rules would be unknown, and a request
// could run under wrong ones.
Test(entry_refusals, requests_are_refused_without_settings) {
  const EntryFixture fixture({}, nlohmann::json(), false);
  const httplib::Result result = Complete(fixture, "chat", "x", 5);
  ExpectRefusal(result, 503, "no_settings");
  cr_assert(!result->get_header_value("Retry-After").empty());
  const httplib::Result ready = fixture.client().Get("/readyz");
  cr_assert(ready && ready->status == 503);
}

// Guards against a request that is not patient and waits although no engine can serve it.
Test(entry_refusals, request_without_engine_is_refused_immediately) {
  const EntryFixture fixture({});
  cr_assert(EntryFixture::WaitUntil([&] { return fixture.State()["settings_version"] == 7; }));
  const httplib::Result result = Complete(fixture, "chat", "x", 5);
  ExpectRefusal(result, 503, "no_upstream");
  cr_assert(!result->get_header_value("Retry-After").empty());
}

// Guards against a graceful shutdown that aborts a running stream or accepts new requests.
Test(entry_refusals, drain_finishes_streams_and_refuses_new_requests) {
  const std::shared_ptr<FakeAgent> engine =
      Engine("e1", wire::EngineRole::BOTH, [](FakeAgent& agent, const wire::Frame& frame) {
        if (!frame.__isset.submit) {
          return false;
        }
        agent.SendTokens(frame.submit, 0, 3);
        return true;
      });
  const EntryFixture fixture({engine});
  std::string body;
  std::thread caller([&] { body = Complete(fixture, "chat", "slow", 6, true)->body; });
  cr_assert(EntryFixture::WaitUntil(
      [&] { return engine->submits(wire::WorkKind::GENERATE).size() == 1; }));
  std::size_t aborted = 99;
  std::thread drain([&] { aborted = fixture.entry->Drain(); });
  cr_assert(EntryFixture::WaitUntil([&] { return fixture.State()["draining"] == true; }));
  const httplib::Result refused = Complete(fixture, "chat", "x", 5);
  ExpectRefusal(refused, 503, "leaving");
  cr_assert_eq(refused->get_header_value("Connection"), std::string("close"));
  const wire::Submit submit = engine->submits(wire::WorkKind::GENERATE).front();
  engine->SendTokens(submit, 3, 6);
  engine->SendEnd(submit.attempt_id, 24);
  caller.join();
  drain.join();
  bool done = false;
  cr_assert_eq(StreamedText(body, &done), ExpectedOutput("slow", 6));
  cr_assert(done);
  cr_assert_eq(aborted, 0);
}

// Guards against a shutdown that waits forever for a stream that makes no progress, and against an
// aborted stream that is reported to the caller as complete.
Test(entry_refusals, drain_timeout_aborts_and_counts_requests) {
  const std::shared_ptr<FakeAgent> engine =
      Engine("e1", wire::EngineRole::BOTH, [](FakeAgent& agent, const wire::Frame& frame) {
        if (frame.__isset.submit) {
          agent.SendTokens(frame.submit, 0, 2);
        }
        return frame.__isset.submit;
      });
  nlohmann::json tree = DefaultTree();
  tree["values"]["drain_timeout_ms"] = 200;
  const EntryFixture fixture({engine}, tree);
  std::string body;
  std::thread caller([&] { body = Complete(fixture, "chat", "stuck", 6, true)->body; });
  cr_assert(EntryFixture::WaitUntil(
      [&] { return engine->submits(wire::WorkKind::GENERATE).size() == 1; }));
  cr_assert_eq(fixture.entry->Drain(), 1);
  caller.join();
  bool done = true;
  cr_assert_eq(StreamedText(body, &done), ExpectedOutput("stuck", 2));
  cr_assert(!done);
  cr_assert(body.find("event: error") != std::string::npos);
  cr_assert(EntryFixture::WaitUntil([&] { return !engine->cancelled().empty(); }));
}
