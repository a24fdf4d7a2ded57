// Order of service of work that waits at an agent. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace rattanramp::core {

struct QueuedWork {
  std::string id;
  /// Smaller is served first.
  std::int32_t priority = 0;
  /// Patient work is not dropped at its deadline.
  bool patient = false;
  TimePoint deadline;
  TimePoint arrived;
  /// The work is not taken before this time.
  TimePoint not_before;
  std::int64_t tokens = 0;
};

struct AgentQueue {
  std::size_t capacity = 256;
  /// Patient work gains one priority step for each such time that it has waited, so that a steady
  /// flow of impatient work cannot starve it.
  Milliseconds age_step{2000};
  std::vector<QueuedWork> items;
};

/// False when the queue is full or has the id already.
bool Enqueue(AgentQueue& queue, QueuedWork work);

/// Whether a is served before b at this time: by aged priority, then impatient work by deadline,
/// then patient work by arrival.
bool IsServedBefore(const AgentQueue& queue, const QueuedWork& a, const QueuedWork& b,
                    TimePoint now);

/// Removes and returns the next work.
std::optional<QueuedWork> TakeNext(AgentQueue& queue, TimePoint now);

/// Puts work back that was taken but could not start, regardless of the capacity.
void Requeue(AgentQueue& queue, QueuedWork work, TimePoint not_before);

/// False when the id is not queued.
bool RemoveQueued(AgentQueue& queue, const std::string& id);

/// Removes impatient work whose deadline has passed and returns its ids.
std::vector<std::string> TakeOverdue(AgentQueue& queue, TimePoint now);

std::int64_t QueuedTokens(const AgentQueue& queue);

}  // namespace rattanramp::core
