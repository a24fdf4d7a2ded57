// Budget of bytes for what a process holds for its callers. Decides who may take more, who waits,
// and which connections are closed first. Has no network and no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace rattanramp::core {

/// What bytes are held for.
enum class MemoryUse { kConnections, kInput, kRequests, kAnswers };
inline constexpr std::size_t kMemoryUses = 4;
inline constexpr std::array<std::string_view, kMemoryUses> kMemoryUseNames = {
    "connections", "input", "requests", "answers"};

/// Bytes that one holder has, by use.
using HeldBytes = std::array<std::size_t, kMemoryUses>;

/// A holder of up to this much is small: it may use the reserve. Requests and answers of the users'
/// callers have some KB.
inline constexpr std::size_t kSmallHolding = 48 * 1024;

/// Time without progress after which a connection counts as stalled.
inline constexpr Milliseconds kStalledTime{1'000};

/// Fewer bytes than these within kStalledTime are no progress.
inline constexpr std::size_t kLeastProgressBytes = 1024;

struct MemoryShares {
  /// Bytes for all holders together.
  std::size_t total = 0;
  /// Part that only small holders may use.
  std::size_t small_reserve = 0;
  /// Part of the reserve that one large holder may use, so that large ones which together have
  /// taken all do not wait for each other without end.
  std::size_t first_in_line = 0;
};

/// memory_limit_bytes: memory of the VM; 0: not known, then that of the smallest one of the users'
/// specification. Half of it is left for the program, its tables, answers that are being received,
/// and copies.
MemoryShares SharesOf(std::int64_t memory_limit_bytes);

/// Connections that a process keeps open to callers. Descriptors are reserved for files, the
/// readiness check, the store and upstreams. max_descriptors: of the VM, above 0.
std::size_t MaxCallerConnections(std::int64_t max_descriptors, const MemoryShares& shares,
                                 std::size_t connection_bytes);

enum class HolderPhase {
  /// No request.
  kIdle,
  /// A request is arriving.
  kReceiving,
  /// The answer is awaited, or all of it that is there has been sent.
  kServing,
  /// The caller has not read all of its answer.
  kSending,
};

using HolderId = std::uint64_t;

struct MemoryHolder {
  HeldBytes held = {};
  std::size_t total = 0;
  HolderPhase phase = HolderPhase::kIdle;
  /// Time of the last progress, and the bytes moved since.
  TimePoint progress;
  std::size_t moved = 0;
  /// Bytes that it waits for; 0: it does not wait.
  std::size_t wanted = 0;
  std::uint64_t wait_number = 0;
};

struct MemoryBudget {
  MemoryShares shares;
  std::unordered_map<HolderId, MemoryHolder> holders;
  std::size_t used = 0;
  HeldBytes by_use = {};
  /// Holders that wait, in their order.
  std::map<std::uint64_t, HolderId> waiting;
  /// The large holder that may use shares.first_in_line, until it is small again or has left.
  std::optional<HolderId> first;
  HolderId last_id = 0;
  std::uint64_t last_wait = 0;
};

HolderId AddHolder(MemoryBudget& budget, TimePoint now);
void RemoveHolder(MemoryBudget& budget, HolderId id);

/// Records what a holder has now, which may exceed what it was allowed.
void SetHeld(MemoryBudget& budget, HolderId id, const HeldBytes& held);
/// A change of the phase is progress.
void SetPhase(MemoryBudget& budget, HolderId id, HolderPhase phase, TimePoint now);
/// Records bytes that were received from or sent to the holder's caller.
void RecordMoved(MemoryBudget& budget, HolderId id, std::size_t bytes, TimePoint now);

/// Whether a holder may take `bytes` more. False: it waits until TakeNextInLine returns it.
bool MayTake(MemoryBudget& budget, HolderId id, std::size_t bytes);
void StopWaiting(MemoryBudget& budget, HolderId id);
/// Ends the wait of the holder that has waited longest among those for which there is room. Its
/// wait counts as no time without progress.
std::optional<HolderId> TakeNextInLine(MemoryBudget& budget, TimePoint now);

/// Stalled holders to be closed, so that those in line get room; empty while there is room. Those
/// that hold most for longest come first. Connections without a request come last, and only if a
/// small holder lacks room. Holders whose answer is awaited and those in line are not among them.
std::vector<HolderId> HoldersToClose(const MemoryBudget& budget, TimePoint now);

/// The holder to close when no further connection may be opened: the one that has been idle
/// longest, else the stalled one without progress for longest.
std::optional<HolderId> OldestIdle(const MemoryBudget& budget, TimePoint now);

}  // namespace rattanramp::core
