// Lets one process read the platform's list of upstreams for all. After each read it tells the
// others what has changed, and a digest of the whole list; a process whose own view then has the
// same digest need not read. No process depends on another: each reads by itself when its view is
// older than the interval that it would read at alone.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "core/upstream_directory.h"

namespace rattanramp::core {

/// The list as it was last read, by this process or a peer.
struct ListView {
  std::map<std::string, UpstreamInfo, std::less<>> upstreams;
  /// Sum of the hashes of the entries.
  std::uint64_t digest = 0;
  /// The store's clock at the read, in ms; 0: nothing has been read.
  std::int64_t read_clock_ms = 0;
};

/// What a process found when it read the list.
struct ListNews {
  std::int64_t read_clock_ms = 0;
  std::uint64_t digest = 0;
  /// Entries that are new or have changed since the process's previous view.
  std::vector<UpstreamInfo> changed;
  std::vector<std::string> removed;
};

/// Entries that one announcement may send to all peers together. An entry takes about 110 bytes, so
/// that the announcement takes at most 0.1 s of the users' smallest links (20 Mbit/s); datagrams
/// beyond the capacity of a link are lost.
inline constexpr std::size_t kNewsEntryBudget = 2'200;

/// Whether a process announces what it has read. Not if the news are too large for the number of
/// peers, which then read by themselves, and not if a peer has announced a newer read than the
/// process's previous view: it has read only because it could not use that announcement.
/// heard_clock_ms: latest read_clock_ms of all news that arrived; 0: none.
bool MayAnnounce(const ListNews& news, std::int64_t previous_clock_ms, std::int64_t heard_clock_ms,
                 std::size_t peers);

/// News that are older when they arrive are not used: this process or the network was delayed. A
/// list of 3,000 entries takes about a second to read on the users' smallest VMs.
inline constexpr Milliseconds kMaxNewsAge{2'000};

/// Replaces the view by a list that was read from the store, and returns the news about it.
ListNews RecordRead(ListView& view, std::span<const UpstreamInfo> list, std::int64_t read_clock_ms);

/// Updates the view. Returns false, and changes nothing, when the news are older than the view or
/// the digest shows that the view lacks a change that the news do not contain.
bool ApplyNews(ListView& view, const ListNews& news);

std::vector<UpstreamInfo> Entries(const ListView& view);

/// The store's clock as seen from this process. Responses take time, so the latest offset that was
/// seen is the most exact.
struct StoreClock {
  std::optional<std::int64_t> offset_ms;
};

/// clock_ms: the clock in a response that arrived at `now`; 0: it had none.
void ObserveStoreClock(StoreClock& clock, std::int64_t clock_ms, TimePoint now);

/// Own time at which the store's clock showed `clock_ms`; empty while no response has arrived.
std::optional<TimePoint> OwnTimeOf(const StoreClock& clock, std::int64_t clock_ms);

/// Age of the view at which this process reads the list: between kEarliestShare of `interval` and
/// all of it, different for each process and read. The first process that reads spares the others
/// their read. Without peers it is `interval`.
Duration ReadAge(Duration interval, std::string_view own_name, std::int64_t read_clock_ms,
                 std::size_t peers);

/// Leaves two fifths of the interval for others to read in place of one that has failed.
inline constexpr double kEarliestShare = 0.6;

}  // namespace rattanramp::core
