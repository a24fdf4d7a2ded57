#include "core/memory_budget.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace rattanramp::core {
namespace {

// Memory of the smallest VM (users' specification).
constexpr std::int64_t kSmallestVmBytes = 88 * 1024 * 1024;

// Parts of the budget.
constexpr std::size_t kReservePart = 4;
constexpr std::size_t kFirstInLinePart = 8;

// Room that is made beyond what is waited for, as a part of the budget.
constexpr std::size_t kRoomPart = 16;

// Descriptors for files, and for the readiness check, metrics, the store and the peers.
constexpr std::size_t kFileDescriptors = 200;
constexpr std::size_t kOwnDescriptors = 64;

// A request in progress has one connection to its caller and one to an upstream; most connections
// of callers wait for a request.
constexpr double kCallerShare = 0.75;

bool IsStalled(const MemoryHolder& holder, TimePoint now) {
  // A caller that is not read does not stall; one that does not read its answer does.
  const bool waits_for_input = holder.wanted > 0 && holder.phase != HolderPhase::kSending;
  return holder.phase != HolderPhase::kServing && !waits_for_input &&
         now - holder.progress >= kStalledTime;
}

// Bytes that all holders may have together when this one has taken `bytes` more.
std::size_t LimitFor(const MemoryBudget& budget, HolderId id, std::size_t bytes) {
  const MemoryShares& shares = budget.shares;
  if (budget.holders.at(id).total + bytes <= kSmallHolding) {
    return shares.total;
  }
  return shares.total - shares.small_reserve + (budget.first == id ? shares.first_in_line : 0);
}

bool Fits(const MemoryBudget& budget, HolderId id, std::size_t bytes) {
  return budget.used + bytes <= LimitFor(budget, id, bytes);
}

// Names a large holder first in line when it finds no room and there is none yet.
bool FitsInLine(MemoryBudget& budget, HolderId id, std::size_t bytes) {
  if (Fits(budget, id, bytes)) {
    return true;
  }
  if (budget.first || budget.holders.at(id).total + bytes <= kSmallHolding) {
    return false;
  }
  budget.first = id;
  return Fits(budget, id, bytes);
}

}  // namespace

MemoryShares SharesOf(std::int64_t memory_limit_bytes) {
  MemoryShares shares;
  const std::int64_t memory = memory_limit_bytes > 0 ? memory_limit_bytes : kSmallestVmBytes;
  shares.total = static_cast<std::size_t>(memory) / 2;
  shares.small_reserve = shares.total / kReservePart;
  shares.first_in_line = shares.total / kFirstInLinePart;
  return shares;
}

std::size_t MaxCallerConnections(std::int64_t max_descriptors, const MemoryShares& shares,
                                 std::size_t connection_bytes) {
  const std::size_t all = static_cast<std::size_t>(max_descriptors);
  const std::size_t files = std::min(kFileDescriptors, all / 4);
  const std::size_t own = std::min(kOwnDescriptors, all / 4);
  const std::size_t by_descriptors =
      static_cast<std::size_t>(kCallerShare * static_cast<double>(all - files - own));
  const std::size_t by_memory = (shares.total - shares.small_reserve) / connection_bytes;
  return std::max<std::size_t>(1, std::min(by_descriptors, by_memory));
}

HolderId AddHolder(MemoryBudget& budget, TimePoint now) {
  const HolderId id = ++budget.last_id;
  budget.holders[id].progress = now;
  return id;
}

void RemoveHolder(MemoryBudget& budget, HolderId id) {
  StopWaiting(budget, id);
  SetHeld(budget, id, {});
  budget.holders.erase(id);
}

void SetHeld(MemoryBudget& budget, HolderId id, const HeldBytes& held) {
  MemoryHolder& holder = budget.holders.at(id);
  for (std::size_t use = 0; use < kMemoryUses; ++use) {
    budget.by_use[use] += held[use] - holder.held[use];
  }
  const std::size_t total = std::accumulate(held.begin(), held.end(), std::size_t{0});
  budget.used += total - holder.total;
  holder.held = held;
  holder.total = total;
  if (budget.first == id && total <= kSmallHolding) {
    budget.first.reset();
  }
}

void SetPhase(MemoryBudget& budget, HolderId id, HolderPhase phase, TimePoint now) {
  MemoryHolder& holder = budget.holders.at(id);
  if (holder.phase != phase) {
    holder.phase = phase;
    holder.progress = now;
    holder.moved = 0;
  }
}

void RecordMoved(MemoryBudget& budget, HolderId id, std::size_t bytes, TimePoint now) {
  MemoryHolder& holder = budget.holders.at(id);
  holder.moved += bytes;
  if (holder.moved >= kLeastProgressBytes) {
    holder.moved = 0;
    holder.progress = now;
  }
}

bool MayTake(MemoryBudget& budget, HolderId id, std::size_t bytes) {
  if (FitsInLine(budget, id, bytes)) {
    return true;
  }
  MemoryHolder& holder = budget.holders.at(id);
  if (holder.wanted == 0) {
    holder.wait_number = ++budget.last_wait;
    budget.waiting[holder.wait_number] = id;
  }
  holder.wanted = std::max(holder.wanted, bytes);
  return false;
}

void StopWaiting(MemoryBudget& budget, HolderId id) {
  MemoryHolder& holder = budget.holders.at(id);
  if (holder.wanted > 0) {
    holder.wanted = 0;
    budget.waiting.erase(holder.wait_number);
  }
}

std::optional<HolderId> TakeNextInLine(MemoryBudget& budget, TimePoint now) {
  for (const auto& [number, id] : budget.waiting) {
    if (FitsInLine(budget, id, budget.holders.at(id).wanted)) {
      const HolderId next = id;
      StopWaiting(budget, next);
      budget.holders.at(next).progress = now;
      return next;
    }
  }
  return std::nullopt;
}

std::vector<HolderId> HoldersToClose(const MemoryBudget& budget, TimePoint now) {
  // The largest amount by which any holder in line lacks room.
  std::size_t lacking = 0;
  bool lacks_small = false;
  for (const auto& [number, id] : budget.waiting) {
    const std::size_t wanted = budget.holders.at(id).wanted;
    const std::size_t limit = LimitFor(budget, id, wanted);
    const std::size_t short_by = budget.used + wanted - std::min(limit, budget.used + wanted);
    lacking = std::max(lacking, short_by);
    lacks_small = lacks_small || (short_by > 0 && limit == budget.shares.total);
  }
  if (lacking == 0) {
    return {};
  }
  struct Candidate {
    bool is_idle;
    double weight;
    HolderId id;
  };
  std::vector<Candidate> candidates;
  for (const auto& [id, holder] : budget.holders) {
    const bool is_idle = holder.phase == HolderPhase::kIdle;
    if (IsStalled(holder, now) && (!is_idle || lacks_small)) {
      candidates.push_back(
          {is_idle, static_cast<double>(holder.total) * ToMs(now - holder.progress), id});
    }
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return a.is_idle != b.is_idle ? b.is_idle : a.weight > b.weight;
  });
  const std::size_t needed = lacking + budget.shares.total / kRoomPart;
  std::vector<HolderId> closed;
  std::size_t freed = 0;
  for (const Candidate& candidate : candidates) {
    if (freed >= needed) {
      break;
    }
    freed += budget.holders.at(candidate.id).total;
    closed.push_back(candidate.id);
  }
  return closed;
}

std::optional<HolderId> OldestIdle(const MemoryBudget& budget, TimePoint now) {
  std::optional<HolderId> oldest;
  std::pair<bool, TimePoint> oldest_rank;
  for (const auto& [id, holder] : budget.holders) {
    const bool is_idle = holder.phase == HolderPhase::kIdle && holder.wanted == 0;
    const std::pair rank(!is_idle, holder.progress);
    // The request of the newest connection is on its way.
    if (id != budget.last_id && (is_idle || IsStalled(holder, now)) &&
        (!oldest || rank < oldest_rank)) {
      oldest = id;
      oldest_rank = rank;
    }
  }
  return oldest;
}

}  // namespace rattanramp::core
