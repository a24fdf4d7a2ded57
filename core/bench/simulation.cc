#include "core/bench/simulation.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "core/admission.h"
#include "core/bench/fleet.h"
#include "core/fair_queue.h"
#include "core/route.h"

namespace rattanramp::core {
namespace {

constexpr double kViewUpdateMs = 250;
constexpr double kKvLifetimeMs = 800;
constexpr int kMaxAttempts = 3;
constexpr double kCallerTimeoutFactor = 3;
TimePoint Time(double ms) {
  return TimePoint(
      std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms)));
}

struct Job {
  std::uint64_t id = 0;
  RouteRequest request;
  std::vector<std::uint32_t> excluded;
  Route route;
  double arrived = 0;
  int attempts = 0;
  double hold_until = 0;
  bool has_memory = false;
  double first_token = 0;
  double stall_at_start = 0;
};
using JobPtr = std::shared_ptr<Job>;

struct Engine {
  EngineView view;
  std::deque<JobPtr> prefills;
  bool prefilling = false;
  double link_free_at = 0;
  /// Total time for which prefill in place has stalled the decode streams.
  double stall_ms = 0;
};

struct Entry {
  std::vector<EngineView> view;
  FairQueue queue;
  std::map<std::uint64_t, JobPtr> waiting;
};

class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options) : options_(options), random_(options.seed) {
    for (const EngineView& view : fleet_.engines) {
      engines_.push_back({view, {}, false, 0, 0});
    }
  }

  SimulationResult Run() {
    for (Entry& entry : entries_) {
      UpdateView(entry);
    }
    AddArrival();
    while (events_.begin()->first <= options_.seconds * 1'000) {
      now_ = events_.begin()->first;
      events_.extract(events_.begin()).mapped()();
    }
    return result_;
  }

 private:
  void ScheduleAfter(double ms, std::function<void()> run) {
    events_.emplace(now_ + ms, std::move(run));
  }

  void UpdateView(Entry& entry) {
    entry.view.clear();
    for (const Engine& engine : engines_) {
      entry.view.push_back(engine.view);
      entry.view.back().link_queue_bytes = static_cast<std::int64_t>(
          std::max(0.0, engine.link_free_at - now_) / 1'000 * engine.view.link_bytes_per_s);
    }
    ServeQueue(entry);
    ScheduleAfter(kViewUpdateMs, [this, &entry] { UpdateView(entry); });
  }

  void AddArrival() {
    const JobPtr job = std::make_shared<Job>();
    job->id = ++result_.arrived;
    job->arrived = now_;
    job->request = MakeMixedRequest(random_);
    job->request.failure_domain = static_cast<std::uint32_t>(job->id % fleet_.domains);
    result_.impatient += job->request.patient ? 0 : 1;
    Dispatch(job, false);
    std::exponential_distribution<double> gap_ms(options_.load * kMixedCapacityPerSecond / 1'000);
    ScheduleAfter(gap_ms(random_), [this] { AddArrival(); });
  }

  /// Impatient callers disconnect after kCallerTimeoutFactor times their first-output target.
  bool HasCallerDisconnected(const Job& job) const {
    return !job.request.patient &&
           now_ - job.arrived > kCallerTimeoutFactor * job.request.first_output_target_ms;
  }

  Entry& EntryOf(const Job& job) { return entries_[job.request.failure_domain]; }

  Result<Route> Choose(Job& job) {
    job.request.excluded = job.excluded;
    const FleetView fleet{EntryOf(job).view, fleet_.one_way_ms, fleet_.domains};
    return options_.planned ? ChooseRoute(job.request, fleet, {})
                            : ChooseRouteNaive(job.request, fleet, {});
  }

  void Dispatch(const JobPtr& job, bool was_waiting) {
    const Result<Route> route = Choose(*job);
    if (!options_.planned) {
      job->route = route.value();
      return StartPrefill(job);
    }
    Entry& entry = EntryOf(*job);
    const RouteRequest& request = job->request;
    AdmissionEstimates estimates;
    estimates.has_free_memory = route.has_value();
    estimates.waiting = was_waiting ? 0 : static_cast<int>(entry.queue.size());
    estimates.first_token_ms = route ? route.value().first_token_ms : request.prompt_tokens / 20.0;
    estimates.memory_wait_ms = MemoryWaitMs(request, {entry.view, {}, 0}, estimates.waiting);
    const AdmissionDecision decision = AdmitRequest(
        {request.patient, Time(job->arrived), request.first_output_target_ms, request.seed},
        estimates, {}, Time(now_));
    if (decision.action == AdmissionAction::kRefuse) {
      ++result_.refused;
    } else if (decision.action == AdmissionAction::kWait) {
      job->excluded.clear();
      entry.waiting[job->id] = job;
      entry.queue.Push({job->id, "customer", 1, static_cast<double>(request.prompt_tokens),
                        request.patient, Time(job->arrived),
                        Time(job->arrived + request.first_output_target_ms)});
    } else if (job->route = route.value(); ReserveMemory(*job)) {
      job->hold_until = now_ + job->route.hold_ms;
      StartPrefill(job);
    } else {
      job->excluded.push_back(job->route.decode_engine);
      Dispatch(job, was_waiting);
    }
  }

  void ServeQueue(Entry& entry) {
    while (const WaitingRequest* next = entry.queue.Front(Time(now_))) {
      const JobPtr job = entry.waiting.at(next->id);
      if ((next->patient || Time(now_) <= next->deadline) && !Choose(*job)) {
        return;
      }
      entry.queue.Pop(Time(now_));
      entry.waiting.erase(job->id);
      Dispatch(job, true);
      if (entry.waiting.count(job->id) > 0) {
        return;
      }
    }
  }

  bool ReserveMemory(Job& job) {
    EngineView& decode = engines_[job.route.decode_engine].view;
    if (decode.free_pieces >= job.route.pieces && decode.running < decode.max_running) {
      SetReservation(job, true);
    }
    EntryOf(job).view[job.route.decode_engine] = decode;
    return job.has_memory;
  }

  void SetReservation(Job& job, bool reserve) {
    if (job.has_memory != reserve) {
      job.has_memory = reserve;
      EngineView& decode = engines_[job.route.decode_engine].view;
      decode.free_pieces -= reserve ? job.route.pieces : -job.route.pieces;
      decode.running += reserve ? 1 : -1;
      decode.decode_token_ms = MixedTokenMs(decode.running);
    }
  }

  void StartPrefill(const JobPtr& job) {
    Engine& engine = engines_[job->route.prefill_engine];
    for (EngineView* view : {&engine.view, &EntryOf(*job).view[job->route.prefill_engine]}) {
      view->queued_prefill_tokens += job->request.prompt_tokens;
      ++view->queued;
    }
    engine.prefills.push_back(job);
    StartNextPrefill(engine);
  }

  void StartNextPrefill(Engine& engine) {
    while (!engine.prefilling && !engine.prefills.empty()) {
      const JobPtr job = engine.prefills.front();
      engine.prefills.pop_front();
      --engine.view.queued;
      const double tokens = HasCallerDisconnected(*job) ? 0 : job->request.prompt_tokens;
      const double ms = tokens * 1'000 / engine.view.prefill_tokens_per_s;
      engine.prefilling = true;
      engine.stall_ms += engine.view.role == EngineRole::kDecode ? ms : 0;
      result_.prefill_tokens += tokens;
      ScheduleAfter(ms, [this, &engine, job, tokens] {
        engine.prefilling = false;
        engine.view.queued_prefill_tokens -= job->request.prompt_tokens;
        StartNextPrefill(engine);
        if (now_ > job->hold_until && !job->route.in_place) {
          SetReservation(*job, false);
        }
        StartTransfer(job, tokens, now_);
      });
    }
  }

  /// Reserves memory at the decode engine and starts the transfer. Retries every 20 ms until the KV
  /// cache has expired at the prefill engine; the prefill tokens are then wasted.
  void StartTransfer(const JobPtr& job, double tokens, double prefill_end) {
    if (HasCallerDisconnected(*job) || (!job->has_memory && now_ - prefill_end > kKvLifetimeMs)) {
      result_.wasted_tokens += tokens;
      SetReservation(*job, false);
      if (HasCallerDisconnected(*job)) {
        ++result_.callers_left;
      } else if (++job->attempts < kMaxAttempts) {
        Dispatch(job, false);
      } else {
        ++result_.failed;
      }
    } else if (!job->has_memory && !ReserveMemory(*job)) {
      ScheduleAfter(20, [=, this] { StartTransfer(job, tokens, prefill_end); });
    } else {
      Engine& source = engines_[job->route.prefill_engine];
      double ready = now_;
      if (!job->route.in_place) {
        ready = std::max(now_, source.link_free_at) +
                tokens * source.view.kv_bytes_per_token * 1'000 / source.view.link_bytes_per_s;
        source.link_free_at = ready;
      }
      ScheduleAfter(ready - now_, [this, job] { StartDecode(job); });
    }
  }

  void StartDecode(const JobPtr& job) {
    const Engine& engine = engines_[job->route.decode_engine];
    job->first_token = now_ + engine.view.decode_token_ms;
    job->stall_at_start = engine.stall_ms;
    ScheduleAfter(engine.view.decode_token_ms * job->request.expected_output_tokens,
                  [this, job] { EndDecode(job); });
  }

  void EndDecode(const JobPtr& job) {
    const Engine& engine = engines_[job->route.decode_engine];
    const double stalled_ms = engine.stall_ms - job->stall_at_start;
    job->stall_at_start = engine.stall_ms;
    if (stalled_ms > 0) {
      return ScheduleAfter(stalled_ms, [this, job] { EndDecode(job); });
    }
    SetReservation(*job, false);
    const RouteRequest& request = job->request;
    const double token_ms = (now_ - job->first_token) / request.expected_output_tokens;
    if (token_ms <= request.pace_target_ms &&
        job->first_token - job->arrived <= request.first_output_target_ms) {
      ++(request.patient ? result_.good_patient : result_.good_impatient);
    }
  }

  SimulationOptions options_;
  std::mt19937_64 random_;
  BenchFleet fleet_ = MakeMixedFleet();
  std::vector<Engine> engines_;
  /// One in each failure domain.
  std::vector<Entry> entries_{fleet_.domains};
  std::multimap<double, std::function<void()>> events_;
  SimulationResult result_;
  double now_ = 0;
};

}  // namespace

SimulationResult Simulate(const SimulationOptions& options) { return Simulation(options).Run(); }

}  // namespace rattanramp::core
