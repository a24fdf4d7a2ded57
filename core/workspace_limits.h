// Limits of workspaces over all gateways together. Each gateway keeps a replica of each workspace's
// token bucket: its own requests are debited at once, those of its peers when they report them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "core/routing_table.h"
#include "core/shared_bound.h"

namespace rattanramp::core {

/// In each window, a workspace may use (rate * window + burst) * (1 + overshoot) + slack.
struct LimitTolerance {
  Duration window = Milliseconds(8'000);
  double overshoot = 0.1;
  /// In units of the limit.
  double slack = 0;
};

/// How a limit is kept; all in units and units per second.
struct LimitPlan {
  double rate = 0;
  /// Of the bucket while all members are live.
  double capacity = 0;
  /// What the buckets of members that do not hear each other may hold together.
  double split_capacity = 0;
  /// What is left in the bucket at most for requests that peers have not reported yet.
  double max_reserve = 0;
};

LimitPlan PlanLimit(double rate_per_s, double burst, const LimitTolerance& tolerance);

struct LimitDecision {
  bool is_taken = true;
  /// Earliest time at which the request would be taken if nothing else were.
  TimePoint retry_at;
};

/// What one gateway reports of a workspace.
struct WorkspaceUse {
  std::int64_t workspace = 0;
  /// Units taken since the start of the gateway's process; only grows.
  std::int64_t used = 0;
  /// Units that callers have asked for per second, refused ones included.
  std::int64_t demand_per_s = 0;
};

/// A workspace has begun or ceased to be refused requests.
struct LimitEvent {
  std::string workspace;
  bool is_begin = false;
  std::int64_t refused = 0;
};

struct LimitState {
  std::string workspace;
  double rate_per_s = 0;
  double burst = 0;
  std::int64_t used = 0;
  std::int64_t refused = 0;
  /// Units in the bucket, negative after an overshoot.
  double level = 0;
  /// Part of the limit that this gateway may use now.
  double own_part = 0;
};

/// Identifies a workspace between gateways.
std::int64_t WorkspaceKey(std::string_view name);

/// Units of a request. prompt_tokens, output_tokens: as the caller states them; nullopt without.
std::int64_t UnitsOf(const WorkspaceRule& rule, std::optional<std::int64_t> tokens);

class WorkspaceLimits {
 public:
  static constexpr Milliseconds kRefreshInterval{100};

  /// `now` is the start of the process: all buckets are empty then, because an earlier process may
  /// have emptied them.
  WorkspaceLimits(const LimitTolerance& tolerance, const SharedBoundTiming& timing, TimePoint now);

  /// Applies a version of the configuration. Returns one text for each limit that makes no sense,
  /// with what is used instead.
  std::vector<std::string> SetRules(std::span<const WorkspaceRule> rules, TimePoint now);
  void SetMembers(std::span<const std::string> peers, TimePoint now);
  void SetTiming(const SharedBoundTiming& timing) { timing_ = timing; }

  /// Takes the units if the limit allows it. A workspace without a limit takes any.
  LimitDecision Take(std::int64_t workspace, std::int64_t units, TimePoint now);
  /// Gives back units of a request that was refused or never sent on.
  void GiveBack(std::int64_t workspace, std::int64_t units, TimePoint now);

  /// Finds silent members; called at least every kRefreshInterval.
  void Refresh(TimePoint now);

  /// Takes over a peer's report. process: differs between two processes of one peer.
  void Record(std::string_view peer, std::int64_t process, std::span<const WorkspaceUse> uses,
              TimePoint now);

  /// Entries for a report: those with units that were not reported first. is_complete: also those
  /// that were used lately, in turn.
  std::vector<WorkspaceUse> Report(std::size_t max_entries, bool is_complete, TimePoint now);
  /// Whether units were taken that peers should know at once.
  bool has_news() const { return has_news_; }

  bool has_limits() const { return !buckets_.empty(); }

  std::vector<LimitEvent> TakeEvents();
  /// Workspaces that are in use.
  std::vector<LimitState> States(std::size_t max_entries, TimePoint now) const;
  /// Age of the oldest of the last reports of the members that are not silent.
  Duration OldestKnowledge(TimePoint now) const;
  std::int64_t silent_members() const { return static_cast<std::int64_t>(silent_); }

 private:
  struct MemberUse {
    std::size_t member = 0;
    std::int64_t used = 0;
    double demand = 0;
    TimePoint at;
    /// Set while the member is silent: its part, and the units that were set aside at the start.
    bool is_silent = false;
    double part = 0;
    /// What `part` is above an equal part.
    double excess = 0;
    double set_aside = 0;
    TimePoint silent_since;
  };
  struct Bucket {
    std::string name;
    bool is_limited = false;
    double rate_per_s = 0;
    double burst = 0;
    LimitPlan plan;
    double level = 0;
    TimePoint at;
    /// Part of the limit that belongs to this gateway and the members it hears.
    double part = 1;
    /// Sum over the silent members of what their parts are above equal ones.
    double excess = 0;
    /// Units that were set aside for silent members that have reported no use.
    double set_aside = 0;
    /// Means over kMemory, in units per second: taken here, asked here, asked at live members.
    double own_taken = 0;
    double own_demand = 0;
    double peer_demand = 0;
    double own_part = 1;
    std::int64_t used = 0;
    std::int64_t refused = 0;
    std::int64_t unreported = 0;
    /// Given back; the next units come out of these, because `used` only grows.
    std::int64_t credit = 0;
    TimePoint last_ask;
    TimePoint reported;
    bool is_active = false;
    bool is_refusing = false;
    std::int64_t refused_before = 0;
    TimePoint last_refusal;
    /// Sorted by member.
    std::vector<MemberUse> members;
  };

  static double Capacity(const Bucket& bucket);
  static void Advance(Bucket& bucket, TimePoint now);
  static MemberUse* Find(Bucket& bucket, std::size_t member);
  static void Debit(Bucket& bucket, double units);
  /// Adapts the bucket to the members that are silent now.
  void SetPart(Bucket& bucket) const;
  void OnSilence(std::size_t member, TimePoint since);
  void OnReturn(std::size_t member, TimePoint now);
  void RecordUse(const ReportingMember& sender, const WorkspaceUse& use, TimePoint now);

  LimitTolerance tolerance_;
  SharedBoundTiming timing_;
  TimePoint started_;
  TimePoint refreshed_;
  bool has_rules_ = false;
  bool has_news_ = false;
  SharedBound bound_;
  double silent_ = 0;
  std::unordered_map<std::int64_t, Bucket> buckets_;
  /// Units taken by workspaces whose limits have ended. The counts of a process only grow.
  std::unordered_map<std::int64_t, std::int64_t> ended_counts_;
  /// Workspaces that were asked for lately, and where the last complete report has ended.
  std::vector<std::int64_t> active_;
  std::size_t next_active_ = 0;
  std::vector<std::int64_t> unreported_;
  std::vector<std::int64_t> refusing_;
  std::vector<LimitEvent> events_;
};

}  // namespace rattanramp::core
