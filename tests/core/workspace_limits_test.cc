#include "core/workspace_limits.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace rattanramp;

namespace {

constexpr Milliseconds kStep{5};
constexpr Milliseconds kCompleteInterval{200};
const core::LimitTolerance kTolerance{Milliseconds(8'000), 0.1, 120'000};

core::WorkspaceRule Rule(double rate) {
  core::WorkspaceRule rule;
  rule.name = "hot";
  rule.rate_per_s = rate;
  rule.burst = rate;
  rule.counts_tokens = true;
  rule.plain_tokens = 200;
  return rule;
}

struct Network {
  double loss = 0;
  double doubled = 0;
  /// Share of the reports that arrive up to a second late.
  double late = 0;
};

/// Gateways that exchange reports over a network with faults; one workspace. Time goes on in steps.
class Site {
 public:
  Site(int gateways, double rate, std::uint64_t seed) : rate_(rate), random_(seed) {
    for (int i = 0; i < gateways; ++i) {
      Add();
    }
  }

  struct Gateway {
    std::unique_ptr<core::WorkspaceLimits> limits;
    std::int64_t process = 0;
    TimePoint next_complete;
    TimePoint frozen_until;
    /// Members of different groups do not hear each other.
    int group = 0;
    bool is_running = true;
    /// Share of the workspace's demand.
    double weight = 1;
    std::vector<std::pair<std::string, std::pair<std::int64_t, std::vector<core::WorkspaceUse>>>>
        inbox;
  };

  void Add() {
    gateways_.emplace_back();
    Start(gateways_.size() - 1);
  }
  void Start(std::size_t index) {
    Gateway& gateway = gateways_[index];
    gateway.limits =
        std::make_unique<core::WorkspaceLimits>(kTolerance, core::SharedBoundTiming{}, now_);
    gateway.process = ++processes_;
    gateway.next_complete = now_ + Milliseconds(Random(200));
    gateway.is_running = true;
    SetLists();
    const core::WorkspaceRule rule = Rule(rate_);
    gateway.limits->SetRules({&rule, 1}, now_);
  }
  void Kill(std::size_t index) {
    gateways_[index].is_running = false;
    gateways_[index].inbox.clear();
  }
  void SetLists() {
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      std::vector<std::string> names;
      for (std::size_t j = 0; j < gateways_.size(); ++j) {
        if (j != i) {
          names.push_back(std::to_string(j));
        }
      }
      if (gateways_[i].limits) {
        gateways_[i].limits->SetMembers(names, now_);
      }
    }
  }

  /// Callers ask for `demand` units per second over all gateways during `time`.
  void Run(Duration time, double demand) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      Deliver();
      double weights = 0;
      for (const Gateway& gateway : gateways_) {
        weights += gateway.weight;
      }
      for (std::size_t i = 0; i < gateways_.size(); ++i) {
        Gateway& gateway = gateways_[i];
        if (!gateway.is_running || gateway.frozen_until > now_) {
          continue;
        }
        for (const auto& [peer, report] : std::exchange(gateway.inbox, {})) {
          gateway.limits->Record(peer, report.first, report.second, now_);
        }
        owed_[i] += demand * gateway.weight / std::max(weights, 1e-9) * 0.005 *
                    (std::exponential_distribution<double>(1.0)(random_));
        next_cost_.try_emplace(i, 5'270);
        while (owed_[i] >= next_cost_[i]) {
          owed_[i] -= next_cost_[i];
          Ask(i, next_cost_[i]);
          next_cost_[i] = Random(10) < 7 ? 5'270 + Random(500)
                                         : (Random(10) < 7 ? 200 : 5'000 + Random(11'000));
        }
        gateway.limits->Refresh(now_);
        if (now_ >= gateway.next_complete) {
          gateway.next_complete = now_ + kCompleteInterval;
          Send(i, true);
        } else if (gateway.limits->has_news()) {
          Send(i, false);
        }
      }
    }
  }

  double rate_;
  Network network_;
  std::vector<Gateway> gateways_;
  TimePoint now_{std::chrono::hours(1)};
  std::int64_t asked_ = 0;
  std::int64_t owed_requests_ = 0;
  std::int64_t refused_below_ = 0;
  double granted_ = 0;
  double most_in_window_ = 0;
  TimePoint most_at_;

  int Random(int below) { return std::uniform_int_distribution<int>(0, below - 1)(random_); }
  double Allowed() const {
    return (rate_ * 8 + rate_) * (1 + kTolerance.overshoot) + kTolerance.slack;
  }

 private:
  struct Message {
    std::size_t to = 0;
    std::string from;
    std::int64_t process = 0;
    std::vector<core::WorkspaceUse> uses;
  };

  void Ask(std::size_t index, double cost) {
    // What the limit itself allows, counted with what has been taken.
    ideal_ =
        std::min(rate_, ideal_ + rate_ * std::chrono::duration<double>(now_ - ideal_at_).count());
    ideal_at_ = now_;
    const bool is_below = ideal_ >= cost;
    ++asked_;
    owed_requests_ += is_below ? 1 : 0;
    const core::LimitDecision decision = gateways_[index].limits->Take(
        core::WorkspaceKey("hot"), static_cast<std::int64_t>(cost), now_);
    if (!decision.is_taken) {
      refused_below_ += is_below ? 1 : 0;
      return;
    }
    ideal_ = std::max(0.0, ideal_ - cost);
    granted_ += cost;
    taken_.emplace_back(now_, cost);
    in_window_ += cost;
    while (taken_.front().first <= now_ - kTolerance.window) {
      in_window_ -= taken_.front().second;
      taken_.pop_front();
    }
    if (in_window_ > most_in_window_) {
      most_in_window_ = in_window_;
      most_at_ = now_;
    }
  }

  void Send(std::size_t from, bool is_complete) {
    const std::vector<core::WorkspaceUse> uses =
        gateways_[from].limits->Report(8, is_complete, now_);
    for (std::size_t to = 0; to < gateways_.size(); ++to) {
      if (to == from || gateways_[to].group != gateways_[from].group) {
        continue;
      }
      const int copies = Random(1000) < 1000 * network_.doubled ? 2 : 1;
      for (int copy = 0; copy < copies; ++copy) {
        if (Random(1000) < 1000 * network_.loss) {
          continue;
        }
        const bool is_late = Random(1000) < 1000 * network_.late;
        const Milliseconds delay(is_late ? Random(1'000) : 5 + Random(10));
        messages_.emplace(now_ + delay,
                          Message{to, std::to_string(from), gateways_[from].process, uses});
      }
    }
  }

  void Deliver() {
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      Message& message = messages_.begin()->second;
      Gateway& gateway = gateways_[message.to];
      if (gateway.is_running) {
        gateway.inbox.push_back({message.from, {message.process, std::move(message.uses)}});
      }
      messages_.erase(messages_.begin());
    }
  }

  std::mt19937_64 random_;
  std::int64_t processes_ = 0;
  std::multimap<TimePoint, Message> messages_;
  std::map<std::size_t, double> owed_;
  std::map<std::size_t, double> next_cost_ = {};
  std::deque<std::pair<TimePoint, double>> taken_;
  double in_window_ = 0;
  double ideal_ = 0;
  TimePoint ideal_at_{};
};

}  // namespace

// Guards against a limit that is exceeded while gateways join, leave, freeze, are killed at once or
// cut from each other, and reports are lost, doubled and late.
Test(workspace_limits, bound_holds_in_each_window_through_faults) {
  const bool ok = rc::check("bound", [] {
    const int gateways = *rc::gen::inRange(2, 36);
    const double rate = *rc::gen::element(29'000.0, 60'000.0, 380'000.0);
    Site site(gateways, rate, *rc::gen::arbitrary<std::uint64_t>());
    site.network_ = {*rc::gen::element(0.0, 0.02, 0.2), 0.05, *rc::gen::element(0.0, 0.02)};
    site.Run(Milliseconds(4'000), 0);
    std::string log;
    for (int phase = 0; phase < 8; ++phase) {
      const std::size_t count = site.gateways_.size();
      const int fault = *rc::gen::inRange(0, 8);
      const std::size_t some = std::min(count, static_cast<std::size_t>(*rc::gen::inRange(1, 12)));
      log += std::to_string(fault) + ":" + std::to_string(some) + " ";
      for (Site::Gateway& gateway : site.gateways_) {
        gateway.weight = 1 + site.Random(3);
      }
      if (*rc::gen::inRange(0, 2) == 0) {
        for (int hot = 0; hot < 3; ++hot) {
          site.gateways_[static_cast<std::size_t>(site.Random(static_cast<int>(count)))].weight =
              60;
        }
        log += "hot ";
      }
      switch (fault) {
        case 0:
          for (std::size_t i = 0; i < count; ++i) {
            site.Kill(i);
          }
          site.Run(Milliseconds(300), 0);
          for (std::size_t i = 0; i < count; ++i) {
            site.Start(i);
          }
          break;
        case 1:
          for (std::size_t i = 0; i < count * 35 / 100 + 1; ++i) {
            site.gateways_[(i * 7) % count].group = static_cast<int>(1 + (some % 2) * i);
          }
          break;
        case 2:
          for (Site::Gateway& gateway : site.gateways_) {
            gateway.group = 0;
          }
          break;
        case 3:
          for (std::size_t i = 0; i < some; ++i) {
            site.gateways_[i].frozen_until = site.now_ + Milliseconds(500 + 400 * some);
          }
          break;
        case 4:
          if (count < 40) {
            site.Add();
          }
          break;
        case 5:
          site.Kill(some - 1);
          break;
        case 6:
          for (std::size_t i = 0; i < count; ++i) {
            if (!site.gateways_[i].is_running || i < some) {
              site.Kill(i);
              site.Start(i);
            }
          }
          break;
        default:
          break;
      }
      const double demand = *rc::gen::element(0.3, 0.8, 3.0, 7.0);
      log += std::to_string(demand).substr(0, 3) + "; ";
      const int length = *rc::gen::inRange(300, 6'000);
      const TimePoint begin = site.now_;
      site.Run(Milliseconds(length), demand * rate);
      log += std::to_string(length) + "ms ";
      if (site.most_at_ >= begin) {
        log += "MAX+" + std::to_string((site.most_at_ - begin) / Milliseconds(1)) + " ";
      }
    }
    if (std::getenv("LIMITS_TRACE")) {
      std::fprintf(stderr, "n=%d rate=%.0f max=%.0f allowed=%.0f (%.2f) %s\n", gateways, rate,
                   site.most_in_window_, site.Allowed(), site.most_in_window_ / site.Allowed(),
                   log.c_str());
    }
    RC_ASSERT(site.most_in_window_ <= site.Allowed());
  });
  cr_assert(ok);
}

// Guards against refusals of a workspace that stays below its limit while all gateways are in
// touch.
Test(workspace_limits, below_the_limit_hardly_anything_is_refused) {
  // A run of a small limit has too few requests for a share of its own.
  std::map<double, std::pair<std::int64_t, std::int64_t>> counts;
  const bool ok = rc::check("below", [&counts] {
    const int gateways = *rc::gen::inRange(2, 41);
    const double rate = *rc::gen::element(29'000.0, 380'000.0);
    Site site(gateways, rate, *rc::gen::arbitrary<std::uint64_t>());
    for (Site::Gateway& gateway : site.gateways_) {
      gateway.weight = 1 + site.Random(8);
    }
    site.Run(Milliseconds(14'000), 0);
    site.Run(Milliseconds(20'000), *rc::gen::element(0.3, 0.6, 0.9) * rate);
    if (std::getenv("LIMITS_TRACE")) {
      std::fprintf(stderr, "n=%d rate=%.0f below=%ld refused=%ld asked=%ld\n", gateways, rate,
                   site.owed_requests_, site.refused_below_, site.asked_);
    }
    counts[rate].first += site.owed_requests_;
    counts[rate].second += site.refused_below_;
    RC_ASSERT(site.owed_requests_ < 1'000 || site.refused_below_ * 200 < site.owed_requests_);
  });
  cr_assert(ok);
  for (const auto& [rate, count] : counts) {
    cr_assert(count.second * 200 < count.first, "limit %.0f: %ld of %ld refused", rate,
              count.second, count.first);
  }
}

// Guards against a workspace that gets only the static parts of the gateways that its callers use.
Test(workspace_limits, hot_callers_of_two_gateways_get_nearly_the_limit) {
  for (const double rate : {29'000.0, 380'000.0}) {
    for (const int hot : {2, 31}) {
      Site site(31, rate, 7);
      for (std::size_t i = 0; i < site.gateways_.size(); ++i) {
        site.gateways_[i].weight = i < static_cast<std::size_t>(hot) ? 1 : 0;
      }
      site.Run(Milliseconds(14'000), 0);
      site.Run(Milliseconds(16'000), 7 * rate);
      if (std::getenv("LIMITS_TRACE")) {
        std::fprintf(stderr, "rate=%.0f hot=%d granted=%.3f max=%.2f\n", rate, hot,
                     site.granted_ / (rate * 16), site.most_in_window_ / site.Allowed());
      }
      cr_assert(site.granted_ >= 0.9 * rate * 16, "granted %.0f of %.0f", site.granted_, rate * 16);
      cr_assert(site.most_in_window_ <= site.Allowed());
    }
  }
}

// Guards against a burst that is granted again after each restart, a credit that is lost with a
// refusal, and a restarted peer whose count is subtracted or taken twice.
Test(workspace_limits, counts_follow_restarts_and_credits) {
  const std::int64_t key = core::WorkspaceKey("hot");
  const core::WorkspaceRule rule = Rule(30'000);
  TimePoint now{std::chrono::hours(1)};
  core::WorkspaceLimits limits(kTolerance, {}, now);
  limits.SetRules({&rule, 1}, now);
  const std::string peer = "p";
  // Nothing is granted before the members are known, and nothing at the start.
  cr_assert_not(limits.Take(key, 1'000, now += Milliseconds(90)).is_taken);
  limits.SetMembers({&peer, 1}, now);
  limits.Record(peer, 1, std::vector<core::WorkspaceUse>{{key, 900'000, 0}}, now);
  const core::LimitDecision early = limits.Take(key, 10'000, now);
  cr_assert_not(early.is_taken);
  cr_assert_geq(core::PlanLimit(30'000, 30'000, kTolerance).capacity, 60'000);
  const auto level = [&] { return limits.States(1, now).front().level; };
  const auto pass = [&](int steps) {
    for (int i = 0; i < steps; ++i) {
      now += Milliseconds(100);
      limits.Record(peer, 1, {}, now);
    }
  };
  pass(50);
  cr_assert_gt(level(), 60'000);
  cr_assert(limits.Take(key, 10'000, early.retry_at + Milliseconds(5'000)).is_taken);
  const double before = level();
  limits.GiveBack(key, 10'000, now);
  cr_assert_float_eq(level(), before + 10'000, 1'000);
  // The count that is reported does not fall; the next units come out of the credit.
  cr_assert_eq(limits.Report(4, false, now).front().used, 10'000);
  cr_assert(limits.Take(key, 10'000, now).is_taken);
  cr_assert(limits.Report(4, false, now).empty());
  // A late report changes nothing; a restarted peer's use counts from zero.
  const double taken = level();
  limits.Record(peer, 1, std::vector<core::WorkspaceUse>{{key, 100, 0}}, now);
  cr_assert_float_eq(level(), taken, 1);
  limits.Record(peer, 2, std::vector<core::WorkspaceUse>{{key, 7'000, 0}}, now);
  limits.Record(peer, 2, std::vector<core::WorkspaceUse>{{key, 7'000, 0}}, now);
  cr_assert_float_eq(level(), taken - 7'000, 1);
}

// Guards against a lower limit that does not bind, a workspace that pays for another one's use, and
// settings without sense that stop the process or take the limit away.
Test(workspace_limits, rules_change_and_may_be_nonsense) {
  TimePoint now{std::chrono::hours(1)};
  core::WorkspaceLimits limits(kTolerance, {}, now);
  limits.SetMembers({}, now);
  std::vector<core::WorkspaceRule> rules(4, Rule(380'000));
  rules[1].name = "other";
  rules[2].name = "negative";
  rules[2].rate_per_s = -5;
  rules[3].name = "burst only";
  rules[3].rate_per_s = 0;
  cr_assert_eq(limits.SetRules(rules, now).size(), 2);
  const auto take_for = [&](std::string_view name, Milliseconds time) {
    double taken = 0;
    for (const TimePoint end = now + time; now < end; now += Milliseconds(10)) {
      while (limits.Take(core::WorkspaceKey(name), 5'000, now).is_taken && taken < 1e8) {
        taken += 5'000;
      }
    }
    return taken;
  };
  cr_assert_gt(take_for("hot", Milliseconds(8'000)), 0.9 * 8 * 380'000);
  cr_assert_gt(take_for("other", Milliseconds(10)), 380'000);
  cr_assert_lt(take_for("negative", Milliseconds(8'000)), 130'000);
  cr_assert_geq(take_for("burst only", Milliseconds(10)), 1e8);
  cr_assert(limits.Take(core::WorkspaceKey("unknown"), 5'000, now).is_taken);
  rules[0].rate_per_s = rules[0].burst = 29'000;
  limits.SetRules(rules, now);
  cr_assert_lt(take_for("hot", Milliseconds(8'000)), 9 * 29'000 * 1.1 + 120'000);
  rules[0].rate_per_s = 1e300;
  cr_assert_eq(limits.SetRules(rules, now).size(), 3);
  cr_assert_geq(take_for("hot", Milliseconds(100)), 1e8);
}

// Guards against a gateway that wakes and uses a bucket whose state is from before its freeze, and
// against gateways that hear nobody and each use the whole limit.
Test(workspace_limits, woken_and_lonely_gateways_use_their_own_part) {
  const std::int64_t key = core::WorkspaceKey("hot");
  const core::WorkspaceRule rule = Rule(290'000);
  TimePoint now{std::chrono::hours(1)};
  core::WorkspaceLimits limits(kTolerance, {}, now);
  limits.SetRules({&rule, 1}, now);
  std::vector<std::string> peers;
  for (int i = 0; i < 28; ++i) {
    peers.push_back(std::to_string(i));
  }
  limits.SetMembers(peers, now);
  for (int step = 0; step < 100; ++step) {
    now += Milliseconds(100);
    for (const std::string& peer : peers) {
      limits.Record(peer, 1, {}, now);
    }
  }
  now += Milliseconds(8'000);
  double taken = 0;
  for (int step = 0; step < 800; ++step) {
    now += Milliseconds(10);
    while (limits.Take(key, 1'000, now).is_taken) {
      taken += 1'000;
    }
  }
  cr_assert_leq(taken, (9 * 290'000 * 1.1 + 120'000) / 29);
  cr_assert_geq(taken, 8 * 290'000 / 29);
}
