#include <criterion/criterion.h>

#include "tests/support/entry_agents.h"

using namespace rattanramp;
using namespace rattanramp::test_support;

// Guards against a response without streaming that differs from the text that the engine generated.
Test(entry_serving, completion_without_streaming) {
  const std::shared_ptr<FakeAgent> engine = Engine("e1");
  const EntryFixture fixture({engine});
  const httplib::Result result =
      fixture.client().Post("/v1/completions", {{"X-Service", "chat"}},
                            R"({"prompt":"hello","max_tokens":20})", "application/json");
  cr_assert(result);
  cr_assert_eq(result->status, 200, "%s", result->body.c_str());
  const nlohmann::json answer = nlohmann::json::parse(result->body);
  cr_assert_eq(answer["choices"][0]["text"].get<std::string>(), ExpectedOutput("hello", 20));
  cr_assert_eq(answer["usage"]["completion_tokens"].get<int>(), 20);
  cr_assert(!result->get_header_value("X-Request-Id").empty());
}

// Guards against lost text in a streamed response that uses separate prefill and decode engines,
// and against settings that are not sent to the agents.
Test(entry_serving, streamed_chat_with_separate_prefill_and_decode) {
  const std::shared_ptr<FakeAgent> prefill = Engine("p1", wire::EngineRole::PREFILL);
  const std::shared_ptr<FakeAgent> decode = Engine("d1", wire::EngineRole::DECODE);
  const EntryFixture fixture({prefill, decode});
  // A short prompt would be prefilled on the decode engine.
  const std::string content(3'600, 'x');
  const httplib::Result result =
      fixture.client().Post("/v1/chat/completions", {{"X-Service", "long"}},
                            R"({"messages":[{"role":"user","content":")" + content +
                                R"("}],"max_tokens":50,"stream":true})",
                            "application/json");
  cr_assert(result);
  cr_assert_eq(result->status, 200, "%s", result->body.c_str());
  bool done = false;
  cr_assert_eq(StreamedText(result->body, &done), ExpectedOutput("user: " + content + "\n", 50));
  cr_assert(done);
  cr_assert_eq(prefill->submits(wire::WorkKind::PREFILL).size(), 1);
  cr_assert_eq(decode->submits(wire::WorkKind::DECODE).size(), 1);
  // A link may be up before the entry has its settings. The agent then receives them after its next
  // heartbeat.
  cr_assert(EntryFixture::WaitUntil([&] { return decode->settings_version() == 7; }));
}

// Guards against forwarding a call with a changed method, path or query, and against issued keys
// that the entry does not accept.
Test(entry_serving, plain_call_and_issued_key) {
  const std::shared_ptr<FakeAgent> lookups = ServiceAgent("s1", "lookups");
  const std::shared_ptr<FakeAgent> claims = ServiceAgent("s2", "claims");
  const EntryFixture fixture({lookups, claims});
  httplib::Client client = fixture.client();
  const httplib::Result lookup = client.Get("/services/lookups/patterns/7?full=1");
  cr_assert(lookup);
  cr_assert_eq(lookup->status, 200, "%s", lookup->body.c_str());
  cr_assert_eq(lookup->body, std::string("s1 GET /patterns/7?full=1"));
  const httplib::Result key = client.Post("/services/claims/keys");
  cr_assert(key);
  cr_assert_eq(key->status, 201, "%s", key->body.c_str());
  const std::string issued = nlohmann::json::parse(key->body)["key"];
  const httplib::Result claim = client.Post(
      "/services/claims/register", {{"Idempotency-Key", issued}}, "{}", "application/json");
  cr_assert(claim);
  cr_assert_eq(claim->status, 200, "%s", claim->body.c_str());
  cr_assert_eq(claims->submits(wire::WorkKind::CALL).size(), 1);
}
