#include "core/upstream_suspicion.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "core/placement.h"

using namespace rattanramp;
using core::Admission;
using core::FailureSign;
using core::UpstreamSuspicions;

namespace {

TimePoint At(std::int64_t ms) { return TimePoint() + Milliseconds(ms); }

Admission Judge(const UpstreamSuspicions& suspicions, std::int64_t upstream, std::int64_t ms) {
  return core::JudgeUpstream(suspicions, upstream, At(ms)).admission;
}

/// A sign on its way to all other gateways.
struct Report {
  std::int64_t due_ms;
  std::size_t from;
  std::int64_t upstream;
  bool is_failure;
  std::int64_t at_ms;
};

/// Many gateways place requests on the least loaded engines. Some engines end at once, with all
/// their streams, and so have no load. Signs reach the peers late or not at all.
struct Crash {
  int gateways = 31;
  int engines = 44;
  int dead = 8;
  std::int64_t report_ms = 5;
  double lost_reports = 0;
  /// The engines were reset only, and answer.
  bool is_false_alarm = false;
};

struct Outcome {
  /// Connections that failed after the crash, at the dead engine with the most of them.
  int most_failures = 0;
  /// Gateways for which an engine was still closed in the end.
  int closed = 0;
};

Outcome Play(const Crash& crash, std::int64_t until_ms) {
  std::mt19937 random(7);
  std::vector<UpstreamSuspicions> gateways(static_cast<std::size_t>(crash.gateways));
  for (std::size_t g = 0; g < gateways.size(); ++g) {
    gateways[g].own_gateway = "g" + std::to_string(g);
    for (std::size_t peer = 0; peer < gateways.size(); ++peer) {
      if (peer != g) {
        gateways[g].live_peers.insert("g" + std::to_string(peer));
      }
    }
  }
  std::vector<Report> reports;
  std::map<std::int64_t, int> failures;
  const auto tell = [&](std::size_t from, std::int64_t upstream, bool is_failure,
                        std::int64_t now) {
    reports.push_back({now + crash.report_ms, from, upstream, is_failure, now});
  };
  // Each dead engine had a stream of some gateways.
  for (std::int64_t engine = 0; engine < crash.dead; ++engine) {
    for (std::size_t g = 0; g < gateways.size(); g += 8) {
      core::RecordFailure(gateways[g], engine, FailureSign::kConnectionLost, At(0));
      tell(g, engine, true, 0);
    }
  }
  for (std::int64_t now = 1; now < until_ms; ++now) {
    for (const Report& report : reports) {
      if (report.due_ms != now) {
        continue;
      }
      for (std::size_t g = 0; g < gateways.size(); ++g) {
        if (g == report.from ||
            std::uniform_real_distribution(0.0, 1.0)(random) < crash.lost_reports) {
          continue;
        }
        if (report.is_failure) {
          core::RecordPeerFailure(gateways[g], report.upstream, gateways[report.from].own_gateway,
                                  At(report.at_ms));
        } else {
          core::RecordPeerLife(gateways[g], report.upstream, At(report.at_ms));
        }
      }
    }
    std::erase_if(reports, [now](const Report& report) { return report.due_ms <= now; });
    if (now % 5 != 0) {
      continue;
    }
    // A request at one gateway; engines that have lost their streams are the least loaded.
    const std::size_t g = random() % gateways.size();
    std::vector<std::int64_t> usable;
    for (std::int64_t engine = 0; engine < crash.engines; ++engine) {
      if (Judge(gateways[g], engine, now) != Admission::kNone) {
        usable.push_back(engine);
      }
    }
    const std::int64_t chosen =
        std::min(usable[random() % usable.size()], usable[random() % usable.size()]);
    if (chosen < crash.dead && !crash.is_false_alarm) {
      ++failures[chosen];
      core::RecordFailure(gateways[g], chosen, FailureSign::kNotConnected, At(now));
      tell(g, chosen, true, now);
    } else if (core::RecordLife(gateways[g], chosen, At(now))) {
      tell(g, chosen, false, now);
    }
  }
  Outcome outcome;
  for (const auto& [engine, count] : failures) {
    outcome.most_failures = std::max(outcome.most_failures, count);
  }
  for (const UpstreamSuspicions& gateway : gateways) {
    for (std::int64_t engine = 0; engine < crash.dead; ++engine) {
      outcome.closed += Judge(gateway, engine, until_ms) == Admission::kNone ? 1 : 0;
    }
  }
  return outcome;
}

}  // namespace

// Load: 8 of 44 engines end at once while 31 gateways place 200 requests a second. Each
// gateway found each dead engine by itself: 245 failures of 248 possible ones.
Test(upstream_suspicion, dead_engines_draw_few_requests) {
  cr_assert_leq(Play({}, 3'000).most_failures, 4);
  Crash late;
  late.report_ms = 200;
  cr_assert_leq(Play(late, 3'000).most_failures, 12);
  Crash lossy;
  lossy.lost_reports = 0.5;
  cr_assert_leq(Play(lossy, 3'000).most_failures, 8);
}

// Load: connections of 8 engines are reset, but the engines run on. All gateways must use them
// again.
Test(upstream_suspicion, sound_engines_open_again_for_all) {
  Crash alarm;
  alarm.is_false_alarm = true;
  cr_assert_eq(Play(alarm, 5'000).closed, 0);
}

// Load: one gateway is cut off and sees every engine fail; engines lose single connections.
// Property: no number of signs of one peer, and no single own loss, closes an engine.
Test(upstream_suspicion, signs_of_one_peer_close_nothing) {
  const bool holds = rc::check([] {
    UpstreamSuspicions suspicions;
    const auto times = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5'000));
    for (const int ms : times) {
      core::RecordPeerFailure(suspicions, 1, "cut-off", At(ms));
      RC_ASSERT(Judge(suspicions, 1, ms) == Admission::kFree);
    }
    core::RecordFailure(suspicions, 2, FailureSign::kConnectionLost, At(5'000));
    RC_ASSERT(Judge(suspicions, 2, 5'000) == Admission::kFree);
    core::RecordPeerFailure(suspicions, 2, "other", At(5'000));
    RC_ASSERT(Judge(suspicions, 2, 5'000) == Admission::kNone);
    // The next incarnation has another key.
    RC_ASSERT(Judge(suspicions, 3, 5'000) == Admission::kFree);
  });
  cr_assert(holds);
}

// Load: reports arrive late, so that a failure is reported after the answer that followed it.
Test(upstream_suspicion, late_reports_do_not_close_an_engine_that_has_answered) {
  UpstreamSuspicions suspicions;
  core::RecordFailure(suspicions, 1, FailureSign::kNotConnected, At(100));
  cr_assert_eq(Judge(suspicions, 1, 110), Admission::kNone);
  // Bytes that were sent before the failure.
  cr_assert(!core::RecordLife(suspicions, 1, At(110)));
  cr_assert_eq(Judge(suspicions, 1, 110), Admission::kNone);
  cr_assert(core::RecordLife(suspicions, 1, At(400)));
  core::RecordPeerFailure(suspicions, 1, "a", At(100));
  core::RecordPeerFailure(suspicions, 1, "b", At(390));
  cr_assert_eq(Judge(suspicions, 1, 410), Admission::kFree);
  core::RemoveOldSigns(suspicions, At(20'000));
  cr_assert(suspicions.by_upstream.empty());
}

// Load: more than half of a service's engines end at once. Guards against trying the engines that
// failed last, which are the least likely to be back, before those that failed longest ago.
Test(upstream_suspicion, those_that_failed_longest_ago_are_tried_first) {
  std::vector<core::PlacementCandidate> candidates(3);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].slots = 4;
    candidates[i].is_backing_off = true;
    candidates[i].failed_at = At(i == 1 ? 100 : 900);
    candidates[i].back_off_until = At(i == 1 ? 3'000 : 1'000);
  }
  core::LimitBackOff(candidates);
  cr_assert(candidates[1].is_usable);
}
