// Directory of the upstreams in service, updated from snapshots of the platform's list.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"

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
};

/// Time for which upstreams that are missing from the list are kept after an outage of the list.
/// Running upstreams need up to 2 s to register again (users' documentation), plus one poll.
inline constexpr Duration kReregistrationTime = Milliseconds(2'300);

/// A longer time between two reads counts as an outage of the list, even if no read has failed: a
/// frozen VM sends no reads. Entries expire after three missed heartbeats of at least 1.2 s.
inline constexpr Duration kOutageThreshold = Milliseconds(3'400);

struct UpstreamDirectory {
  std::map<std::string, UpstreamInfo, std::less<>> upstreams;
  TimePoint last_read;
  /// Until this time, upstreams that are missing from the list are kept.
  TimePoint keep_missing_until;
  bool has_read = false;
};

/// Updates the directory from a list that was read at `now`. Upstreams that are missing from the
/// list are removed at once. After an outage of the list they are removed if they are still missing
/// when kReregistrationTime has passed. `has_failed`: a read has failed since the last list was
/// read.
DirectoryChange ApplySnapshot(UpstreamDirectory& directory, std::span<const UpstreamInfo> snapshot,
                              bool has_failed, TimePoint now);

/// Records that a list was read at `now` that equals the directory. Returns false when a snapshot
/// must be applied instead: after an outage, or while missing upstreams are kept.
bool ConfirmDirectory(UpstreamDirectory& directory, std::size_t listed, TimePoint now);

}  // namespace rattanramp::core
