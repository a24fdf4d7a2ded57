// Order in which waiting requests start. Answers the bursts in which more arrives than fits: what
// can still be on time goes first, by its due time; what is late already waits behind it, oldest
// deadline first, so that one late request does not make the next one late as well.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "base/clock.h"

namespace rattanramp::core {

struct QueuedRequest {
  std::uint64_t id = 0;
  /// Zero goes first.
  std::int64_t priority = 0;
  /// Latest start that still meets the latency target.
  TimePoint due;
  /// Latest start at which an answer is still of use.
  TimePoint deadline;
};

class DeadlineQueue {
 public:
  void Push(const QueuedRequest& request);
  bool Remove(std::uint64_t id);

  /// The ids in order of start, at most `most` of them.
  void Next(TimePoint now, std::size_t limit, std::vector<std::uint64_t>& ids);

  std::size_t size() const { return positions_.size(); }

 private:
  /// Late, priority, due time or deadline, id.
  using Position = std::tuple<bool, std::int64_t, TimePoint, std::uint64_t>;

  void DemoteLate(TimePoint now);

  std::map<Position, QueuedRequest> requests_;
  std::map<std::uint64_t, Position> positions_;
};

}  // namespace rattanramp::core
