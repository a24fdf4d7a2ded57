// Order in which waiting requests start when a burst exceeds the capacity. Requests that can still
// be on time start first, by due time. Late requests start after them, earliest deadline first, so
// that one late request does not make the next one late as well.
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
  /// Zero starts first.
  std::int64_t priority = 0;
  /// Latest start that still meets the latency target.
  TimePoint due;
  /// Latest start at which the answer is still useful to the caller.
  TimePoint deadline;
};

class DeadlineQueue {
 public:
  void Push(const QueuedRequest& request);
  bool Remove(std::uint64_t id);

  /// Writes the ids of the next requests to `ids`, in order of start and at most `limit` of them.
  /// `now` decides which requests are late.
  void Next(TimePoint now, std::size_t limit, std::vector<std::uint64_t>& ids);

  std::size_t size() const { return positions_.size(); }

 private:
  /// Sort key: whether the request is late, priority, due time (deadline if late), id.
  using Position = std::tuple<bool, std::int64_t, TimePoint, std::uint64_t>;

  void DemoteLate(TimePoint now);

  std::map<Position, QueuedRequest> requests_;
  std::map<std::uint64_t, Position> positions_;
};

}  // namespace rattanramp::core
