// Directory of the upstreams in service, updated from snapshots of the platform's list.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"
#include "core/store_contact.h"

namespace rattanramp::core {

enum class UpstreamStage { kPlain, kPrefill, kDecode };

struct UpstreamInfo {
  /// Name of the running process; in most cases a restart changes it.
  std::string id;
  std::string service;
  std::string failure_domain;
  std::string address;
  std::uint16_t port = 0;
  UpstreamStage stage = UpstreamStage::kPlain;
  std::int64_t slots = 0;
  /// The upstream accepts no new requests and will exit.
  bool is_draining = false;
  /// Start time of the process in Unix ms; distinguishes incarnations with the same id. 0: unknown.
  std::int64_t started_unix_ms = 0;

  bool operator==(const UpstreamInfo&) const = default;
};

/// Changes that a snapshot made to the directory.
struct DirectoryChange {
  std::vector<UpstreamInfo> added;
  /// Upstreams with a known id and changed fields; a new start time means a new incarnation.
  std::vector<UpstreamInfo> updated;
  std::vector<UpstreamInfo> removed;
  /// Upstreams that are newly missing from the list and are kept for now.
  std::vector<UpstreamInfo> missing;
};

/// Time after an outage of the list for which upstreams that are missing from it are kept. Running
/// upstreams need up to 2 s to register again (users' documentation). The end of an outage is seen
/// within 0.5 s, so that an upstream that has left gets no requests 3 s after it.
inline constexpr Duration kReregistrationTime = Milliseconds(2'300);

/// A longer time between two views counts as an outage of the list, even if no read has failed: a
/// frozen VM sends no reads. Entries expire after three missed heartbeats of at least 1.2 s.
inline constexpr Duration kOutageThreshold = Milliseconds(3'400);

/// An outage that is at least this long prolongs the time for which upstreams are kept that were
/// missing before it: they could not register meanwhile. Single refused calls do not.
inline constexpr Duration kMinRepeatedOutage = Milliseconds(1'000);

struct UpstreamDirectory {
  std::map<std::string, UpstreamInfo, std::less<>> upstreams;
  /// Upstreams that are missing from the list and are kept, and until when.
  std::map<std::string, TimePoint, std::less<>> missing;
  TimePoint last_read;
  /// Upstreams that are found missing before this time are kept until then.
  TimePoint keep_missing_until;
  bool has_read = false;
};

/// Updates the directory from a list as it was at `now`. Upstreams that are missing from the list
/// are removed at once. After an outage of the list they are removed by the first list that still
/// lacks them when kReregistrationTime has passed.
DirectoryChange ApplySnapshot(UpstreamDirectory& directory, std::span<const UpstreamInfo> snapshot,
                              const ListInterruption& interruption, TimePoint now);

/// Records that a list as it was at `now` equals the directory. Returns false when a snapshot must
/// be applied instead: after an outage, or while missing upstreams are kept.
bool ConfirmDirectory(UpstreamDirectory& directory, std::size_t listed, TimePoint now);

/// When the list must be read to remove the upstreams that are then still missing; empty: none is.
std::optional<TimePoint> NextRemoval(const UpstreamDirectory& directory);

}  // namespace rattanramp::core
