#include "gateway/suspicion_exchange.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

using namespace rattanramp;
using core::Admission;
using core::FailureSign;

namespace {

/// Gateways that hear every report of the others.
struct Gateways {
  explicit Gateways(std::size_t count) : suspicions(count) {
    for (std::size_t i = 0; i < count; ++i) {
      exchanges.push_back(std::make_unique<gateway::SuspicionExchange>(suspicions[i], clock,
                                                                       "g" + std::to_string(i)));
    }
  }
  void Report(std::size_t from, bool is_complete) {
    wire::GatewayLoad report;
    report.gateway = "g" + std::to_string(from);
    exchanges[from]->AddTo(report, is_complete);
    for (std::size_t i = 0; i < exchanges.size(); ++i) {
      if (i != from) {
        exchanges[i]->Record(report);
      }
    }
  }
  Admission Judge(std::size_t gateway, std::int64_t upstream) const {
    return core::JudgeUpstream(suspicions[gateway], upstream, clock.now()).admission;
  }

  ManualClock clock;
  std::vector<core::UpstreamSuspicions> suspicions;
  std::vector<std::unique_ptr<gateway::SuspicionExchange>> exchanges;
};

}  // namespace

// Load: an engine ends; two of many gateways find it. The others must hear of it before they send
// requests there, also if the report right after it is lost, and must hear of its first answer.
Test(suspicion_exchange, two_gateways_close_an_engine_for_all_and_one_opens_it) {
  Gateways gateways(4);
  gateways.clock.Advance(Milliseconds(10'000));
  core::RecordFailure(gateways.suspicions[0], 7, FailureSign::kNotConnected, gateways.clock.now());
  cr_assert(gateways.exchanges[0]->has_news());
  gateways.Report(0, /*is_complete=*/false);
  cr_assert(!gateways.exchanges[0]->has_news());
  cr_assert_eq(gateways.Judge(2, 7), Admission::kFree);
  core::RecordFailure(gateways.suspicions[1], 7, FailureSign::kConnectionLost,
                      gateways.clock.now());
  gateways.suspicions[1].news.clear();  // the report with it was lost
  gateways.Report(1, /*is_complete=*/true);
  for (std::size_t i = 0; i < 4; ++i) {
    cr_assert_eq(gateways.Judge(i, 7), Admission::kNone);
  }
  gateways.clock.Advance(Milliseconds(300));
  cr_assert(core::RecordLife(gateways.suspicions[3], 7, gateways.clock.now()));
  gateways.Report(3, /*is_complete=*/false);
  // A repeat of the older sign closes it no more.
  gateways.Report(0, /*is_complete=*/true);
  gateways.Report(1, /*is_complete=*/true);
  for (std::size_t i = 0; i < 4; ++i) {
    cr_assert_eq(gateways.Judge(i, 7), Admission::kFree);
  }
}

// Load: a burst fills the plain servers, which reset connections above their limit at many gateways
// (on one measured day, refusals for lack of capacity rose from 534 to 1,367 when these closed). A
// server whose requests run on stays open; one that has lost them too is closed.
Test(suspicion_exchange, full_plain_server_stays_open) {
  gateway::Fleet fleet;
  core::UpstreamInfo info;
  info.id = "full";
  info.service = "s";
  info.address = "127.0.0.1";
  info.slots = 4;
  core::DirectoryChange change;
  change.added = {info};
  fleet.Apply(change);
  const TimePoint now = DefaultClock().now();
  for (const char* peer : {"a", "b", "c"}) {
    core::RecordPeerFailure(fleet.suspicions(), gateway::KeyOf(info), peer, now);
  }
  gateway::PeerState state;
  state.loads = {{gateway::KeyOf(info), {3, 0, 0}}};
  fleet.SetPeerState("a", state);
  cr_assert(!gateway::IsAvoided(*fleet.upstreams().at("full"), now));
  fleet.SetPeerState("a", {});
  cr_assert(gateway::IsAvoided(*fleet.upstreams().at("full"), now));
}
