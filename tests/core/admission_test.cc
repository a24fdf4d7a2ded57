#include "core/admission.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cmath>
#include <string>
#include <vector>

#include "core/fair_queue.h"
#include "core/share_ledger.h"

using namespace rattanramp;        // NOLINT
using namespace rattanramp::core;  // NOLINT

namespace {

const TimePoint kStart{std::chrono::hours(1)};

int In(int low, int high) { return *rc::gen::inRange(low, high + 1); }

TimePoint At(int ms) { return kStart + Milliseconds(ms); }

WaitingRequest MakeWaitingRequest(std::uint64_t id, int arrived_ms, bool patient) {
  WaitingRequest request;
  request.id = id;
  request.customer = "a";
  request.patient = patient;
  request.arrived = At(arrived_ms);
  request.deadline = At(arrived_ms + 600);
  return request;
}

}  // namespace

// Guards against patient requests that are refused for lateness, impatient requests that are
// admitted although they cannot meet their target, and a retry-after that is too short. These occur
// when AdmitRequest does not follow its estimates.
Test(admission, decision_follows_the_estimates) {
  cr_assert(rc::check("decision follows the estimates", [] {
    AdmissionRequest request{In(0, 1) == 1, kStart, In(1, 10) * 100.0, 7};
    AdmissionEstimates estimates;
    estimates.has_free_memory = In(0, 1) == 1;
    estimates.first_token_ms = In(0, 1'500);
    estimates.memory_wait_ms = In(0, 1'500);
    estimates.waiting = In(0, 3);
    estimates.load = In(5, 10) / 10.0;
    estimates.customer_share = In(0, 10) / 10.0;
    estimates.fair_share = 0.5;
    AdmissionLimits limits;
    limits.max_waiting = 3;
    const int waited_ms = In(0, 300);
    const double expected =
        estimates.first_token_ms + (estimates.has_free_memory ? 0 : estimates.memory_wait_ms);
    const AdmissionDecision decision = AdmitRequest(request, estimates, limits, At(waited_ms));
    const bool refused = decision.action == AdmissionAction::kRefuse;
    RC_ASSERT(refused == (decision.reason != AdmissionReason::kNone));
    RC_ASSERT(refused == (decision.retry_after_ms > 0));
    if (request.patient) {
      RC_ASSERT(!refused || decision.reason == AdmissionReason::kQueueFull);
    } else {
      const bool late = waited_ms + expected > request.first_output_target_ms;
      RC_ASSERT(late == (decision.reason == AdmissionReason::kTooLate));
    }
    if (decision.reason == AdmissionReason::kTooLate) {
      // After retry_after_ms, the same backlog is short enough for a new request to meet its
      // target.
      RC_ASSERT(expected - decision.retry_after_ms <= request.first_output_target_ms);
    }
    if (decision.reason == AdmissionReason::kOverShare) {
      RC_ASSERT(estimates.customer_share > estimates.fair_share);
      RC_ASSERT(estimates.load >= limits.overload);
    }
    if (decision.action == AdmissionAction::kAdmit) {
      RC_ASSERT(estimates.has_free_memory && estimates.waiting == 0);
    }
  }));
}

// Guards against a wait estimate that ignores the requests queued ahead or counts engines without
// running requests.
Test(admission, memory_wait_follows_the_completion_rate) {
  std::vector<EngineView> engines(2);
  engines[0].ready = engines[1].ready = true;
  engines[0].running = 10;
  engines[0].decode_token_ms = 50;
  RouteRequest request;
  request.expected_output_tokens = 100;
  const FleetView fleet{engines, {}, 0};
  // Ten concurrent answers of 5 s each: one completes every 500 ms.
  cr_assert_float_eq(MemoryWaitMs(request, fleet, 0), 500, 1e-6);
  cr_assert_float_eq(MemoryWaitMs(request, fleet, 3), 2'000, 1e-6);
  request.model = 1;
  cr_assert(std::isinf(MemoryWaitMs(request, fleet, 0)));
}

// Guards against shares that differ from the sums over the requests in flight, because a request
// that started or finished was counted wrongly.
Test(share_ledger, equals_sums_over_requests_in_flight) {
  cr_assert(rc::check("ledger equals sums", [] {
    struct InFlight {
      int customer;
      double cost;
    };
    std::vector<InFlight> in_flight;
    ShareLedger ledger;
    for (int step = 0; step < 100; ++step) {
      if (In(0, 2) > 0 || in_flight.empty()) {
        in_flight.push_back({In(0, 3), static_cast<double>(In(1, 50))});
        const InFlight& added = in_flight.back();
        ledger.Start(std::to_string(added.customer), added.customer + 1, added.cost);
      } else {
        ledger.Finish(std::to_string(in_flight.back().customer), in_flight.back().cost);
        in_flight.pop_back();
      }
      double total = 0;
      double cost = 0;
      std::vector<double> weights = {1, 0, 0, 0};
      for (const InFlight& request : in_flight) {
        total += request.cost;
        cost += request.customer == 0 ? request.cost : 0;
        weights[static_cast<std::size_t>(request.customer)] = request.customer + 1;
      }
      RC_ASSERT(std::abs(ledger.Share("0") - (total > 0 ? cost / total : 0)) < 1e-9);
      const double sum = weights[0] + weights[1] + weights[2] + weights[3];
      RC_ASSERT(std::abs(ledger.FairShare("0", 1) - 1 / sum) < 1e-9);
    }
  }));
}

// Guards against customers that are not served in proportion to their weights at overload. The
// tolerance is the bound of start-time fair queueing: services divided by weights differ by at most
// one request of each customer.
Test(fair_queue, customers_share_by_weight) {
  cr_assert(rc::check("services follow the weights", [] {
    FairQueue queue(Milliseconds(5'000));
    constexpr double kMaxCost = 20;
    std::vector<double> weights;
    std::vector<double> served(3);
    std::uint64_t id = 0;
    const auto push = [&](std::size_t customer) {
      WaitingRequest request = MakeWaitingRequest(++id, 0, In(0, 1) == 1);
      request.customer = std::to_string(customer);
      request.weight = weights[customer];
      request.cost = In(1, static_cast<int>(kMaxCost));
      queue.Push(request);
    };
    for (std::size_t customer = 0; customer < 3; ++customer) {
      weights.push_back(In(1, 8));
      push(customer);
      push(customer);
    }
    for (int step = 0; step < 300; ++step) {
      const WaitingRequest next = queue.Pop(At(step * 10)).value();
      const std::size_t customer = std::stoul(next.customer);
      served[customer] += next.cost;
      push(customer);
      for (std::size_t other = 0; other < 3; ++other) {
        RC_ASSERT(std::abs(served[customer] / weights[customer] - served[other] / weights[other]) <=
                  kMaxCost / weights[customer] + kMaxCost / weights[other] + 1e-9);
      }
    }
  }));
}

// Guards against patient work that is never served because impatient work arrives faster than it is
// served.
Test(fair_queue, patient_work_is_not_starved) {
  FairQueue queue(Milliseconds(5'000));
  queue.Push(MakeWaitingRequest(1, 0, true));
  int served_at = -1;
  for (int ms = 0; ms < 20'000 && served_at < 0; ms += 10) {
    // Two arrivals for each service: the impatient backlog never empties.
    queue.Push(MakeWaitingRequest(static_cast<std::uint64_t>(ms) + 2, ms, false));
    queue.Push(MakeWaitingRequest(static_cast<std::uint64_t>(ms) + 3, ms, false));
    if (queue.Pop(At(ms)).value().id == 1) {
      served_at = ms;
    }
  }
  cr_assert_geq(served_at, 0);
  cr_assert_leq(served_at, 5'000);
}

// Guards against requests that are lost, served twice or served out of order. Every operation is
// compared with a linear search over a list.
Test(fair_queue, equals_linear_search) {
  cr_assert(rc::check("queue equals linear search", [] {
    const Duration aging = Milliseconds(In(0, 3'000));
    FairQueue queue(aging);
    std::vector<WaitingRequest> waiting;
    for (int step = 0; step < 120; ++step) {
      const TimePoint now = At(step * 20);
      const int action = In(0, 4);
      if (action < 3) {
        WaitingRequest request =
            MakeWaitingRequest(static_cast<std::uint64_t>(step), step * 20, In(0, 1) == 1);
        request.deadline = now + Milliseconds(In(1, 2'000));
        queue.Push(request);
        waiting.push_back(request);
      } else if (action == 3 && !waiting.empty()) {
        const std::size_t at =
            static_cast<std::size_t>(In(0, static_cast<int>(waiting.size()) - 1));
        RC_ASSERT(queue.Remove(waiting[at].id));
        RC_ASSERT(!queue.Remove(waiting[at].id));
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(at));
      } else {
        const auto due = [&](const WaitingRequest& request) {
          const TimePoint aged = request.arrived + aging;
          if (request.patient) {
            return aged;
          }
          return request.deadline < now ? std::max(aged, request.deadline) : request.deadline;
        };
        const std::optional<WaitingRequest> next = queue.Pop(now);
        RC_ASSERT(next.has_value() == !waiting.empty());
        if (!next) {
          continue;
        }
        std::size_t found = waiting.size();
        for (std::size_t i = 0; i < waiting.size(); ++i) {
          RC_ASSERT(due(*next) <= due(waiting[i]));
          found = waiting[i].id == next->id ? i : found;
        }
        RC_ASSERT(found < waiting.size());
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(found));
      }
      RC_ASSERT(queue.size() == waiting.size());
    }
  }));
}

// Guards against a customer that is served ahead of the others after an idle time because its
// unused share was saved up.
Test(fair_queue, idle_customers_gain_no_credit) {
  FairQueue queue(Milliseconds(5'000));
  std::uint64_t id = 0;
  const auto push = [&](const char* customer) {
    WaitingRequest request = MakeWaitingRequest(++id, 0, true);
    request.customer = customer;
    queue.Push(request);
  };
  for (int i = 0; i < 100; ++i) {
    push("a");
  }
  for (int i = 0; i < 50; ++i) {
    queue.Pop(kStart);
  }
  for (int i = 0; i < 50; ++i) {
    push("b");
  }
  int served_b = 0;
  for (int i = 0; i < 20; ++i) {
    served_b += queue.Pop(kStart).value().customer == "b" ? 1 : 0;
  }
  cr_assert_geq(served_b, 9);
  cr_assert_leq(served_b, 11);
}
