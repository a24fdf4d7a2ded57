// Settings messages between processes: decides what to send; the caller owns the links.
#pragma once

#include <optional>
#include <vector>

#include "base/clock.h"
#include "control/settings_replica.h"

namespace rattanramp::control {

/// The latest pull of this process. One for all its links: a booting agent hears a greeting from
/// every entry at once and needs the settings from one of them. Used on the link thread only.
struct SettingsPullState {
  std::int64_t requested_version = 0;
  TimePoint requested_at{};
};

/// A pull without an answer is repeated after this time, possibly at another peer.
inline constexpr Milliseconds kSettingsPullTimeout{1000};

/// To call with the settings version in each Hello and Heartbeat of a peer. Returns a SettingsPull
/// for that peer when it is ahead. Nothing is sent to a peer that is behind: it pulls by itself.
std::vector<wire::Frame> OnPeerSettingsVersion(const SettingsReplica& replica,
                                               SettingsPullState& state, std::int64_t peer_version,
                                               TimePoint now);

/// Answer to a SettingsPull.
std::vector<wire::Frame> OnSettingsPull(const SettingsReplica& replica,
                                        const wire::SettingsPull& pull);

struct SettingsPushOutcome {
  /// Whether the settings of this process moved to a newer version.
  bool updated = false;
  /// Frames for the peer that sent the push.
  std::vector<wire::Frame> frames;
  /// Why the push was not applied. kNotFound is handled by the frames; others are for the log.
  std::optional<Error> error;
};

/// Applies a SettingsPush. A push that does not connect to the present version is followed by a
/// pull with have_version 0.
SettingsPushOutcome OnSettingsPush(SettingsReplica& replica, SettingsPullState& state,
                                   const wire::SettingsPush& push, TimePoint now);

}  // namespace rattanramp::control
