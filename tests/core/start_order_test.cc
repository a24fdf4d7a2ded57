#include "core/start_order.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <vector>

#include "core/queue_prospect.h"
#include "core/service_time.h"

using namespace rattanramp;
using core::QueuedRequest;
using core::StartOrder;

namespace {

std::uint64_t StartNext(StartOrder& order, TimePoint now) {
  std::vector<std::uint64_t> ids;
  order.Next(now, 1, ids);
  if (ids.empty()) {
    return 0;
  }
  order.Start(ids.front());
  return ids.front();
}

}  // namespace

// Load pattern: a burst at a deployment without workspaces. Guards against any other order than by
// slack: by the latest start that is on time, then the late ones by deadline.
Test(start_order, one_workspace_is_served_by_slack) {
  cr_assert(rc::check([] {
    StartOrder order;
    std::vector<QueuedRequest> waiting;
    const int count = *rc::gen::inRange(1, 30);
    for (int i = 0; i < count; ++i) {
      QueuedRequest request;
      request.id = static_cast<std::uint64_t>(i + 1);
      request.due = TimePoint{} + Milliseconds(*rc::gen::inRange(0, 500));
      request.deadline = request.due + Milliseconds(*rc::gen::inRange(100, 2'000));
      request.cost = *rc::gen::inRange(1, 9'000);
      waiting.push_back(request);
      order.Push(request);
    }
    TimePoint now{};
    while (!waiting.empty()) {
      now += Milliseconds(*rc::gen::inRange(0, 60));
      const auto key = [now](const QueuedRequest& request) {
        const bool is_late = request.due < now;
        return std::tuple(is_late, is_late ? request.deadline : request.due, request.id);
      };
      const auto first = std::min_element(
          waiting.begin(), waiting.end(),
          [&](const QueuedRequest& a, const QueuedRequest& b) { return key(a) < key(b); });
      RC_ASSERT(StartNext(order, now) == first->id);
      waiting.erase(first);
    }
    RC_ASSERT(order.size() == 0u);
  }));
}

// Load pattern: one workspace at many times its usual, beside quiet ones, in a gateway without room
// for all. Guards against quiet workspaces waiting for the hot one's burst, and against callers
// that leave the queue changing what the others get.
Test(start_order, hot_workspace_pays_for_its_own_burst) {
  cr_assert(rc::check([] {
    StartOrder order;
    const TimePoint now{};
    const int workspaces = *rc::gen::inRange(2, 8);
    const double largest = *rc::gen::inRange(1, 20);
    std::uint64_t id = 0;
    std::map<std::uint64_t, QueuedRequest> requests;
    std::vector<std::uint64_t> left;
    const auto push = [&](const std::string& workspace) {
      QueuedRequest request;
      request.id = ++id;
      request.workspace = workspace;
      request.cost = *rc::gen::inRange(1, static_cast<int>(largest) + 1);
      request.due = now + Milliseconds(*rc::gen::inRange(0, 900));
      request.deadline = now + Milliseconds(5'000);
      requests[request.id] = request;
      order.Push(request);
      return request.id;
    };
    for (int i = 0; i < 400; ++i) {
      push("hot");
    }
    for (int w = 1; w < workspaces; ++w) {
      for (int i = 0; i < 60; ++i) {
        push("quiet" + std::to_string(w));
        left.push_back(push("quiet" + std::to_string(w)));
      }
    }
    for (const std::uint64_t gone : left) {
      order.Remove(gone);
    }
    std::map<std::string, double> served;
    for (int i = 0; i < 50 * workspaces / 2; ++i) {
      const QueuedRequest& request = requests[StartNext(order, now)];
      served[request.workspace] += request.cost;
    }
    const auto order_by_cost = [](const auto& a, const auto& b) { return a.second < b.second; };
    const auto [least, most] = std::minmax_element(served.begin(), served.end(), order_by_cost);
    if (static_cast<int>(served.size()) == workspaces) {
      RC_ASSERT(most->second - least->second <= 2 * largest);
    } else {
      RC_ASSERT(most->second <= 2 * largest);
    }
    // Idle room goes to whoever asks.
    while (StartNext(order, now) != 0) {
    }
    RC_ASSERT(order.size() == 0u);
  }));
}

// Load pattern: urgent requests alone exceed the capacity for longer than the others can wait.
// Guards against less urgent requests that pass while urgent ones could start, and against ones
// that never start.
Test(start_order, less_urgent_requests_wait_but_do_not_starve) {
  StartOrder order;
  TimePoint now{};
  std::uint64_t id = 0;
  std::map<std::uint64_t, std::int64_t> priorities;
  std::vector<std::int64_t> started_after_a_second(2);
  for (int step = 0; step < 2'000; ++step, now += Milliseconds(1)) {
    for (const std::int64_t priority : {0, 1}) {
      if (step % 10 == 0) {
        QueuedRequest request{++id, priority, now + Milliseconds(500), now + Milliseconds(2'000)};
        request.queued = now;
        priorities[id] = priority;
        order.Push(request);
      }
    }
    if (step % 12 == 0) {
      const std::int64_t priority = priorities[StartNext(order, now)];
      cr_assert(now > TimePoint{} + Milliseconds(1'000) || priority == 0);
      started_after_a_second[static_cast<std::size_t>(priority)] += step >= 1'000;
    }
  }
  cr_assert_geq(started_after_a_second[1], 15);
  cr_assert_geq(started_after_a_second[0], 3 * (started_after_a_second[1] - 1));
}

// Load pattern: a burst in which upstreams become slower, and a service that nobody has asked for a
// while. Guards against requests that start too late to be on time, and against an old estimate.
Test(service_time, plans_for_what_requests_take_now) {
  cr_assert(rc::check([] {
    core::ServiceTime service;
    TimePoint now{};
    const Duration target = Milliseconds(300);
    RC_ASSERT(core::PlannedServiceTime(service, target, now) == Milliseconds(120));
    const int usual = *rc::gen::inRange(10, 140);
    for (int i = 0; i < 60; ++i) {
      now += Milliseconds(20);
      core::RecordServiceTime(service, Milliseconds(usual + (i % 2 == 0 ? 5 : -5)), now);
    }
    const double planned = ToMs(core::PlannedServiceTime(service, target, now));
    RC_ASSERT(planned > usual - 5);
    RC_ASSERT(planned < usual + 25);
    for (int i = 0; i < 30; ++i) {
      now += Milliseconds(20);
      core::RecordServiceTime(service, Milliseconds(2'000), now);
    }
    RC_ASSERT(ToMs(core::PlannedServiceTime(service, target, now)) <= 240.001);
    RC_ASSERT(ToMs(core::PlannedServiceTime(service, target, now)) > 200);
    now += Milliseconds(200'000);
    RC_ASSERT(std::abs(ToMs(core::PlannedServiceTime(service, target, now)) - 120) < 1);
  }));
}

// Load pattern: a burst above the capacity that ends. Guards against holding late requests that
// never start while the burst lasts, and against refusing those that start soon after it.
Test(queue_prospect, late_requests_wait_only_while_there_is_room_for_them) {
  cr_assert(rc::check([] {
    core::QueueFlow flow;
    TimePoint now{};
    const int arrive_every = *rc::gen::inRange(1, 4);
    const int start_every = arrive_every + *rc::gen::inRange(1, 4);
    for (int ms = 0; ms < 3'000; ++ms, now += Milliseconds(1)) {
      if (ms % arrive_every == 0) {
        core::RecordArrival(flow, now);
      }
      if (ms % start_every == 0) {
        core::RecordStart(flow, now);
      }
    }
    RC_ASSERT(!core::ExpectedLateWait(flow, {50, 100}, now).has_value());
    RC_ASSERT(core::ExpectedLateWait(flow, {0, 0}, now) == Duration(0));
    for (int ms = 0; ms < 3'000; ++ms, now += Milliseconds(1)) {
      if (ms % start_every == 0) {
        core::RecordStart(flow, now);
      }
    }
    const std::optional<Duration> wait = core::ExpectedLateWait(flow, {50, 100}, now);
    RC_ASSERT(wait.has_value());
    RC_ASSERT(ToMs(*wait) > 100.0 * start_every);
    RC_ASSERT(ToMs(*wait) < 200.0 * start_every);
    // While no upstream is there, the rates say nothing.
    now += Milliseconds(20'000);
    RC_ASSERT(core::ExpectedLateWait(flow, {50, 100}, now) == Duration(0));
  }));
}

// Load pattern: callers that were refused in a burst come back. Guards against returns that are a
// burst themselves or come after their caller has given up, and against returned requests that take
// the places of those that can be on time.
Test(queue_prospect, refused_callers_come_back_late_and_spread_out) {
  cr_assert(rc::check([] {
    const int left_ms = *rc::gen::inRange(30, 15'000);
    const double fraction = *rc::gen::inRange(0, 1'000) / 1'000.0;
    const Milliseconds retry = core::RetryAfterBurst(Milliseconds(left_ms), fraction);
    RC_ASSERT(retry.count() <= left_ms / 3);
    RC_ASSERT(retry.count() >= left_ms / 6 - 1);
    core::StatedPatience patience;
    for (int i = 0; i < 100; ++i) {
      core::RecordPatience(patience, *rc::gen::inRange(2'550, 3'000));
    }
    RC_ASSERT(!core::RecordPatience(patience, 2'800));
    RC_ASSERT(core::RecordPatience(patience, 1'900));
  }));
  cr_assert_eq(core::RetryAfterBurst(Milliseconds(-5), 0).count(), 0);
}
