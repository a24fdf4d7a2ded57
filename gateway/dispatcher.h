// Queues requests, per service, until an upstream of the service has capacity for them.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "core/deadline_queue.h"
#include "core/placement.h"

namespace rattanramp::gateway {

class Dispatcher {
 public:
  /// Starts a queued request if an upstream has capacity for it. Returns true if the request
  /// started or needs no further try.
  using TryStart = std::function<bool()>;

  Dispatcher(asio::io_context& context, const Clock& clock);

  /// Adds a request to the queue of a service. It starts only after this call has returned.
  /// Returns the id of the request, which replaces request.id.
  /// tokens: engine memory that the request is expected to take; 0 for plain requests.
  std::uint64_t Add(const std::string& service, core::QueuedRequest request, std::int64_t tokens,
                    TryStart try_start);
  void Remove(const std::string& service, std::uint64_t id);

  /// Schedules a try of the queued requests; called when an upstream of the service may have free
  /// capacity.
  void Wake(const std::string& service);
  void WakeAll();

  std::size_t waiting(const std::string& service) const;
  /// Queued requests of all services.
  std::size_t waiting() const;
  /// Engine memory that the queued requests of a service are expected to take.
  core::WaitingTokens waiting_tokens(const std::string& service) const;
  /// The same for each service whose queued requests need memory.
  std::map<std::string, core::WaitingTokens> waiting_tokens_by_service() const;

 private:
  struct Entry {
    TryStart try_start;
    std::int64_t tokens = 0;
    TimePoint due;
  };
  struct ServiceQueue {
    core::DeadlineQueue start_order;
    std::unordered_map<std::uint64_t, Entry> entries;
    bool is_run_scheduled = false;
  };

  void Run(const std::string& service);
  core::WaitingTokens SumTokens(const ServiceQueue& queue) const;

  asio::io_context& context_;
  const Clock& clock_;
  std::map<std::string, ServiceQueue> queues_;
  std::uint64_t next_id_ = 1;
};

}  // namespace rattanramp::gateway
