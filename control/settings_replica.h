// Copy of the settings in one process. Moves only to newer versions.
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

/// Safe from any thread.
class SettingsReplica {
 public:
  /// Version 0 with an empty tree means that the process has no settings yet.
  SettingsReplica();

  std::shared_ptr<const VersionedSettings> current() const;
  std::int64_t version() const;

  /// Replaces the settings when version is newer. Returns whether it was applied.
  bool ApplySnapshot(std::int64_t version, settings::SettingsTree tree);

  /// Applies what a peer or the platform sent. Older or equal versions are ignored. Returns
  /// whether the settings moved. Errors: kInvalidArgument (bad content), kNotFound (changes do not
  /// connect to the present version; ask for a snapshot with have_version 0).
  Result<bool> Apply(const wire::SettingsPush& push);

  /// What a peer at have_version needs: the changes since then, or a snapshot.
  wire::SettingsPush PushFor(std::int64_t have_version) const;

  /// The changes that led to the present version and are still kept, oldest first.
  std::vector<wire::SettingsChange> RecentChanges() const;

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const VersionedSettings> current_;
  /// Most recent changes, oldest first, without gaps up to the present version.
  std::deque<wire::SettingsChange> changes_;
};

}  // namespace rattanramp::control
