// Exchange of settings between processes. The functions return the frames to send; the caller owns
// the links and sends them.
#pragma once

#include <optional>
#include <vector>

#include "base/clock.h"
#include "control/settings_replica.h"

namespace rattanramp::control {

/// Latest SettingsPull of this process, shared by all its links: a starting agent receives Hello
/// from every entry at about the same time, but needs the settings from only one of them. Used on
/// the event loop's thread only.
struct SettingsPullState {
  std::int64_t requested_version = 0;
  TimePoint requested_at{};
};

/// A pull that has not been answered is repeated after this time, possibly to another peer.
inline constexpr Milliseconds kSettingsPullTimeout{1000};

/// To be called with the settings version in each Hello and Heartbeat of a peer. Returns a
/// SettingsPull for that peer when its version is newer and no pull for that version or a newer one
/// is pending. Returns nothing for a peer with an older version: that peer sends a pull itself.
std::vector<wire::Frame> OnPeerSettingsVersion(const SettingsReplica& replica,
                                               SettingsPullState& state, std::int64_t peer_version,
                                               TimePoint now);

/// Returns the answer to a SettingsPull.
std::vector<wire::Frame> OnSettingsPull(const SettingsReplica& replica,
                                        const wire::SettingsPull& pull);

struct SettingsPushOutcome {
  /// Whether the settings of this process were updated to a newer version.
  bool updated = false;
  /// Frames to send to the peer that sent the push.
  std::vector<wire::Frame> frames;
  /// Why the push was not applied. For kNotFound, frames contains a pull that requests the missing
  /// settings; the caller logs other errors.
  std::optional<Error> error;
};

/// Applies a SettingsPush. When versions are missing between the present version and the changes of
/// the push, the returned frames contain a SettingsPull with have_version 0.
SettingsPushOutcome OnSettingsPush(SettingsReplica& replica, SettingsPullState& state,
                                   const wire::SettingsPush& push, TimePoint now);

}  // namespace rattanramp::control
