// Helper functions for tests of the entry: start fake agents for the services of DefaultTree, send
// completions, read errors.
#pragma once

#include <memory>
#include <string>

#include "tests/support/entry_fixture.h"

namespace rattanramp::test_support {

inline std::shared_ptr<FakeAgent> Engine(const std::string& id,
                                         wire::EngineRole::type role = wire::EngineRole::BOTH,
                                         const FakeAgent::Hook& hook = nullptr) {
  std::shared_ptr<FakeAgent> agent =
      FakeAgent::Start({.id = id, .role = role, .model = "m1", .service = ""}, "127.0.0.1:0");
  agent->SetHook(hook);
  return agent;
}

inline std::shared_ptr<FakeAgent> ServiceAgent(const std::string& id, const std::string& service,
                                               const FakeAgent::Hook& hook = nullptr) {
  std::shared_ptr<FakeAgent> agent = FakeAgent::Start(
      {.id = id, .role = wire::EngineRole::SERVICE, .model = "", .service = service},
      "127.0.0.1:0");
  agent->SetHook(hook);
  return agent;
}

inline httplib::Result Complete(const EntryFixture& fixture, const std::string& service,
                                const std::string& prompt, int max_tokens, bool stream = false) {
  const nlohmann::json body = {{"prompt", prompt}, {"max_tokens", max_tokens}, {"stream", stream}};
  return fixture.client().Post("/v1/completions", {{"X-Service", service}}, body.dump(),
                               "application/json");
}

inline nlohmann::json ErrorOf(const httplib::Result& result) {
  cr_assert(result);
  const nlohmann::json body = nlohmann::json::parse(result->body, nullptr, false);
  cr_assert(body.is_object() && body.contains("error"), "%s", result->body.c_str());
  return body["error"];
}

}  // namespace rattanramp::test_support
