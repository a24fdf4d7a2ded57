#include "control/settings_replica.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <thread>

#include "control/settings_exchange.h"
#include "control/settings_store.h"
#include "tests/support/fake_platform.h"

using nlohmann::json;
using rattanramp::ManualClock;
using rattanramp::Milliseconds;
using rattanramp::control::SettingsPullState;
using rattanramp::control::SettingsPushOutcome;
using rattanramp::control::SettingsReplica;
using rattanramp::settings::SettingsTree;
using rattanramp::store::FakePlatform;
namespace control = rattanramp::control;
namespace wire = rattanramp::wire;

namespace {

constexpr int kVersions = 40;

/// Value of max_prompt_tokens at a version. It differs for each version, so that the content of a
/// replica can be compared with its version.
std::int64_t TokensAt(std::int64_t version) { return 1000 + version; }

wire::SettingsChange MakeChange(std::int64_t version) {
  wire::SettingsChange change;
  change.version = version;
  change.change_id = "c" + std::to_string(version);
  change.author = "ana";
  change.operations_json = json::array({{{"op", "set"},
                                         {"path", "/"},
                                         {"key", "max_prompt_tokens"},
                                         {"value", TokensAt(version)}}})
                               .dump();
  return change;
}

wire::SettingsPush MakeChangesPush(std::int64_t first, std::int64_t last) {
  wire::SettingsPush push;
  push.version = last;
  for (std::int64_t version = first; version <= last; ++version) {
    push.changes.push_back(MakeChange(version));
  }
  return push;
}

wire::SettingsPush MakeSnapshotPush(std::int64_t version) {
  wire::SettingsPush push;
  push.version = version;
  const json tree = {{"values", {{"max_prompt_tokens", TokensAt(version)}}}};
  push.__set_snapshot_json(tree.dump());
  return push;
}

bool IsConsistent(const SettingsReplica& replica) {
  const std::shared_ptr<const control::VersionedSettings> now = replica.current();
  return now->version == 0 ||
         now->tree.Resolve("", "", "").max_prompt_tokens == TokensAt(now->version);
}

/// Passes pulls and pushes between two replicas until no further pull is sent. Returns the number
/// of pulls.
int ExchangeFrames(SettingsReplica& from, SettingsReplica& to, std::int64_t advertised_version) {
  SettingsPullState state;
  std::vector<wire::Frame> pulls =
      control::OnPeerSettingsVersion(to, state, advertised_version, {});
  int sent = 0;
  while (!pulls.empty()) {
    cr_assert(++sent < 5);
    const std::vector<wire::Frame> pushes = control::OnSettingsPull(from, pulls[0].settings_pull);
    pulls = control::OnSettingsPush(to, state, pushes[0].settings_push, {}).frames;
  }
  return sent;
}

}  // namespace

// Guards against a replica that returns to an older version, or whose content does not match its
// version, when pushes, snapshots, pulls and polls from several sources occur in random order.
Test(settings_replica, version_never_decreases) {
  cr_assert(rc::check([] {
    FakePlatform platform;
    SettingsReplica writer;
    SettingsReplica peer;
    SettingsReplica replica;
    const ManualClock clock;
    std::int64_t last = 0;
    for (const int kind : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6))) {
      const std::int64_t a = *rc::gen::inRange(1, kVersions);
      const std::int64_t b = *rc::gen::inRange(1, kVersions);
      SettingsPullState state;
      if (kind == 0) {
        control::OnSettingsPush(replica, state, MakeChangesPush(std::min(a, b), std::max(a, b)),
                                {});
      } else if (kind == 1) {
        control::OnSettingsPush(replica, state, MakeSnapshotPush(a), {});
      } else if (kind == 2) {
        static_cast<void>(peer.Apply(MakeSnapshotPush(a)));
        ExchangeFrames(peer, replica, peer.version());
        RC_ASSERT(replica.version() >= peer.version());
      } else if (kind == 3) {
        const std::int64_t next = writer.version() + 1;
        RC_ASSERT(control::CommitChange(platform, writer,
                                        {"c" + std::to_string(next),
                                         "ana",
                                         next - 1,
                                         {{"/", "max_prompt_tokens", TokensAt(next), false}},
                                         false},
                                        clock)
                      .outcome == control::ChangeOutcome::kAccepted);
      } else if (kind == 4) {
        RC_ASSERT(control::CatchUp(platform, replica).has_value());
        RC_ASSERT(replica.version() >= writer.version());
      } else {
        ExchangeFrames(replica, peer, replica.version());
        RC_ASSERT(peer.version() >= replica.version() && IsConsistent(peer));
      }
      RC_ASSERT(replica.version() >= last);
      RC_ASSERT(IsConsistent(replica));
      last = replica.version();
    }
  }));
}

// Guards against a version that decreases when several threads apply changes and snapshots at the
// same time, and against reads that return a partly applied update.
Test(settings_replica, version_never_decreases_with_threads) {
  SettingsReplica replica;
  std::atomic<bool> ok{true};
  std::vector<std::thread> threads;
  for (int source = 0; source < 4; ++source) {
    threads.emplace_back([&replica, &ok, source] {
      std::int64_t last = 0;
      for (std::int64_t version = 1; version < kVersions; ++version) {
        static_cast<void>(replica.Apply(source % 2 == 0 ? MakeChangesPush(1, version)
                                                        : MakeSnapshotPush(version)));
        const std::int64_t now = replica.version();
        ok = ok && now >= last && now >= version && IsConsistent(replica);
        last = now;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  cr_assert(ok && replica.version() == kVersions - 1);
}

// Guards against a starting agent that pulls the settings from every entry at the same time, and
// against one that waits indefinitely when the entry that received its pull does not answer.
Test(settings_exchange, pull_is_repeated_only_after_the_timeout) {
  SettingsReplica booting;
  SettingsPullState state;
  ManualClock clock;
  cr_assert(control::OnPeerSettingsVersion(booting, state, 3, clock.now()).size() == 1);
  cr_assert(control::OnPeerSettingsVersion(booting, state, 3, clock.now()).empty());
  clock.Advance(control::kSettingsPullTimeout);
  cr_assert(control::OnPeerSettingsVersion(booting, state, 3, clock.now()).size() == 1);
  cr_assert(control::OnPeerSettingsVersion(booting, state, 0, clock.now()).empty());
}

// Guards against a replica that applies a push with missing versions, or that does not send a pull
// with have_version 0 after it. A push with invalid content is refused without a pull.
Test(settings_exchange, gap_triggers_a_pull_with_version_0) {
  SettingsReplica replica;
  SettingsPullState state;
  const SettingsPushOutcome gap =
      control::OnSettingsPush(replica, state, MakeChangesPush(5, 6), {});
  cr_assert(!gap.updated && gap.frames.size() == 1);
  cr_assert(gap.frames[0].settings_pull.have_version == 0);
  wire::SettingsPush bad = MakeChangesPush(1, 1);
  bad.changes[0].operations_json = "[";
  const SettingsPushOutcome refused = control::OnSettingsPush(replica, state, bad, {});
  cr_assert(!refused.updated && refused.frames.empty() && refused.error.has_value());
}

// Guards against a push that does not fit into one frame because the replica keeps many large
// changes. A snapshot must be sent instead.
Test(settings_replica, large_changes_are_sent_as_a_snapshot) {
  SettingsReplica replica;
  for (std::int64_t version = 1; version <= 20; ++version) {
    wire::SettingsPush push = MakeChangesPush(version, version);
    json operation = {
        {"op", "set"}, {"path", "/"}, {"key", "model"}, {"value", std::string(100'000, 'm')}};
    push.changes[0].operations_json = json::array({operation}).dump();
    cr_assert(replica.Apply(push).value());
  }
  cr_assert(replica.MakePush(0).__isset.snapshot_json);
  cr_assert(!replica.MakePush(19).__isset.snapshot_json);
  cr_assert(replica.MakePush(20).changes.empty() && !replica.MakePush(20).__isset.snapshot_json);
}

// Guards against a crash or an exception on random requests, pushes and platform rows.
Test(settings_replica, random_input_does_not_crash) {
  cr_assert(rc::check([](const std::string& text, std::int64_t version) {
    static_cast<void>(control::ParseChangeRequest(text));
    const json request = {{"change_id", text},
                          {"author", "ana"},
                          {"expected_version", version},
                          {"operations", {{{"op", text}, {"path", text}}}}};
    const std::string body = request.dump(-1, ' ', false, json::error_handler_t::replace);
    static_cast<void>(control::ParseChangeRequest(body));
    SettingsReplica replica;
    wire::SettingsPush push = MakeChangesPush(1, 2);
    push.changes[0].operations_json = text;
    RC_ASSERT(!replica.Apply(push).has_value());
    push.__set_snapshot_json(text);
    static_cast<void>(replica.Apply(push));
    for (const std::string row : {"settings/head", "settings/snapshot", "settings/log/1"}) {
      FakePlatform platform;
      const std::vector<std::pair<std::string, std::string>> rows = {
          {"settings/head", R"({"version":1})"}, {"settings/snapshot", "{}"}, {row, text}};
      for (const auto& [key, value] : rows) {
        RC_ASSERT(platform.Commit({{}, {{key, value}}}).has_value());
      }
      RC_ASSERT(!control::CatchUp(platform, replica).has_value() || replica.version() <= 1);
    }
  }));
}
