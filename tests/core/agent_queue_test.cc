#include "core/agent_queue.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>

using namespace rattanramp;        // NOLINT
using namespace rattanramp::core;  // NOLINT

namespace {

// Uses a fixed size, because rapidcheck otherwise narrows the ranges in the first cases and rare
// steps are hardly ever generated.
int In(int low, int high) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high + 1));
}
TimePoint At(int ms) { return TimePoint(Milliseconds(ms)); }

QueuedWork RandomWork(int number, int now) {
  QueuedWork work;
  work.id = "w" + std::to_string(number);
  work.priority = In(0, 3);
  work.patient = In(0, 1) == 1;
  work.arrived = At(now);
  // Unique deadlines, so that the order is total.
  work.deadline = At(now + In(1, 4000) * 1000 + number);
  work.not_before = At(now + (In(0, 4) == 0 ? In(1, 3000) : 0));
  work.tokens = In(1, 1000);
  return work;
}

/// Sort key that follows the documented order of IsServedBefore.
std::tuple<std::int64_t, bool, std::int64_t> Key(const QueuedWork& work, int now, int age_step) {
  const std::int64_t arrived =
      std::chrono::duration_cast<Milliseconds>(work.arrived.time_since_epoch()).count();
  const std::int64_t deadline =
      std::chrono::duration_cast<Milliseconds>(work.deadline.time_since_epoch()).count();
  const std::int64_t steps = work.patient ? (now - arrived) / age_step : 0;
  return {work.priority - steps, work.patient, work.patient ? arrived : deadline};
}

}  // namespace

// Guards against work that is served out of order, lost, taken twice or kept beyond its deadline.
// Random operations are compared with a search over a plain map.
Test(agent_queue, equals_naive_model) {
  cr_assert(rc::check("queue equals the naive model", [] {
    AgentQueue queue;
    queue.capacity = 10;
    const int age_step = static_cast<int>(queue.age_step.count());
    std::map<std::string, QueuedWork> naive;
    int now = 0;
    for (int step = 0; step < 150; ++step) {
      now += In(1, 900);
      switch (In(0, 4)) {
        case 0:
        case 1: {
          const QueuedWork work = RandomWork(step, now);
          RC_ASSERT(Enqueue(queue, work) == (naive.size() < queue.capacity));
          if (naive.size() < queue.capacity) {
            naive[work.id] = work;
          }
          break;
        }
        case 2: {
          const QueuedWork* best = nullptr;
          for (const auto& [id, work] : naive) {
            if (work.not_before <= At(now) &&
                (best == nullptr || Key(work, now, age_step) < Key(*best, now, age_step))) {
              best = &work;
            }
          }
          const std::optional<QueuedWork> taken = TakeNext(queue, At(now));
          RC_ASSERT(taken.has_value() == (best != nullptr));
          if (best != nullptr) {
            RC_ASSERT(Key(*taken, now, age_step) == Key(*best, now, age_step));
            naive.erase(taken->id);
          }
          break;
        }
        case 3: {
          std::vector<std::string> late;
          for (const auto& [id, work] : naive) {
            if (!work.patient && work.deadline <= At(now)) {
              late.push_back(id);
            }
          }
          std::vector<std::string> taken = TakeOverdue(queue, At(now));
          std::sort(taken.begin(), taken.end());
          RC_ASSERT(taken == late);
          for (const std::string& id : late) {
            naive.erase(id);
          }
          break;
        }
        default:
          if (!naive.empty()) {
            const std::string id = naive.begin()->first;
            RC_ASSERT(RemoveQueued(queue, id));
            RC_ASSERT(!RemoveQueued(queue, id));
            naive.erase(id);
          }
          break;
      }
      std::int64_t tokens = 0;
      for (const auto& [id, work] : naive) {
        tokens += work.tokens;
      }
      RC_ASSERT(QueuedTokens(queue) == tokens);
    }
  }));
}

// Guards against patient work that is never served because impatient work of higher priority keeps
// arriving.
Test(agent_queue, patient_work_is_served_within_a_bound) {
  AgentQueue queue;
  QueuedWork patient;
  patient.id = "patient";
  patient.priority = 3;
  patient.patient = true;
  patient.arrived = patient.not_before = At(0);
  cr_assert(Enqueue(queue, patient));
  for (int now = 0; now <= 10'000; now += 100) {
    QueuedWork work;
    work.id = std::to_string(now);
    work.arrived = work.not_before = At(now);
    work.deadline = At(now + 600);
    cr_assert(Enqueue(queue, work));
    const std::optional<QueuedWork> taken = TakeNext(queue, At(now));
    cr_assert(taken.has_value());
    if (taken->id == "patient") {
      return;
    }
  }
  cr_assert_fail("patient work was not served");
}
