#include "gateway/fleet.h"

#include <criterion/criterion.h>

#include <map>
#include <random>
#include <set>
#include <string>

using namespace rattanramp;
using gateway::Fleet;
using gateway::PeerState;

namespace {

constexpr int kEngines = 12;
constexpr int kPeers = 8;

core::UpstreamInfo Engine(int number) {
  core::UpstreamInfo info;
  info.id = "e" + std::to_string(number);
  info.service = "s";
  info.address = "127.0.0.1";
  info.port = 1;
  info.stage = core::UpstreamStage::kDecode;
  info.slots = 8;
  return info;
}

}  // namespace

// Guards against load that remains after the peer that reported it has changed, reduced or ended
// it, in any order of reports, lost peers and changes of the upstream list. Pattern: the sums are
// updated by the difference of two reports, because hundreds of peers report several times a
// second.
Test(fleet, sums_of_peer_reports_match_a_recount, .timeout = 60) {
  std::mt19937 random(20261204);
  const auto draw = [&](int limit) { return static_cast<int>(random() % limit); };
  Fleet fleet;
  std::map<std::string, PeerState> reports;
  std::set<int> listed;
  for (int step = 0; step < 4'000; ++step) {
    const std::string peer = "p" + std::to_string(draw(kPeers));
    const int engine = draw(kEngines);
    switch (draw(4)) {
      case 0:
        fleet.RemovePeer(peer);
        reports.erase(peer);
        break;
      case 1: {
        core::DirectoryChange change;
        if (listed.erase(engine) > 0) {
          change.removed = {Engine(engine)};
        } else {
          listed.insert(engine);
          change.added = {Engine(engine)};
        }
        fleet.Apply(change);
        break;
      }
      default: {
        PeerState state;
        for (int i = draw(4); i > 0; --i) {
          state.loads.push_back(
              {gateway::KeyOf(Engine(draw(kEngines))), {1 + draw(3), 100 * draw(50), draw(900)}});
        }
        if (draw(3) == 0) {
          state.excluded.push_back(gateway::KeyOf(Engine(draw(kEngines))));
        }
        state.waiting_tokens["s"] = {draw(500), draw(500)};
        reports[peer] = state;
        fleet.SetPeerState(peer, std::move(state));
      }
    }
    core::WaitingTokens waiting;
    for (const auto& [name, state] : reports) {
      waiting.on_time += state.waiting_tokens.at("s").on_time;
      waiting.late += state.waiting_tokens.at("s").late;
    }
    cr_assert_eq(fleet.PeerWaitingTokens("s").on_time, waiting.on_time);
    cr_assert_eq(fleet.PeerWaitingTokens("s").late, waiting.late);
    cr_assert_eq(fleet.size(), listed.size());
    for (const auto& [id, upstream] : fleet.upstreams()) {
      core::UpstreamLoad load;
      bool is_excluded = false;
      for (const auto& [name, state] : reports) {
        for (const gateway::PeerLoad& part : state.loads) {
          if (part.key == upstream->key) {
            load.running += part.load.running;
            load.reserved_tokens += part.load.reserved_tokens;
            load.prefill_tokens += part.load.prefill_tokens;
          }
        }
        for (const std::int64_t key : state.excluded) {
          is_excluded = is_excluded || key == upstream->key;
        }
      }
      cr_assert_eq(upstream->peer_load.running, load.running);
      cr_assert_eq(upstream->peer_load.reserved_tokens, load.reserved_tokens);
      cr_assert_eq(upstream->peer_load.prefill_tokens, load.prefill_tokens);
      cr_assert_eq(upstream->is_excluded, is_excluded);
      cr_assert_eq(fleet.Find(upstream->key), upstream.get());
    }
  }
}
