#include "gateway/dispatcher.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>
#include <vector>

namespace rattanramp::gateway {
namespace {

// Number of requests at the head of a queue that are tried. A smaller request can start before one
// ahead of it that does not fit yet; a higher limit would let small requests starve large ones.
constexpr std::size_t kMaxCandidates = 3;

}  // namespace

Dispatcher::Dispatcher(asio::io_context& context, const Clock& clock)
    : context_(context), clock_(clock) {}

std::uint64_t Dispatcher::Add(const std::string& service, core::QueuedRequest request,
                              std::int64_t tokens, TryStart try_start) {
  request.id = next_id_++;
  request.queued = clock_.now();
  request.cost = static_cast<double>(std::max<std::int64_t>(1, tokens));
  ServiceQueue& queue = queues_[service];
  queue.start_order.Push(request);
  core::RecordArrival(queue.flow, request.queued);
  queue.entries[request.id] = {std::move(try_start), tokens, request.due};
  Wake(service);
  return request.id;
}

void Dispatcher::Remove(const std::string& service, std::uint64_t id) {
  ServiceQueue& queue = queues_[service];
  queue.start_order.Remove(id);
  queue.entries.erase(id);
}

void Dispatcher::Wake(const std::string& service) {
  const auto queue = queues_.find(service);
  if (queue == queues_.end() || queue->second.is_run_scheduled || queue->second.entries.empty()) {
    return;
  }
  queue->second.is_run_scheduled = true;
  asio::post(context_, [this, service] { Run(service); });
}

void Dispatcher::WakeAll() {
  for (const auto& [service, queue] : queues_) {
    Wake(service);
  }
}

std::optional<Duration> Dispatcher::ExpectedLateWait(const std::string& service) const {
  const auto found = queues_.find(service);
  if (found == queues_.end() || found->second.entries.empty()) {
    return Duration(0);
  }
  const core::StartOrder& order = found->second.start_order;
  const core::QueueAhead ahead{order.on_time(), order.size() - order.on_time() - 1};
  return core::ExpectedLateWait(found->second.flow, ahead, clock_.now());
}

std::size_t Dispatcher::waiting(const std::string& service) const {
  const auto queue = queues_.find(service);
  return queue == queues_.end() ? 0 : queue->second.entries.size();
}

std::size_t Dispatcher::waiting_on_time(const std::string& service) const {
  const auto queue = queues_.find(service);
  return queue == queues_.end() ? 0 : queue->second.start_order.on_time();
}

std::size_t Dispatcher::waiting() const {
  std::size_t count = 0;
  for (const auto& [service, queue] : queues_) {
    count += queue.entries.size();
  }
  return count;
}

core::WaitingTokens Dispatcher::SumTokens(const ServiceQueue& queue) const {
  core::WaitingTokens sum;
  const TimePoint now = clock_.now();
  for (const auto& [id, entry] : queue.entries) {
    (entry.due < now ? sum.late : sum.on_time) += entry.tokens;
  }
  return sum;
}

core::WaitingTokens Dispatcher::waiting_tokens(const std::string& service) const {
  const auto queue = queues_.find(service);
  return queue == queues_.end() ? core::WaitingTokens() : SumTokens(queue->second);
}

std::map<std::string, core::WaitingTokens> Dispatcher::waiting_tokens_by_service() const {
  std::map<std::string, core::WaitingTokens> tokens;
  for (const auto& [service, queue] : queues_) {
    const core::WaitingTokens sum = SumTokens(queue);
    if (sum.on_time > 0 || sum.late > 0) {
      tokens[service] = sum;
    }
  }
  return tokens;
}

void Dispatcher::Run(const std::string& service) {
  ServiceQueue& queue = queues_[service];
  queue.is_run_scheduled = false;
  std::vector<std::uint64_t> ids;
  bool has_started = true;
  while (has_started) {
    has_started = false;
    queue.start_order.Next(clock_.now(), kMaxCandidates, ids);
    for (const std::uint64_t id : ids) {
      const auto entry = queue.entries.find(id);
      if (entry == queue.entries.end()) {
        continue;
      }
      const TryStart try_start = entry->second.try_start;
      if (try_start()) {
        queue.start_order.Start(id);
        core::RecordStart(queue.flow, clock_.now());
        queue.entries.erase(id);
        has_started = true;
        break;
      }
    }
  }
}

}  // namespace rattanramp::gateway
