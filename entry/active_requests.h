// Registry of requests in flight. Used by the state dump and by the graceful shutdown.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "base/clock.h"

namespace rattanramp::entry {

/// Thread-safe.
class ActiveRequests {
 public:
  struct Info {
    std::string request_id;
    std::string service;
    std::string kind;
    TimePoint arrived;
  };

  /// Returns the ticket to pass to Remove.
  std::uint64_t Add(Info info);
  void Remove(std::uint64_t ticket);

  std::size_t size() const;
  nlohmann::json Dump(TimePoint now) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::uint64_t, Info> requests_;
  std::uint64_t next_ticket_ = 1;
};

/// Registers a request on construction and removes it on destruction.
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
