// Entry in the test process, linked to fake agents and to an in-memory platform.
#pragma once

#include <criterion/criterion.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "entry/entry.h"
#include "tests/support/fake_agent.h"

namespace rattanramp::test_support {

/// Platform with a fixed settings snapshot and VM list; writes fail with kUnavailable.
class FixedPlatform : public store::PlatformStore {
 public:
  std::string snapshot;
  store::VmList vms;

  Result<std::optional<store::Row>> Read(const std::string& key) override {
    if (key == "settings/head" && !snapshot.empty()) {
      const nlohmann::json head = {{"version", nlohmann::json::parse(snapshot)["version"]}};
      return std::optional<store::Row>(store::Row{key, head.dump(), 1});
    }
    if (key != "settings/snapshot" || snapshot.empty()) {
      return std::optional<store::Row>();
    }
    return std::optional<store::Row>(store::Row{key, snapshot, 1});
  }
  Result<std::vector<store::Row>> Scan(const std::string&) override {
    return std::vector<store::Row>();
  }
  Result<store::CommitResult> Commit(const store::Transaction&) override {
    return Error{ErrorKind::kUnavailable, "read only", "none"};
  }
  Result<std::optional<std::string>> ReadObject(const std::string&) override {
    return std::optional<std::string>();
  }
  Result<void> WriteObject(const std::string&, const std::string&) override {
    return Error{ErrorKind::kUnavailable, "read only", "none"};
  }
  Result<store::VmList> ListVms() override { return vms; }
};

/// Settings of four services: "chat" (language, model m1), "long" (the same model with separate
/// prefill), "lookups" (plain, repeatable) and "claims" (plain, at most once).
inline nlohmann::json DefaultTree() {
  return nlohmann::json::parse(R"({
    "values": {"lease_ms": 800, "link_dead_ms": 500, "heartbeat_ms": 100, "deadline_ms": 8000,
               "drain_timeout_ms": 5000},
    "services": {
      "chat": {"values": {"model": "m1", "customer": "kivu", "in_place_prompt_tokens": 100000}},
      "long": {"values": {"model": "m1", "in_place_prompt_tokens": 0, "max_prompt_tokens": 1000}},
      "lookups": {"values": {"kind": "plain", "max_body_bytes": 1000}},
      "claims": {"values": {"kind": "plain", "repeatable": false}}
    }})");
}

class EntryFixture {
 public:
  explicit EntryFixture(const std::vector<std::shared_ptr<FakeAgent>>& agents,
                        const nlohmann::json& tree = DefaultTree(), bool wait = true,
                        const std::vector<std::string>& peers = {}) {
    std::unique_ptr<FixedPlatform> platform = std::make_unique<FixedPlatform>();
    if (!tree.is_null()) {
      platform->snapshot = nlohmann::json({{"version", 7}, {"tree", tree}}).dump();
    }
    settings::BootConfig boot;
    boot.id = NewId("entry");
    boot.peers = peers;
    // The agents are configured as upstreams: a VM list would be copied between peer entries, which
    // would then also link to the agents of the other entry.
    for (const std::shared_ptr<FakeAgent>& agent : agents) {
      boot.upstreams.push_back(agent->address());
    }
    boot.failure_domain = "fd-a";
    boot.listen.caller = "127.0.0.1:0";
    boot.listen.operator_address = "127.0.0.1:0";
    boot.listen.link = "127.0.0.1:0";
    entry = std::move(entry::Entry::Create(boot, std::move(platform)).value());
    entry->Start();
    if (wait) {
      cr_assert(WaitUntil([&] { return ReadyAgents() == agents.size(); }));
    }
  }

  std::string link_address() const { return "127.0.0.1:" + std::to_string(entry->link_port()); }
  httplib::Client client() const {
    httplib::Client http_client("127.0.0.1", entry->caller_port());
    http_client.set_read_timeout(15, 0);
    return http_client;
  }
  nlohmann::json State() const {
    httplib::Client operator_client("127.0.0.1", entry->operator_port());
    const httplib::Result result = operator_client.Get("/state");
    return result ? nlohmann::json::parse(result->body) : nlohmann::json::object();
  }
  std::size_t ReadyAgents() const {
    std::size_t ready = 0;
    const nlohmann::json state = State();
    if (state.value("settings_version", 0) == 0) {
      return 0;
    }
    for (const nlohmann::json& agent : state["fleet"]) {
      ready += agent["ready"].get<bool>() ? 1 : 0;
    }
    return ready;
  }

  template <typename Condition>
  static bool WaitUntil(Condition condition, Milliseconds limit = Milliseconds(5'000)) {
    const TimePoint deadline = DefaultClock().now() + limit;
    while (DefaultClock().now() < deadline) {
      if (condition()) {
        return true;
      }
      std::this_thread::sleep_for(Milliseconds(5));
    }
    return condition();
  }

  std::unique_ptr<entry::Entry> entry;
};

/// Text of all events of a stream; *done is set when the terminator "[DONE]" is present.
inline std::string StreamedText(const std::string& body, bool* done) {
  std::string text;
  *done = false;
  std::size_t begin = 0;
  while (begin < body.size()) {
    const std::size_t end = std::min(body.find('\n', begin), body.size());
    const std::string line = body.substr(begin, end - begin);
    begin = end + 1;
    if (line == "data: [DONE]") {
      *done = true;
    } else if (line.starts_with("data: ")) {
      const nlohmann::json event = nlohmann::json::parse(line.substr(6));
      if (event.contains("choices")) {
        const nlohmann::json& choice = event["choices"][0];
        text += choice.contains("delta") ? choice["delta"].value("content", "")
                                         : choice.value("text", "");
      }
    }
  }
  return text;
}

}  // namespace rattanramp::test_support
