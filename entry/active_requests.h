// Requests in flight, for the state dump and the graceful shutdown.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "base/clock.h"

namespace rattanramp::entry {

/// Safe from any thread.
class ActiveRequests {
 public:
  struct Info {
    std::string request_id;
    std::string service;
    std::string kind;
    TimePoint arrived;
  };

  /// Returns a ticket for Remove.
  std::uint64_t Add(Info info);
  void Remove(std::uint64_t ticket);

  std::size_t size() const;
  nlohmann::json Dump(TimePoint now) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::uint64_t, Info> requests_;
  std::uint64_t next_ticket_ = 1;
};

/// Keeps a request in the list for its lifetime.
class ActiveRequest {
 public:
  ActiveRequest(ActiveRequests& list, ActiveRequests::Info info)
      : list_(list), ticket_(list.Add(std::move(info))) {}
  ~ActiveRequest() { list_.Remove(ticket_); }
  ActiveRequest(const ActiveRequest&) = delete;
  ActiveRequest& operator=(const ActiveRequest&) = delete;

 private:
  ActiveRequests& list_;
  std::uint64_t ticket_;
};

}  // namespace rattanramp::entry
