#include "core/deadline_queue.h"

#include <vector>

namespace rattanramp::core {

void DeadlineQueue::Push(const QueuedRequest& request) {
  const Position position{false, request.priority, request.due, request.id};
  requests_.emplace(position, request);
  positions_.emplace(request.id, position);
}

bool DeadlineQueue::Remove(std::uint64_t id) {
  const auto found = positions_.find(id);
  if (found == positions_.end()) {
    return false;
  }
  requests_.erase(found->second);
  positions_.erase(found);
  return true;
}

void DeadlineQueue::Next(TimePoint now, std::size_t limit, std::vector<std::uint64_t>& ids) {
  DemoteLate(now);
  ids.clear();
  for (const auto& [position, request] : requests_) {
    if (ids.size() == limit) {
      break;
    }
    ids.push_back(request.id);
  }
}

void DeadlineQueue::DemoteLate(TimePoint now) {
  std::vector<QueuedRequest> late;
  for (const auto& [position, request] : requests_) {
    if (!std::get<0>(position) && request.due < now) {
      late.push_back(request);
    }
  }
  for (const QueuedRequest& request : late) {
    Remove(request.id);
    const Position position{true, request.priority, request.deadline, request.id};
    requests_.emplace(position, request);
    positions_.emplace(request.id, position);
  }
}

}  // namespace rattanramp::core
