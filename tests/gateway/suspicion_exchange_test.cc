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
