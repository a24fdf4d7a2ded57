// Requests that wait for room at the upstreams of their service.
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
  /// Starts a waiting request if there is room for it.
  using TryStart = std::function<bool()>;

  Dispatcher(asio::io_context& context, const Clock& clock);

  /// Adds a request to the line of a service; it starts after this call has returned.
  /// request.id is overwritten with the id that is returned.
  /// tokens: memory that the request will take; 0 for plain requests.
  std::uint64_t Add(const std::string& service, core::QueuedRequest request, std::int64_t tokens,
                    TryStart try_start);
  void Remove(const std::string& service, std::uint64_t id);

  /// Room may have come free at the service's upstreams.
  void Wake(const std::string& service);
  void WakeAll();

  std::size_t waiting(const std::string& service) const;
  /// Memory that the waiting requests of a service will take.
  core::WaitingTokens waiting_tokens(const std::string& service) const;
  /// The same by service, without those where nothing waits.
  std::map<std::string, core::WaitingTokens> waiting_tokens_by_service() const;

 private:
  struct Entry {
    TryStart try_start;
    std::int64_t tokens = 0;
    TimePoint due;
  };
  struct ServiceQueue {
    core::DeadlineQueue order;
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
