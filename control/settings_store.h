// Settings rows in the platform's table service: updates a replica from them and commits changes to
// them.
//
// Rows: settings/head {"version"}; settings/log/<version> {"version","change_id","author",
// "at_unix_ms","operations"}; settings/snapshot {"version","tree"}; settings/changes/<change_id>
// {"version"}. One transaction writes all four rows, so each change_id gets at most one version.
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

/// Settings change that an operator requests.
struct ChangeRequest {
  /// 1 to 128 letters, digits, '.', '_' or '-'.
  std::string change_id;
  std::string author;
  /// Settings version on which the operator based the change. The change gets the next version.
  std::int64_t expected_version = 0;
  std::vector<settings::Operation> operations;
  /// An earlier request with this change_id ended without a definite answer.
  bool repeat = false;
};

/// Parses a request body. Error: kInvalidArgument.
Result<ChangeRequest> ParseChangeRequest(const std::string& body);

enum class ChangeOutcome {
  kAccepted,
  /// The settings do not have the expected version, because of another change; nothing was written.
  kConflict,
  /// The change is invalid; nothing was written.
  kInvalid,
  /// The platform was unavailable or returned an error; nothing was written.
  kNotRun,
  /// The change may or may not have been accepted. A repeated request with the same change_id
  /// determines which.
  kUnknown,
};

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kNotRun;
  /// kAccepted: version of the change. kConflict: present version.
  std::int64_t version = 0;
  /// kAccepted: the change had been accepted by an earlier request.
  bool repeated = false;
  /// kConflict: the change that got the version after the expected one, if it could be read.
  std::optional<wire::SettingsChange> winner;
  /// Set unless the outcome is kAccepted.
  Error error;
};

/// Row settings/head; both versions are 0 when it does not exist.
struct SettingsHead {
  /// Version of the settings.
  std::int64_t version = 0;
  /// Version of the row in the table service; used in the conditions of transactions.
  std::int64_t row_version = 0;
};

/// Updates the replica to the version of settings/head or a newer one. Returns settings/head.
/// Errors: those of the store, kProtocol (a row is malformed), kInvalidArgument (the settings are
/// not valid for this process).
Result<SettingsHead> CatchUp(store::PlatformStore& store, SettingsReplica& replica);

/// Commits a change and, when it is accepted, applies it to the replica.
ChangeResult CommitChange(store::PlatformStore& store, SettingsReplica& replica,
                          const ChangeRequest& request, const Clock& clock);

/// Returns the newest changes, oldest first, at most limit. Changes that the replica does not keep
/// are read from the log rows. The list is shorter when a log row cannot be read, for example while
/// the platform is unavailable.
std::vector<wire::SettingsChange> ReadHistory(store::PlatformStore& store,
                                              const SettingsReplica& replica, std::size_t limit);

}  // namespace rattanramp::control
