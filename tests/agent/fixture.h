// Starts an agent with a fake upstream and a fake platform, and connects a test entry to it.
#pragma once

#include <memory>
#include <string>
#include <utility>

#include "agent/agent.h"
#include "fake_upstream.h"
#include "test_entry.h"
#include "tests/support/fake_platform.h"

namespace rattanramp::agent {

struct Fixture {
  FakeUpstream* upstream = nullptr;
  store::FakePlatform* platform = nullptr;
  std::shared_ptr<Agent> agent;
  std::shared_ptr<TestEntry> entry;
};

inline Fixture StartAgent(const std::string& kind,
                          store::FakePlatform::Fault fault = store::FakePlatform::Fault::kNone) {
  Fixture fixture;
  AgentParts parts;
  parts.boot.id = "agent-1";
  parts.boot.failure_domain = "fd-a";
  parts.boot.listen.link = "127.0.0.1:0";
  parts.boot.upstream.url = "http://127.0.0.1:1";
  parts.boot.upstream.kind = kind;
  parts.boot.upstream.service = kind == "service" ? "claims" : "";
  parts.boot.upstream.model = kind == "engine" ? "m1" : "";
  parts.boot.upstream.role = "both";
  std::unique_ptr<FakeUpstream> upstream = std::make_unique<FakeUpstream>();
  std::unique_ptr<store::FakePlatform> platform = std::make_unique<store::FakePlatform>();
  platform->SetFault(fault);
  fixture.upstream = upstream.get();
  fixture.platform = platform.get();
  parts.upstream = std::move(upstream);
  parts.store = std::move(platform);
  parts.clock = &DefaultClock();
  const std::shared_ptr<Agent> agent = Agent::Create(std::move(parts)).value();
  // Link events hold a reference to the agent for a short time. This handle stops the agent before
  // the last reference can be released on the loop's thread, which would then join itself.
  fixture.agent = {agent.get(), [agent](Agent*) { agent->Stop(); }};
  fixture.agent->Start();
  fixture.entry = TestEntry::Dial(fixture.agent->link_port());
  return fixture;
}

/// Short lease and idle timeouts, so that the tests run quickly.
inline const char* kFastSettings =
    R"({"values":{"lease_ms":500,"pace_target_ms":10,"pace_idle_factor":20,"report_ms":50}})";

inline Fixture StartReadyAgent(const std::string& kind) {
  Fixture fixture = StartAgent(kind);
  fixture.entry->PushSettings(1, kFastSettings);
  cr_assert(fixture.entry->WaitReady());
  return fixture;
}

inline wire::Submit Generation(const std::string& attempt, wire::WorkKind::type kind, int tokens) {
  wire::Submit submit;
  submit.attempt_id = attempt;
  submit.request_id = "request-" + attempt;
  submit.kind = kind;
  submit.service_name = "verdicts";
  submit.model = "m1";
  submit.body = "a prompt";
  submit.prompt_tokens = 2;
  submit.max_output_tokens = tokens;
  submit.expected_output_tokens = tokens;
  submit.deadline_ms = 60'000;
  submit.hold_ms = 5000;
  submit.repeatable = true;
  return submit;
}

inline wire::Submit Call(const std::string& attempt, const std::string& key, bool repeatable) {
  wire::Submit submit;
  submit.attempt_id = attempt;
  submit.request_id = "request-" + attempt;
  submit.kind = wire::WorkKind::CALL;
  submit.service_name = "claims";
  submit.method = "POST";
  submit.path = "/claims";
  submit.body = "claim";
  submit.body_hash = 1;
  submit.idempotency_key = key;
  submit.deadline_ms = 10'000;
  submit.repeatable = repeatable;
  return submit;
}

}  // namespace rattanramp::agent
