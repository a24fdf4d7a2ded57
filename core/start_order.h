// Order in which waiting requests start when a burst exceeds the capacity: more urgent requests
// first; among them those that can still be on time; among these in fair shares between workspaces;
// within a workspace by the latest start that is on time. Late requests start after those that can
// be on time, earliest deadline first, so that one late request does not make the next one late.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace rattanramp::core {

struct QueuedRequest {
  std::uint64_t id = 0;
  /// Zero starts first.
  std::int64_t priority = 0;
  /// Latest start that still meets the latency target.
  TimePoint due;
  /// Latest start at which the answer is still useful to the caller.
  TimePoint deadline;
  /// Its workspace; empty where there are none.
  std::string workspace = {};
  /// Work that it causes, above zero, in a unit that all requests of the queue share.
  double cost = 1;
  TimePoint queued = {};
};

/// Share of the time from arrival to deadline after which a request of a less urgent level counts
/// as starved. The other half is left for its answer.
inline constexpr double kStarvedShare = 0.5;

/// While a less urgent level starves, one of this many starts goes to it.
inline constexpr std::int64_t kStartsPerStarved = 4;

/// Start-time fair queueing between the workspaces of a level: while two of them have waiting
/// requests of the same kind (on time, or late), the costs that they have started differ by at most
/// one request of each. A workspace that has the queue to itself gets all of it, and owes nothing
/// for that later.
class StartOrder {
 public:
  void Push(const QueuedRequest& request);
  /// Removes a request that will not start, for example because its caller has left.
  bool Remove(std::uint64_t id);
  /// Removes a request that starts, and charges its cost to its workspace.
  bool Start(std::uint64_t id);

  /// Writes the ids of the next requests to `ids`, in order of start and at most `limit` of them.
  /// `now` decides which requests are late.
  void Next(TimePoint now, std::size_t limit, std::vector<std::uint64_t>& ids);

  std::size_t size() const { return requests_.size(); }
  /// Waiting requests that can be on time, as of the last call of Next.
  std::size_t on_time() const { return by_due_.size(); }

 private:
  using Sequence = std::set<std::pair<TimePoint, std::uint64_t>>;
  /// Waiting requests of a workspace, by due time, and the late ones by deadline.
  struct Share {
    double tag = 0;
    Sequence on_time;
    Sequence late;
  };
  using ByTag = std::set<std::pair<double, std::string>>;
  /// The requests of one priority.
  struct Level {
    double virtual_time = 0;
    std::map<std::string, Share> shares;
    ByTag on_time;
    ByTag late;
    /// Without waiting requests, but ahead of the virtual time.
    ByTag idle;
    Sequence by_arrival;
  };
  struct Entry {
    QueuedRequest request;
    bool is_late = false;
  };

  void DemoteLate(TimePoint now);
  void Insert(const Entry& entry);
  void Erase(const Entry& entry);
  static void SetTag(Level& level, const std::string& workspace, double tag);
  static void RemoveIdleShares(Level& level);
  /// The least urgent level that starves, if it is its turn; null: none.
  const Level* StarvedLevel(TimePoint now) const;
  static void AppendNext(const std::unordered_map<std::uint64_t, Entry>& requests,
                         const Level& level, bool is_late, std::size_t limit,
                         std::vector<std::uint64_t>& ids);

  std::map<std::int64_t, Level> levels_;
  std::unordered_map<std::uint64_t, Entry> requests_;
  /// Requests that are not late.
  Sequence by_due_;
  std::int64_t starts_since_starved_ = kStartsPerStarved;
};

}  // namespace rattanramp::core
