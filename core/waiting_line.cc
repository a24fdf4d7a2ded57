#include "core/waiting_line.h"

#include <vector>

namespace rattanramp::core {

void WaitingLine::Push(const Waiting& waiting) {
  const Place place{false, waiting.priority, waiting.due, waiting.id};
  line_.emplace(place, waiting);
  places_.emplace(waiting.id, place);
}

bool WaitingLine::Remove(std::uint64_t id) {
  const auto found = places_.find(id);
  if (found == places_.end()) {
    return false;
  }
  line_.erase(found->second);
  places_.erase(found);
  return true;
}

void WaitingLine::Next(TimePoint now, std::size_t most, std::vector<std::uint64_t>& ids) {
  DemoteLate(now);
  ids.clear();
  for (const auto& [place, waiting] : line_) {
    if (ids.size() == most) {
      break;
    }
    ids.push_back(waiting.id);
  }
}

void WaitingLine::DemoteLate(TimePoint now) {
  std::vector<Waiting> late;
  for (const auto& [place, waiting] : line_) {
    if (!std::get<0>(place) && waiting.due < now) {
      late.push_back(waiting);
    }
  }
  for (const Waiting& waiting : late) {
    Remove(waiting.id);
    const Place place{true, waiting.priority, waiting.deadline, waiting.id};
    line_.emplace(place, waiting);
    places_.emplace(waiting.id, place);
  }
}

}  // namespace rattanramp::core
