#include "core/workspace_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hash.h"

namespace rattanramp::core {
namespace {

// Time constant of the means of demand and use. Demand that has moved to another gateway gets its
// part within about this time.
constexpr double kMemorySeconds = 1.0;

// Part of the overshoot that the rate uses.
constexpr double kRatePart = 0.05;

// Parts of what the tolerance adds to a window that the capacity uses. The rest is for requests
// that are taken before peers know of each other's: groups that have just lost each other may each
// empty a bucket, most of which is the burst.
constexpr double kCapacityPart = 0.4;
constexpr double kMinCapacityPart = 0.1;
constexpr double kMaxCapacityPart = 0.3;
constexpr double kBurstLost = 0.8;

// Time for which peers may go on taking units before their reports arrive.
constexpr double kReserveSeconds = 0.35;

// A request that is larger than the bucket is taken when the bucket is as full as this.
constexpr double kFullShare = 0.9;

// Part of the bucket that is reported without delay.
constexpr double kNewsShare = 0.02;

// Reports repeat a workspace until it has not been asked for during this time.
constexpr Milliseconds kActiveTime{4'000};

// Start of the process during which the first report of a peer only states where its count stands.
constexpr Milliseconds kSettleTime{2'000};

// Units of a peer's first entry that count as new, as a time at its demand.
constexpr double kUnknownUseSeconds = 1.5;

// A workspace in use is reported again after this time, in case its last report was lost.
constexpr Milliseconds kRepeatTime{800};

// Bits of the hash that identifies a workspace; fewer take fewer bytes in each report.
constexpr int kKeyBits = 40;

constexpr Milliseconds kMaxRetryTime{60'000};

// Largest rate or burst; sums of them stay exact.
constexpr double kMaxLimit = 1e12;

// Largest count or demand of a peer that is used; larger ones come from a faulty peer.
constexpr std::int64_t kMaxCount = std::int64_t{1} << 53;

// Rate that takes the place of one that is negative or no number.
constexpr double kSmallestRate = 1;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double Faded(double value, TimePoint at, TimePoint now) {
  return now > at ? value * std::exp(-Seconds(now - at) / kMemorySeconds) : value;
}

/// Bounds the limits of a rule. Returns what is wrong with them.
std::optional<std::string> Bound(double& rate, double& burst) {
  if (rate == 0 && burst == 0) {
    return std::nullopt;
  }
  if (rate == 0) {
    return "a burst without rate_per_s; no limit is used, set rate_per_s";
  }
  if (!(rate > 0)) {
    rate = kSmallestRate;
    burst = 0;
    return "rate_per_s is negative or no number; 1 is used, set it to at least 0";
  }
  if (!(burst >= 0)) {
    burst = 0;
    return "burst is negative or no number; 0 is used, set it to at least 0";
  }
  if (rate > kMaxLimit || burst > kMaxLimit) {
    rate = std::min(rate, kMaxLimit);
    burst = std::min(burst, kMaxLimit);
    return "rate_per_s or burst is above 1e12; 1e12 is used, set 0 for no limit";
  }
  return std::nullopt;
}

}  // namespace

LimitPlan PlanLimit(double rate_per_s, double burst, const LimitTolerance& tolerance) {
  const double window = Seconds(tolerance.window);
  const double overshoot = std::max(0.0, tolerance.overshoot);
  const double headroom =
      overshoot * (rate_per_s * window + burst) + std::max(0.0, tolerance.slack);
  LimitPlan plan;
  plan.rate = rate_per_s * (1 + kRatePart * overshoot);
  plan.max_reserve = std::clamp(kCapacityPart * (headroom - kBurstLost * burst),
                                kMinCapacityPart * headroom, kMaxCapacityPart * headroom);
  plan.capacity = burst + plan.max_reserve;
  plan.split_capacity = burst + headroom - (plan.rate - rate_per_s) * window;
  return plan;
}

std::int64_t WorkspaceKey(std::string_view name) {
  return static_cast<std::int64_t>(Hash64(name) >> (64 - kKeyBits));
}

std::int64_t UnitsOf(const WorkspaceRule& rule, std::optional<std::int64_t> tokens) {
  if (!rule.counts_tokens) {
    return 1;
  }
  return std::max<std::int64_t>(0, tokens.value_or(rule.plain_tokens));
}

WorkspaceLimits::WorkspaceLimits(const LimitTolerance& tolerance, const SharedBoundTiming& timing,
                                 TimePoint now)
    : tolerance_(tolerance), timing_(timing), started_(now), refreshed_(now) {}

std::vector<std::string> WorkspaceLimits::SetRules(std::span<const WorkspaceRule> rules,
                                                   TimePoint now) {
  std::vector<std::string> problems;
  for (auto& [key, bucket] : buckets_) {
    Advance(bucket, now);
    bucket.is_limited = false;
  }
  for (const WorkspaceRule& rule : rules) {
    double rate = rule.rate_per_s;
    double burst = rule.burst;
    if (const std::optional<std::string> problem = Bound(rate, burst)) {
      problems.push_back(rule.name + ": " + *problem);
    }
    if (rule.counts_tokens && rule.plain_tokens < 0) {
      problems.push_back(rule.name + ": plain_tokens is negative; 0 is used, set it to at least 0");
    }
    if (rate == 0) {
      continue;
    }
    const auto [place, is_new] = buckets_.try_emplace(WorkspaceKey(rule.name));
    Bucket& bucket = place->second;
    bucket.is_limited = true;
    bucket.rate_per_s = rate;
    bucket.burst = burst;
    bucket.plan = PlanLimit(rate, burst, tolerance_);
    if (is_new) {
      bucket.name = rule.name;
      bucket.at = now;
      const auto count = ended_counts_.find(place->first);
      bucket.used = count == ended_counts_.end() ? 0 : count->second;
      SetPart(bucket);
      bucket.level = has_rules_ ? Capacity(bucket) : 0;
    }
    bucket.level = std::min(bucket.level, Capacity(bucket));
  }
  has_rules_ = true;
  std::erase_if(buckets_, [this, now](const auto& entry) {
    const auto& [key, bucket] = entry;
    const bool has_ended = !bucket.is_limited && now - bucket.last_ask > 2 * kActiveTime;
    if (has_ended) {
      ended_counts_[key] = bucket.used;
    }
    return has_ended;
  });
  const auto is_unknown = [this](std::int64_t key) { return !buckets_.contains(key); };
  std::erase_if(active_, is_unknown);
  std::erase_if(unreported_, is_unknown);
  std::erase_if(refusing_, is_unknown);
  return problems;
}

void WorkspaceLimits::SetMembers(std::span<const std::string> peers, TimePoint now) {
  Refresh(now);
  ListMembers(bound_, peers, now);
  silent_ = CountSilent(bound_);
  for (auto& [key, bucket] : buckets_) {
    Advance(bucket, now);
    SetPart(bucket);
  }
}

double WorkspaceLimits::Capacity(const Bucket& bucket) {
  return bucket.part >= 1
             ? bucket.plan.capacity
             : std::min(bucket.plan.capacity, bucket.part * bucket.plan.split_capacity);
}

void WorkspaceLimits::Advance(Bucket& bucket, TimePoint now) {
  if (now <= bucket.at) {
    return;
  }
  const double seconds = Seconds(now - bucket.at);
  bucket.at = now;
  bucket.level =
      std::min(Capacity(bucket), bucket.level + seconds * bucket.part * bucket.plan.rate);
  const double fade = std::exp(-seconds / kMemorySeconds);
  bucket.own_taken *= fade;
  // Peers have had the units that came back long ago on their accounts for too long.
  bucket.credit = static_cast<std::int64_t>(static_cast<double>(bucket.credit) * fade);
  bucket.own_demand *= fade;
  bucket.peer_demand *= fade;
}

WorkspaceLimits::MemberUse* WorkspaceLimits::Find(Bucket& bucket, std::size_t member) {
  const auto found =
      std::lower_bound(bucket.members.begin(), bucket.members.end(), member,
                       [](const MemberUse& use, std::size_t index) { return use.member < index; });
  return found != bucket.members.end() && found->member == member ? &*found : nullptr;
}

void WorkspaceLimits::Debit(Bucket& bucket, double units) {
  // A wrong count must not stop a workspace for longer than a window or so.
  bucket.level = std::max(bucket.level - units, -(8 * bucket.plan.rate + bucket.plan.capacity));
}

void WorkspaceLimits::SetPart(Bucket& bucket) const {
  if (!bound_.is_listed) {
    bucket.part = 0;
    return;
  }
  const double members = CountMembers(bound_);
  const double part = LivePart(silent_ / members + std::max(0.0, bucket.excess), members);
  if (part < bucket.part && bucket.level > 0) {
    // More than the part itself: before the silence is noticed, either side may take what the other
    // side keeps.
    const double kept = part / bucket.part;
    bucket.level *= kept * kept * kept;
  }
  bucket.part = part;
  bucket.level = std::min(bucket.level, Capacity(bucket));
}

void WorkspaceLimits::OnSilence(std::size_t member, TimePoint since) {
  for (auto& [key, bucket] : buckets_) {
    Advance(bucket, since);
    MemberUse* use = Find(bucket, member);
    if (use != nullptr && !use->is_silent) {
      const double faded = Faded(use->demand, use->at, bucket.at);
      bucket.peer_demand = std::max(0.0, bucket.peer_demand - faded);
      // Its demand when it last reported; the others' is newer.
      const double last = Faded(use->demand, use->at, bound_.members[member].last_report);
      const double all = bucket.own_demand + bucket.peer_demand + last;
      use->part = all > 0 ? bucket.part * last / all : 0;
      use->is_silent = true;
      use->set_aside = 0;
      use->excess = std::max(0.0, use->part - 1 / CountMembers(bound_));
      bucket.excess += use->excess;
      use->silent_since = std::max(since, bucket.at);
    }
    const double before = std::max(0.0, bucket.level);
    SetPart(bucket);
    (use != nullptr ? use->set_aside : bucket.set_aside) += before - std::max(0.0, bucket.level);
  }
}

void WorkspaceLimits::OnReturn(std::size_t member, TimePoint now) {
  for (auto& [key, bucket] : buckets_) {
    Advance(bucket, now);
    MemberUse* use = Find(bucket, member);
    if (use != nullptr && use->is_silent) {
      use->is_silent = false;
      bucket.excess -= std::exchange(use->excess, 0.0);
      use->set_aside =
          std::min(use->set_aside + use->part * bucket.plan.rate * Seconds(now - use->silent_since),
                   use->part * bucket.plan.capacity);
      use->demand = 0;
      use->at = now;
    }
    SetPart(bucket);
    if (use == nullptr) {
      const double share = bucket.set_aside / std::max(1.0, silent_ + 1);
      bucket.set_aside -= share;
      bucket.level = std::min(Capacity(bucket), bucket.level + share);
    }
  }
}

void WorkspaceLimits::Refresh(TimePoint now) {
  refreshed_ = std::max(refreshed_, now);
  for (const SilentMember& silent : FindSilent(bound_, timing_, now)) {
    silent_ += 1;
    OnSilence(silent.index, silent.since);
  }
  const std::vector<std::size_t> gone = ForgetGone(bound_, timing_, now);
  if (!gone.empty()) {
    silent_ = CountSilent(bound_);
    for (auto& [key, bucket] : buckets_) {
      Advance(bucket, now);
      std::erase_if(bucket.members, [&gone, &bucket = bucket](const MemberUse& use) {
        const bool is_gone = std::find(gone.begin(), gone.end(), use.member) != gone.end();
        bucket.excess -= is_gone ? use.excess : 0;
        return is_gone;
      });
      SetPart(bucket);
    }
  }
  std::erase_if(refusing_, [this, now](std::int64_t key) {
    Bucket& bucket = buckets_.at(key);
    const bool has_ceased = !bucket.is_limited || now - bucket.last_refusal > tolerance_.window;
    if (has_ceased) {
      bucket.is_refusing = false;
      events_.push_back({bucket.name, false, bucket.refused - bucket.refused_before});
    }
    return has_ceased;
  });
}

LimitDecision WorkspaceLimits::Take(std::int64_t workspace, std::int64_t units, TimePoint now) {
  // After a freeze the members count as silent, whatever the timers have missed.
  if (now - refreshed_ > kRefreshInterval) {
    Refresh(now);
  }
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end() || !found->second.is_limited) {
    return {true, now};
  }
  Bucket& bucket = found->second;
  Advance(bucket, now);
  const double cost = static_cast<double>(units);
  bucket.last_ask = now;
  bucket.own_demand += cost / kMemorySeconds;
  if (!std::exchange(bucket.is_active, true)) {
    active_.push_back(workspace);
  }
  const double all = bucket.own_demand + bucket.peer_demand;
  bucket.own_part = bucket.part * (all > 0 ? bucket.own_demand / all : 1);
  const double capacity = Capacity(bucket);
  const double reserve = std::min(bucket.peer_demand * kReserveSeconds,
                                  std::max(0.0, bucket.part * bucket.plan.max_reserve));
  // A request that would never fit is taken from a bucket that is nearly full.
  double needed = cost + reserve;
  if (needed > kFullShare * capacity && bucket.part > 0.5 &&
      cost <= bucket.plan.capacity + bucket.plan.max_reserve) {
    needed = std::min(needed, kFullShare * capacity);
  }
  // What this gateway takes in a second stays near its part, so that gateways which have just lost
  // each other do not take the whole bucket each.
  const double pace = bucket.own_part * bucket.plan.rate + (all > 0 ? bucket.own_demand / all : 1) *
                                                               std::max(0.0, bucket.level) /
                                                               kMemorySeconds;
  if (bucket.level >= needed && bucket.own_taken <= pace) {
    Debit(bucket, cost);
    bucket.own_taken += cost / kMemorySeconds;
    const std::int64_t credited = std::min(bucket.credit, units);
    bucket.credit -= credited;
    bucket.used += units - credited;
    if (bucket.unreported == 0 && units > credited) {
      unreported_.push_back(workspace);
    }
    bucket.unreported += units - credited;
    has_news_ =
        has_news_ || static_cast<double>(bucket.unreported) >= kNewsShare * bucket.plan.capacity;
    return {true, now};
  }
  ++bucket.refused;
  bucket.last_refusal = now;
  if (!std::exchange(bucket.is_refusing, true)) {
    bucket.refused_before = bucket.refused - 1;
    refusing_.push_back(workspace);
    events_.push_back({bucket.name, true, 0});
  }
  const double rate = bucket.part * bucket.plan.rate;
  double wait = Seconds(kMaxRetryTime);
  if (needed <= capacity && rate > 0) {
    wait = std::max((needed - bucket.level) / rate,
                    bucket.own_taken > pace && pace > 0
                        ? kMemorySeconds * std::log(bucket.own_taken / pace)
                        : 0.0);
  }
  return {false, now + FromSeconds(std::clamp(wait, 0.0, Seconds(kMaxRetryTime)))};
}

void WorkspaceLimits::GiveBack(std::int64_t workspace, std::int64_t units, TimePoint now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end() || !found->second.is_limited) {
    return;
  }
  Bucket& bucket = found->second;
  Advance(bucket, now);
  bucket.credit += units;
  bucket.level = std::min(Capacity(bucket), bucket.level + static_cast<double>(units));
  bucket.own_taken = std::max(0.0, bucket.own_taken - static_cast<double>(units) / kMemorySeconds);
}

void WorkspaceLimits::Record(std::string_view peer, std::int64_t process,
                             std::span<const WorkspaceUse> uses, TimePoint now) {
  if (now - refreshed_ > kRefreshInterval) {
    Refresh(now);
  }
  const bool was_member = bound_.by_name.contains(peer);
  const ReportingMember sender = RecordMemberReport(bound_, peer, process, now);
  if (sender.was_silent) {
    silent_ = CountSilent(bound_);
    OnReturn(sender.index, now);
  } else if (!was_member) {
    for (auto& [key, bucket] : buckets_) {
      Advance(bucket, now);
      SetPart(bucket);
    }
  }
  if (sender.is_restarted) {
    for (auto& [key, bucket] : buckets_) {
      if (MemberUse* use = Find(bucket, sender.index)) {
        use->used = 0;
      }
    }
  }
  for (const WorkspaceUse& use : uses) {
    RecordUse(sender, use, now);
  }
  if (sender.was_silent) {
    for (auto& [key, bucket] : buckets_) {
      if (MemberUse* use = Find(bucket, sender.index)) {
        bucket.level =
            std::min(Capacity(bucket), bucket.level + std::exchange(use->set_aside, 0.0));
      }
    }
  }
}

void WorkspaceLimits::RecordUse(const ReportingMember& sender, const WorkspaceUse& use,
                                TimePoint now) {
  const auto found = buckets_.find(use.workspace);
  if (found == buckets_.end() || use.used < 0 || use.used > kMaxCount ||
      use.demand_per_s > kMaxCount) {
    return;
  }
  Bucket& bucket = found->second;
  Advance(bucket, now);
  MemberUse* known = Find(bucket, sender.index);
  if (known == nullptr) {
    const auto place = std::lower_bound(
        bucket.members.begin(), bucket.members.end(), sender.index,
        [](const MemberUse& entry, std::size_t index) { return entry.member < index; });
    known = &*bucket.members.insert(place, MemberUse{});
    known->member = sender.index;
    known->at = now;
    // How much of the count is new is not known.
    const bool is_settling = sender.is_first && now - started_ < kSettleTime;
    const double unknown =
        is_settling ? 0 : kUnknownUseSeconds * static_cast<double>(use.demand_per_s);
    known->used =
        sender.is_restarted
            ? 0
            : use.used - std::min(use.used, static_cast<std::int64_t>(std::max(0.0, unknown)));
  }
  // A late or doubled report.
  if (use.used < known->used) {
    return;
  }
  const double units = static_cast<double>(use.used - known->used);
  known->used = use.used;
  const double covered = std::min(units, known->set_aside);
  known->set_aside -= covered;
  Debit(bucket, units - covered);
  const double demand = static_cast<double>(std::max<std::int64_t>(0, use.demand_per_s));
  bucket.peer_demand =
      std::max(0.0, bucket.peer_demand - Faded(known->demand, known->at, now)) + demand;
  known->demand = demand;
  known->at = now;
}

std::vector<WorkspaceUse> WorkspaceLimits::Report(std::size_t max_entries, bool is_complete,
                                                  TimePoint now) {
  std::vector<WorkspaceUse> uses;
  has_news_ = false;
  const auto add = [this, &uses, now](std::int64_t key) {
    Bucket& bucket = buckets_.at(key);
    Advance(bucket, now);
    bucket.unreported = 0;
    bucket.reported = now;
    uses.push_back({key, bucket.used, static_cast<std::int64_t>(bucket.own_demand)});
  };
  if (unreported_.size() > max_entries) {
    // The largest first; the others stay for the next report.
    std::nth_element(unreported_.begin(),
                     unreported_.begin() + static_cast<std::ptrdiff_t>(max_entries),
                     unreported_.end(), [this](std::int64_t a, std::int64_t b) {
                       return buckets_.at(a).unreported > buckets_.at(b).unreported;
                     });
  }
  const std::size_t news = std::min(max_entries, unreported_.size());
  for (std::size_t i = 0; i < news; ++i) {
    add(unreported_[i]);
  }
  unreported_.erase(unreported_.begin(), unreported_.begin() + static_cast<std::ptrdiff_t>(news));
  if (!is_complete) {
    return uses;
  }
  std::erase_if(active_, [this, now](std::int64_t key) {
    Bucket& bucket = buckets_.at(key);
    bucket.is_active = bucket.unreported > 0 || now - bucket.last_ask <= kActiveTime;
    return !bucket.is_active;
  });
  for (std::size_t turn = 0; turn < active_.size() && uses.size() < max_entries; ++turn) {
    next_active_ = (next_active_ + 1) % active_.size();
    const std::int64_t key = active_[next_active_];
    const Bucket& bucket = buckets_.at(key);
    if (bucket.unreported == 0 && now - bucket.reported >= kRepeatTime) {
      add(key);
    }
  }
  return uses;
}

std::vector<LimitEvent> WorkspaceLimits::TakeEvents() { return std::exchange(events_, {}); }

std::vector<LimitState> WorkspaceLimits::States(std::size_t max_entries, TimePoint now) const {
  std::vector<LimitState> states;
  for (const auto& [key, bucket] : buckets_) {
    if (states.size() >= max_entries) {
      break;
    }
    if (bucket.is_limited && (bucket.is_active || bucket.is_refusing)) {
      const double level =
          std::min(Capacity(bucket), bucket.level + std::max(0.0, Seconds(now - bucket.at)) *
                                                        bucket.part * bucket.plan.rate);
      states.push_back({bucket.name, bucket.rate_per_s, bucket.burst, bucket.used, bucket.refused,
                        level, bucket.own_part});
    }
  }
  return states;
}

Duration WorkspaceLimits::OldestKnowledge(TimePoint now) const {
  Duration oldest{};
  for (const BoundMember& member : bound_.members) {
    if (!member.name.empty() && !member.is_silent) {
      oldest = std::max(oldest, now - member.last_report);
    }
  }
  return oldest;
}

}  // namespace rattanramp::core
