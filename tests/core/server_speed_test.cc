#include "core/server_speed.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/placement.h"
#include "core/request_cost.h"

using namespace rattanramp;

namespace {

constexpr Milliseconds kWork{20};

core::ServerSpeed Measured(double slowness, int answers, TimePoint now) {
  core::ServerSpeed speed;
  for (int i = 0; i < answers; ++i) {
    core::RecordAnswerTime(speed, std::chrono::duration_cast<Duration>(slowness * kWork), kWork,
                           now);
  }
  return speed;
}

/// Requests that each of five plain upstreams of six slots gets in `length`, one every 2 ms. The
/// first upstream works `slowness` times slower, which is known from its answers only.
std::vector<int> PlayPlainLoad(double slowness, bool weighs_speed, Milliseconds length) {
  struct Running {
    TimePoint started;
    TimePoint end;
    std::size_t upstream = 0;
  };
  std::vector<core::PlacementCandidate> upstreams(5);
  std::vector<core::ServerSpeed> speeds(upstreams.size());
  for (core::PlacementCandidate& upstream : upstreams) {
    upstream.is_usable = true;
    upstream.slots = 6;
  }
  std::vector<Running> running;
  std::vector<int> placed(upstreams.size(), 0);
  const TimePoint start = ManualClock().now();
  std::uint64_t seed = 0;
  for (TimePoint now = start; now < start + length; now += Milliseconds(2)) {
    std::erase_if(running, [&](const Running& r) {
      if (r.end > now) {
        return false;
      }
      --upstreams[r.upstream].load.running;
      core::RecordAnswerTime(speeds[r.upstream], r.end - r.started, kWork, now);
      return true;
    });
    for (std::size_t i = 0; i < upstreams.size() && weighs_speed; ++i) {
      upstreams[i].slowness = core::Slowness(speeds[i], {}, now);
    }
    const std::optional<std::size_t> place = core::PlacePlain(upstreams, ++seed);
    if (place) {
      ++placed[*place];
      ++upstreams[*place].load.running;
      const double factor = *place == 0 ? slowness : 1;
      running.push_back({now, now + std::chrono::duration_cast<Duration>(factor * kWork), *place});
    }
  }
  return placed;
}

}  // namespace

// Load: an upstream that turns slow. Ten answers suffice to see it, and ten to see its return.
Test(server_speed, ten_answers_show_a_slow_upstream_and_its_return) {
  const TimePoint now = ManualClock().now();
  core::ServerSpeed speed = Measured(1, 10, now);
  for (int i = 0; i < 10; ++i) {
    core::RecordAnswerTime(speed, 5 * kWork, kWork, now);
  }
  cr_assert_gt(core::Slowness(speed, {}, now), 2);
  for (int i = 0; i < 10; ++i) {
    core::RecordAnswerTime(speed, kWork, kWork, now);
  }
  cr_assert_lt(core::Slowness(speed, {}, now), 2);
}

// Load: a slow upstream that gets no work any more is not avoided for ever.
Test(server_speed, measurement_fades) {
  const TimePoint now = ManualClock().now();
  const core::ServerSpeed speed = Measured(8, 10, now);
  cr_assert_gt(core::Slowness(speed, {}, now), 4);
  cr_assert_lt(core::Slowness(speed, {}, now + 5 * core::kSpeedLifetime), 1.1);
}

// Failure: reports that are old, doubled or senseless.
Test(server_speed, peer_reports_stay_within_their_limits) {
  cr_assert(rc::check([](const std::vector<std::pair<double, double>>& reports) {
    const TimePoint now = ManualClock().now();
    core::ServerSpeed peers;
    for (const auto& [slowness, samples] : reports) {
      core::RecordPeerSpeed(peers, {slowness, samples, Milliseconds(0)}, now);
    }
    const double result = core::Slowness({}, peers, now);
    RC_ASSERT(std::isfinite(result));
    RC_ASSERT(result >= core::kMinSlowness && result <= core::kMaxSlowness);
  }));
}

// Failure: a report about a spell that has long ended.
Test(server_speed, old_report_weighs_little) {
  const TimePoint now = ManualClock().now();
  core::ServerSpeed peers;
  core::RecordPeerSpeed(peers, {8, 10, 5 * core::kSpeedLifetime}, now);
  cr_assert_lt(core::Slowness({}, peers, now), 1.2);
}

// Load: steady plain requests on five upstreams, one of them 3.5 times slower. It gets less, and
// goes on getting some, so that its return would be seen.
Test(server_speed, slow_plain_upstream_gets_less_but_not_nothing) {
  constexpr Milliseconds kLength{20'000};
  const std::vector<int> even = PlayPlainLoad(3.5, /*weighs_speed=*/false, kLength);
  const std::vector<int> weighed = PlayPlainLoad(3.5, /*weighs_speed=*/true, kLength);
  cr_assert_lt(2 * weighed[0], even[0], "%d of %d", weighed[0], even[0]);
  cr_assert_gt(weighed[0], 4);
}

// Load: prompts in front of two prefill engines, one of which reads half as fast.
Test(server_speed, prompt_goes_where_it_is_read_first) {
  std::vector<core::PlacementCandidate> engines(2);
  for (core::PlacementCandidate& engine : engines) {
    engine.stage = core::UpstreamStage::kPrefill;
    engine.is_usable = true;
    engine.memory_tokens = 100'000;
  }
  engines[0].slowness = 2;
  engines[1].load.prefill_tokens = 2'000;
  cr_assert(core::PlacePrefill(engines, 8'000, 1) == std::optional<std::size_t>(1));
  // The faster one is chosen only as long as its queue is shorter than the time that it saves.
  engines[1].load.prefill_tokens = 12'000;
  cr_assert(core::PlacePrefill(engines, 3'000, 1) == std::optional<std::size_t>(0));
}

// Load: work that varies by half of its mean, on servers of which one in five is 2.5 times slower.
Test(request_cost, median_is_that_of_the_usual_upstream) {
  cr_assert(rc::check([](std::uint32_t seed) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> usual_work(10, 30);
    core::UnitTime time;
    for (int i = 0; i < 400; ++i) {
      const double work = usual_work(random);
      core::RecordUnitTime(time, i % 5 == 0 ? 2.5 * work : work);
    }
    RC_ASSERT(time.ms > 14 && time.ms < 30);
  }));
}

// Load: estimates that are right at the median only. Their mean error is learned, a single wild one
// hardly counts, and nothing is assumed at the start.
Test(request_cost, output_is_corrected_by_what_answers_had) {
  core::ServiceCost cost;
  cr_assert_float_eq(core::CorrectedOutput(cost, 100), 100, 0.01);
  core::RecordOutput(cost, 100'000, 1);
  cr_assert_lt(core::CorrectedOutput(cost, 100), 110);
  for (int i = 0; i < 300; ++i) {
    core::RecordOutput(cost, i % 2 == 0 ? 80 : 160, 100);
  }
  const double corrected = core::CorrectedOutput(cost, 100);
  cr_assert(corrected > 110 && corrected < 130, "%f", corrected);
}

// Load: more routes and services than are kept.
Test(request_cost, memory_is_bounded) {
  core::CostModel model;
  for (int i = 0; i < 10'000; ++i) {
    core::RecordPlainTime(model, "s" + std::to_string(i), "r" + std::to_string(i), 10);
  }
  cr_assert_leq(model.routes.size(), core::kMaxRouteCosts);
  cr_assert_leq(model.services.size(), core::kMaxServiceCosts);
}
