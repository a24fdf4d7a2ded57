#include "core/start_order.h"

#include <algorithm>

namespace rattanramp::core {

void StartOrder::Push(const QueuedRequest& request) {
  const auto [entry, is_new] = requests_.emplace(request.id, Entry{request, false});
  if (!is_new) {
    return;
  }
  Level& level = levels_[request.priority];
  level.by_arrival.emplace(request.queued, request.id);
  by_due_.emplace(request.due, request.id);
  const Share& share = level.shares[request.workspace];
  if (share.on_time.empty()) {
    // A workspace gains nothing from the time in which it had no request that could be on time.
    level.idle.erase({share.tag, request.workspace});
    SetTag(level, request.workspace, std::max(share.tag, level.virtual_time));
  }
  Insert(entry->second);
}

bool StartOrder::Remove(std::uint64_t id) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end()) {
    return false;
  }
  const QueuedRequest& request = entry->second.request;
  const auto level = levels_.find(request.priority);
  Erase(entry->second);
  by_due_.erase({request.due, id});
  level->second.by_arrival.erase({request.queued, id});
  const Share& share = level->second.shares.find(request.workspace)->second;
  if (share.on_time.empty() && share.late.empty()) {
    level->second.idle.emplace(share.tag, request.workspace);
    RemoveIdleShares(level->second);
  }
  if (level->second.by_arrival.empty()) {
    // Nobody waits, so nobody has been passed over: the shares start anew.
    levels_.erase(level);
  }
  requests_.erase(entry);
  return true;
}

bool StartOrder::Start(std::uint64_t id) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end()) {
    return false;
  }
  const QueuedRequest& request = entry->second.request;
  const auto first_level = levels_.begin();
  starts_since_starved_ =
      request.priority == first_level->first ? starts_since_starved_ + 1 : std::int64_t{0};
  Level& level = levels_.find(request.priority)->second;
  const double tag = level.shares.find(request.workspace)->second.tag;
  level.virtual_time = std::max(level.virtual_time, tag);
  SetTag(level, request.workspace, tag + std::max(0.0, request.cost));
  return Remove(id);
}

void StartOrder::Next(TimePoint now, std::size_t limit, std::vector<std::uint64_t>& ids) {
  DemoteLate(now);
  ids.clear();
  const Level* starved = StarvedLevel(now);
  if (starved != nullptr && limit > 0) {
    AppendNext(requests_, *starved, false, 1, ids);
    AppendNext(requests_, *starved, true, 1, ids);
  }
  const std::size_t lifted = ids.size();
  for (const auto& [priority, level] : levels_) {
    AppendNext(requests_, level, false, limit, ids);
    AppendNext(requests_, level, true, limit, ids);
    if (ids.size() >= limit) {
      break;
    }
  }
  if (lifted > 0) {
    const auto again = std::find(ids.begin() + 1, ids.end(), ids.front());
    if (again != ids.end()) {
      ids.erase(again);
    }
  }
}

const StartOrder::Level* StartOrder::StarvedLevel(TimePoint now) const {
  if (levels_.size() < 2 || starts_since_starved_ < kStartsPerStarved - 1) {
    return nullptr;
  }
  for (auto level = levels_.rbegin(); level != std::prev(levels_.rend()); ++level) {
    const auto& [queued, id] = *level->second.by_arrival.begin();
    const Duration patience = requests_.find(id)->second.request.deadline - queued;
    if (ToMs(now - queued) >= kStarvedShare * ToMs(patience)) {
      return &level->second;
    }
  }
  return nullptr;
}

void StartOrder::AppendNext(const std::unordered_map<std::uint64_t, Entry>& requests,
                            const Level& level, bool is_late, std::size_t limit,
                            std::vector<std::uint64_t>& ids) {
  struct Head {
    double tag = 0;
    Sequence::const_iterator next;
    Sequence::const_iterator end;
  };
  std::vector<Head> heads;
  for (const auto& [tag, workspace] : is_late ? level.late : level.on_time) {
    if (heads.size() + ids.size() >= limit) {
      break;
    }
    const Share& share = level.shares.find(workspace)->second;
    const Sequence& sequence = is_late ? share.late : share.on_time;
    heads.push_back({tag, sequence.begin(), sequence.end()});
  }
  while (ids.size() < limit && !heads.empty()) {
    const auto first = std::min_element(heads.begin(), heads.end(),
                                        [](const Head& a, const Head& b) { return a.tag < b.tag; });
    ids.push_back(first->next->second);
    first->tag += requests.find(first->next->second)->second.request.cost;
    if (++first->next == first->end) {
      heads.erase(first);
    }
  }
}

void StartOrder::DemoteLate(TimePoint now) {
  while (!by_due_.empty() && by_due_.begin()->first < now) {
    Entry& entry = requests_.find(by_due_.begin()->second)->second;
    by_due_.erase(by_due_.begin());
    Erase(entry);
    entry.is_late = true;
    Insert(entry);
  }
}

void StartOrder::Insert(const Entry& entry) {
  const QueuedRequest& request = entry.request;
  Level& level = levels_.find(request.priority)->second;
  Share& share = level.shares.find(request.workspace)->second;
  if (entry.is_late) {
    share.late.emplace(request.deadline, request.id);
    level.late.emplace(share.tag, request.workspace);
  } else {
    share.on_time.emplace(request.due, request.id);
    level.on_time.emplace(share.tag, request.workspace);
  }
}

void StartOrder::Erase(const Entry& entry) {
  const QueuedRequest& request = entry.request;
  Level& level = levels_.find(request.priority)->second;
  Share& share = level.shares.find(request.workspace)->second;
  Sequence& sequence = entry.is_late ? share.late : share.on_time;
  sequence.erase({entry.is_late ? request.deadline : request.due, request.id});
  if (sequence.empty()) {
    (entry.is_late ? level.late : level.on_time).erase({share.tag, request.workspace});
  }
}

void StartOrder::SetTag(Level& level, const std::string& workspace, double tag) {
  Share& share = level.shares.find(workspace)->second;
  for (ByTag* by_tag : {&level.on_time, &level.late}) {
    if (by_tag->erase({share.tag, workspace}) > 0) {
      by_tag->emplace(tag, workspace);
    }
  }
  share.tag = tag;
}

void StartOrder::RemoveIdleShares(Level& level) {
  while (!level.idle.empty() && level.idle.begin()->first <= level.virtual_time) {
    level.shares.erase(level.idle.begin()->second);
    level.idle.erase(level.idle.begin());
  }
}

}  // namespace rattanramp::core
