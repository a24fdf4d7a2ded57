// Priority queue of the work that waits at an agent. Not thread-safe.
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
  /// TakeNext skips the work before this time.
  TimePoint not_before;
  std::int64_t tokens = 0;
};

struct AgentQueue {
  std::size_t capacity = 256;
  /// The priority of patient work rises by one step for each `age_step` of waiting, so that a
  /// steady flow of impatient work cannot starve it.
  Milliseconds age_step{2000};
  std::vector<QueuedWork> items;
};

/// Adds work. Returns false when the queue is full or already contains the id.
bool Enqueue(AgentQueue& queue, QueuedWork work);

/// Whether a is served before b at time `now`. The order is by aged priority; at equal priority
/// impatient work precedes patient work. Impatient work is then ordered by deadline and patient
/// work by arrival.
bool IsServedBefore(const AgentQueue& queue, const QueuedWork& a, const QueuedWork& b,
                    TimePoint now);

/// Removes and returns the work to serve next; empty when no work is due.
std::optional<QueuedWork> TakeNext(AgentQueue& queue, TimePoint now);

/// Reinserts work that was taken but could not start, even if the queue is full.
void Requeue(AgentQueue& queue, QueuedWork work, TimePoint not_before);

/// Removes work. Returns false when the id is not queued.
bool RemoveQueued(AgentQueue& queue, const std::string& id);

/// Removes impatient work whose deadline has passed and returns its ids.
std::vector<std::string> TakeOverdue(AgentQueue& queue, TimePoint now);

std::int64_t QueuedTokens(const AgentQueue& queue);

}  // namespace rattanramp::core
