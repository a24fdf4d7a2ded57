#include "entry/active_requests.h"

#include <utility>

namespace rattanramp::entry {

std::uint64_t ActiveRequests::Add(Info info) {
  const std::lock_guard<std::mutex> lock(mutex_);
  requests_.emplace(next_ticket_, std::move(info));
  return next_ticket_++;
}

void ActiveRequests::Remove(std::uint64_t ticket) {
  const std::lock_guard<std::mutex> lock(mutex_);
  requests_.erase(ticket);
}

std::size_t ActiveRequests::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return requests_.size();
}

nlohmann::json ActiveRequests::Dump(TimePoint now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  nlohmann::json dump = nlohmann::json::array();
  for (const auto& [ticket, info] : requests_) {
    dump.push_back({{"request_id", info.request_id},
                    {"service", info.service},
                    {"kind", info.kind},
                    {"age_ms", ToMs(now - info.arrived)}});
  }
  return dump;
}

}  // namespace rattanramp::entry
