// Copy of the settings in one process. Its version never decreases.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/result.h"
#include "settings/settings_tree.h"
#include "wire/gen-cpp/rattanramp_types.h"

namespace rattanramp::control {

/// Settings of one version; immutable.
struct VersionedSettings {
  std::int64_t version = 0;
  settings::SettingsTree tree;
};

/// All functions may be called from any thread.
class SettingsReplica {
 public:
  /// Starts with version 0 and an empty tree, which means that the process has no settings yet.
  SettingsReplica();

  std::shared_ptr<const VersionedSettings> current() const;
  std::int64_t version() const;

  /// Replaces the settings when version is newer. Returns whether they were replaced.
  bool ApplySnapshot(std::int64_t version, settings::SettingsTree tree);

  /// Applies changes or a snapshot from a peer or the platform. Older or equal versions are
  /// ignored. Returns whether the version increased. Errors: kInvalidArgument (invalid content),
  /// kNotFound (versions are missing between the present version and the changes; pull a snapshot
  /// with have_version 0).
  Result<bool> Apply(const wire::SettingsPush& push);

  /// Returns the message that updates a peer with have_version: the changes since that version, or
  /// a snapshot when they are no longer all kept or too large. Contains neither for a current peer.
  wire::SettingsPush MakePush(std::int64_t have_version) const;

  /// Returns the changes up to the present version that are still kept, oldest first.
  std::vector<wire::SettingsChange> RecentChanges() const;

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const VersionedSettings> current_;
  /// Most recent changes, oldest first, without gaps up to the present version.
  std::deque<wire::SettingsChange> changes_;
};

}  // namespace rattanramp::control
