// Settings rows in the platform's table service: reading what a replica lacks and committing a
// change.
//
// Rows: settings/head {"version"}; settings/log/<version> {"version","change_id","author",
// "at_unix_ms","operations"}; settings/snapshot {"version","tree"}; settings/changes/<change_id>
// {"version"}. One transaction writes all four, so each change_id gets at most one version.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "control/settings_replica.h"
#include "settings/settings_tree.h"
#include "store/platform_store.h"

namespace rattanramp::control {

/// Change that an operator asks for.
struct ChangeRequest {
  /// 1 to 128 letters, digits, '.', '_' or '-'.
  std::string change_id;
  std::string author;
  /// Version that the operator has seen; the change becomes the next one.
  std::int64_t expected_version = 0;
  std::vector<settings::Operation> operations;
  /// An earlier request with this change_id ended without a definite answer.
  bool repeat = false;
};

/// Reads a request body. Error: kInvalidArgument.
Result<ChangeRequest> ParseChangeRequest(const std::string& body);

enum class ChangeOutcome {
  kAccepted,
  /// Another change took the expected version; nothing was written.
  kConflict,
  /// The change is wrong; nothing was written.
  kInvalid,
  /// The platform could not be asked; nothing was written.
  kNotRun,
  /// The change may or may not have been accepted. A repeat with the same change_id tells.
  kUnknown,
};

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kNotRun;
  /// kAccepted: version of the change. kConflict: present version.
  std::int64_t version = 0;
  /// kAccepted: the change had been accepted by an earlier request.
  bool repeated = false;
  /// kConflict: the change that has the version after the expected one, when it can be read.
  std::optional<wire::SettingsChange> winner;
  /// Set unless the outcome is kAccepted.
  Error error;
};

/// Row settings/head; both versions are 0 when it does not exist.
struct SettingsHead {
  /// Version of the settings.
  std::int64_t version = 0;
  /// Version that the table service gives the row; used in conditions.
  std::int64_t row_version = 0;
};

/// Brings the replica at least to the version of settings/head, which is returned. Errors: those of
/// the store, kProtocol (a row is malformed), kInvalidArgument (the settings are not valid here).
Result<SettingsHead> CatchUp(store::PlatformStore& store, SettingsReplica& replica);

/// Commits a change and moves the replica to it.
ChangeResult CommitChange(store::PlatformStore& store, SettingsReplica& replica,
                          const ChangeRequest& request, const Clock& clock);

/// The newest changes, oldest first, at most limit. Read from the replica and, as far as it does
/// not have them, from the log. Stops early when the platform is down.
std::vector<wire::SettingsChange> ReadHistory(store::PlatformStore& store,
                                              const SettingsReplica& replica, std::size_t limit);

}  // namespace rattanramp::control
