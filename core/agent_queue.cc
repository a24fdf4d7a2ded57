#include "core/agent_queue.h"

#include <algorithm>
#include <utility>

namespace rattanramp::core {
namespace {

std::int64_t AgedPriority(const AgentQueue& queue, const QueuedWork& work, TimePoint now) {
  if (!work.patient || queue.age_step.count() <= 0) {
    return work.priority;
  }
  return work.priority - (now - work.arrived) / Duration(queue.age_step);
}

}  // namespace

bool Enqueue(AgentQueue& queue, QueuedWork work) {
  const bool known = std::any_of(queue.items.begin(), queue.items.end(),
                                 [&work](const QueuedWork& item) { return item.id == work.id; });
  if (known || queue.items.size() >= queue.capacity) {
    return false;
  }
  queue.items.push_back(std::move(work));
  return true;
}

bool IsServedBefore(const AgentQueue& queue, const QueuedWork& a, const QueuedWork& b,
                    TimePoint now) {
  const std::int64_t a_priority = AgedPriority(queue, a, now);
  const std::int64_t b_priority = AgedPriority(queue, b, now);
  if (a_priority != b_priority) {
    return a_priority < b_priority;
  }
  if (a.patient != b.patient) {
    return b.patient;
  }
  return a.patient ? a.arrived < b.arrived : a.deadline < b.deadline;
}

std::optional<QueuedWork> TakeNext(AgentQueue& queue, TimePoint now) {
  std::vector<QueuedWork>::iterator best = queue.items.end();
  for (std::vector<QueuedWork>::iterator item = queue.items.begin(); item != queue.items.end();
       ++item) {
    if (item->not_before > now) {
      continue;
    }
    if (best == queue.items.end() || IsServedBefore(queue, *item, *best, now)) {
      best = item;
    }
  }
  if (best == queue.items.end()) {
    return std::nullopt;
  }
  std::optional<QueuedWork> work(std::move(*best));
  queue.items.erase(best);
  return work;
}

void Requeue(AgentQueue& queue, QueuedWork work, TimePoint not_before) {
  work.not_before = not_before;
  queue.items.push_back(std::move(work));
}

bool RemoveQueued(AgentQueue& queue, const std::string& id) {
  return std::erase_if(queue.items, [&id](const QueuedWork& item) { return item.id == id; }) > 0;
}

std::vector<std::string> TakeOverdue(AgentQueue& queue, TimePoint now) {
  std::vector<std::string> overdue;
  std::erase_if(queue.items, [&overdue, now](const QueuedWork& item) {
    const bool late = !item.patient && item.deadline <= now;
    if (late) {
      overdue.push_back(item.id);
    }
    return late;
  });
  return overdue;
}

std::int64_t QueuedTokens(const AgentQueue& queue) {
  std::int64_t tokens = 0;
  for (const QueuedWork& item : queue.items) {
    tokens += item.tokens;
  }
  return tokens;
}

}  // namespace rattanramp::core
