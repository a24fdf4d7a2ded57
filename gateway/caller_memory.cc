#include "gateway/caller_memory.h"

#include <spdlog/fmt/fmt.h>
#include <sys/resource.h>

#include <algorithm>
#include <asio/post.hpp>
#include <string>
#include <utility>

#include "base/log.h"

namespace rattanramp::gateway {
namespace {

// Shortest time between two log lines.
constexpr Milliseconds kLogInterval{1'000};

// Longest time between two calls of Tick that counts as running.
constexpr Milliseconds kLongestTurn{100};

// Bound where the system states no limit on descriptors.
constexpr std::int64_t kMostDescriptors = 1'000'000;

std::int64_t DescriptorLimit(std::int64_t max_descriptors) {
  rlimit limit = {};
  const bool is_known = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  const std::int64_t own = is_known ? static_cast<std::int64_t>(std::min<rlim_t>(
                                          limit.rlim_cur, static_cast<rlim_t>(kMostDescriptors)))
                                    : kMostDescriptors;
  return max_descriptors > 0 ? std::min(max_descriptors, own) : own;
}

}  // namespace

std::size_t CallerConnectionLimit(std::int64_t max_descriptors, const core::MemoryShares& shares) {
  return core::MaxCallerConnections(DescriptorLimit(max_descriptors), shares, kConnectionBytes);
}

CallerMemory::CallerMemory(asio::io_context& context, const Clock& clock, Metrics& metrics,
                           const core::MemoryShares& shares, std::size_t max_connections)
    : context_(context),
      clock_(clock),
      metrics_(metrics),
      running_time_(clock.now()),
      last_tick_(running_time_),
      max_connections_(max_connections) {
  budget_.shares = shares;
}

core::HolderId CallerMemory::Join(Holder& holder) {
  const core::HolderId id = core::AddHolder(budget_, running_time_);
  holders_[id] = &holder;
  return id;
}

void CallerMemory::Leave(core::HolderId id) {
  core::RemoveHolder(budget_, id);
  holders_.erase(id);
  ScheduleGrants();
}

void CallerMemory::Report(core::HolderId id, const core::HeldBytes& held, core::HolderPhase phase) {
  const std::size_t before = budget_.used;
  core::SetHeld(budget_, id, held);
  core::SetPhase(budget_, id, phase, running_time_);
  if (budget_.used < before) {
    ScheduleGrants();
  }
}

void CallerMemory::ReportMoved(core::HolderId id, std::size_t bytes) {
  core::RecordMoved(budget_, id, bytes, running_time_);
}

bool CallerMemory::MayTake(core::HolderId id, std::size_t bytes) {
  const bool may = core::MayTake(budget_, id, bytes);
  if (!may) {
    metrics_.Count("caller_memory_waits_total");
  }
  return may;
}

void CallerMemory::StopWaiting(core::HolderId id) { core::StopWaiting(budget_, id); }

std::size_t CallerMemory::max_unsent_bytes() const {
  return budget_.used > budget_.shares.total / 2 ? kMaxUnsentBytesInNeed : kMaxUnsentBytes;
}

void CallerMemory::CountRefusal() {
  ++unlogged_refused_;
  metrics_.Count("caller_memory_refusals_total");
}

void CallerMemory::CountClosed(std::string_view cause) {
  ++unlogged_closed_;
  metrics_.Count(fmt::format("caller_connections_closed_total{{cause=\"{}\"}}", cause));
}

bool CallerMemory::MakeRoomForConnection() {
  const std::optional<core::HolderId> oldest = core::OldestIdle(budget_, running_time_);
  if (!oldest || !holders_.at(*oldest)->CloseForRoom()) {
    return false;
  }
  CountClosed("connections");
  return true;
}

void CallerMemory::Tick() {
  const TimePoint now = clock_.now();
  running_time_ += std::min<Duration>(now - std::exchange(last_tick_, now), kLongestTurn);
  for (const core::HolderId id : core::HoldersToClose(budget_, running_time_)) {
    const auto found = holders_.find(id);
    if (found != holders_.end() && found->second->CloseForRoom()) {
      CountClosed("memory");
    }
  }
  if (unlogged_closed_ + unlogged_refused_ > 0 && (!logged_ || now - *logged_ >= kLogInterval)) {
    logged_ = now;
    Log(LogLevel::kWarning, "callers_exceed_memory",
        {{"closed", std::exchange(unlogged_closed_, 0)},
         {"refused", std::exchange(unlogged_refused_, 0)},
         {"connections", holders_.size()},
         {"max_connections", max_connections_},
         {"used_bytes", budget_.used},
         {"budget_bytes", budget_.shares.total},
         {"waiting", budget_.waiting.size()}});
  }
}

void CallerMemory::UpdateMetrics() {
  for (std::size_t use = 0; use < core::kMemoryUses; ++use) {
    metrics_.SetGauge(fmt::format("caller_memory_bytes{{use=\"{}\"}}", core::kMemoryUseNames[use]),
                      static_cast<double>(budget_.by_use[use]));
  }
  metrics_.SetGauge("caller_memory_budget_bytes", static_cast<double>(budget_.shares.total));
  metrics_.SetGauge("caller_connections", static_cast<double>(holders_.size()));
}

void CallerMemory::ScheduleGrants() {
  if (budget_.waiting.empty() || std::exchange(are_grants_scheduled_, true)) {
    return;
  }
  asio::post(context_, [this, lifetime = std::weak_ptr<bool>(lifetime_)] {
    if (lifetime.lock()) {
      are_grants_scheduled_ = false;
      GrantWaiting();
    }
  });
}

void CallerMemory::GrantWaiting() {
  while (const std::optional<core::HolderId> next = core::TakeNextInLine(budget_, running_time_)) {
    holders_.at(*next)->OnMemory();
  }
}

nlohmann::json CallerMemory::StateDump() const {
  nlohmann::json uses;
  for (std::size_t use = 0; use < core::kMemoryUses; ++use) {
    uses[std::string(core::kMemoryUseNames[use])] = budget_.by_use[use];
  }
  return {
      {"budget_bytes", budget_.shares.total}, {"small_reserve_bytes", budget_.shares.small_reserve},
      {"used_bytes", budget_.used},           {"by_use", uses},
      {"waiting", budget_.waiting.size()},    {"connections", holders_.size()},
      {"max_connections", max_connections_}};
}

}  // namespace rattanramp::gateway
