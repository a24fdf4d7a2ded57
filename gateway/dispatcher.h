// Queues requests, per service, until an upstream of the service has capacity for them.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "core/placement.h"
#include "core/queue_prospect.h"
#include "core/start_order.h"

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

  /// How long a request of the service that is late now waits for its start, after the others; see
  /// core::ExpectedLateWait.
  std::optional<Duration> ExpectedLateWait(const std::string& service) const;

  std::size_t waiting(const std::string& service) const;
  /// Those that could be on time when the queue was last tried.
  std::size_t waiting_on_time(const std::string& service) const;
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
    core::StartOrder start_order;
    std::unordered_map<std::uint64_t, Entry> entries;
    core::QueueFlow flow;
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
