// The upstreams that are in service, kept from snapshots of the platform's list.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"

namespace rattanramp::core {

enum class UpstreamStage { kPlain, kPrefill, kDecode };

struct UpstreamInfo {
  /// Name of the running process; a restart mostly changes it.
  std::string id;
  std::string service;
  std::string failure_domain;
  std::string address;
  std::uint16_t port = 0;
  UpstreamStage stage = UpstreamStage::kPlain;
  std::int64_t slots = 0;
  /// Takes no new requests and will exit.
  bool is_draining = false;
  /// Unix ms of the start of the process; tells incarnations with the same id apart. 0: unknown.
  std::int64_t started_unix_ms = 0;

  bool operator==(const UpstreamInfo&) const = default;
};

/// What a snapshot changed.
struct DirectoryChange {
  std::vector<UpstreamInfo> added;
  /// Same id, other contents; a new start time means a new incarnation.
  std::vector<UpstreamInfo> updated;
  std::vector<UpstreamInfo> removed;
};

/// How long upstreams that are missing from the list stay in use after the list could not be read:
/// live upstreams need up to 2 s to register again (users' letter), plus one poll.
inline constexpr Duration kReregistrationTime = Milliseconds(2'300);

/// A list that was not read for this long counts as having been away, also when no read failed (a
/// frozen VM makes none): entries expire after three missed heartbeats of 1.2 s at the least.
inline constexpr Duration kOutageThreshold = Milliseconds(3'400);

struct UpstreamDirectory {
  std::map<std::string, UpstreamInfo, std::less<>> upstreams;
  TimePoint last_read;
  /// Until then missing upstreams are kept.
  TimePoint keep_missing_until;
  bool has_read = false;
};

/// Takes over a list that was read at `now`. A missing upstream is removed at once, unless the list
/// was away until shortly before; then it is removed when it is still missing after
/// kReregistrationTime. has_failed: a read has failed since the last list.
DirectoryChange ApplySnapshot(UpstreamDirectory& directory, std::span<const UpstreamInfo> snapshot,
                              bool has_failed, TimePoint now);

}  // namespace rattanramp::core
