#include "control/settings_store.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/bounded_json.h"

namespace rattanramp::control {
namespace {

using nlohmann::json;

constexpr const char* kHeadKey = "settings/head";
constexpr const char* kSnapshotKey = "settings/snapshot";
constexpr std::size_t kMaxChangeIdBytes = 128;
constexpr std::size_t kMaxAuthorBytes = 256;
/// Upper bound of the log rows read for one update. A replica that lacks more versions reads the
/// snapshot instead.
constexpr std::int64_t kMaxLogReads = 32;
/// Upper bound of the snapshot size. A snapshot is sent in one frame, which has at most
/// wire::kMaxFrameBytes.
constexpr std::size_t kMaxSnapshotBytes = 4 * 1024 * 1024;
/// Upper bound of the commits sent for one request, including those after a lost reply.
constexpr int kMaxCommitAttempts = 3;

std::string LogKey(std::int64_t version) { return fmt::format("settings/log/{}", version); }

std::string ChangeKey(const std::string& change_id) { return "settings/changes/" + change_id; }

Error MalformedRowError(const std::string& key) {
  return {ErrorKind::kProtocol, fmt::format("platform row {} is malformed", key),
          "restore the row from the settings log"};
}

Result<std::int64_t> ParseVersion(const store::Row& row) {
  const json parsed = ParseBoundedJson(row.value).value_or(json());
  if (!parsed.is_object() || !parsed.contains("version") ||
      !parsed["version"].is_number_integer()) {
    return MalformedRowError(row.key);
  }
  return parsed["version"].get<std::int64_t>();
}

json ChangeToRow(const wire::SettingsChange& change) {
  return {{"version", change.version},
          {"change_id", change.change_id},
          {"author", change.author},
          {"at_unix_ms", change.at_unix_ms},
          {"operations", json::parse(change.operations_json, nullptr, false)}};
}

Result<wire::SettingsChange> ParseChangeRow(const store::Row& row) {
  const json parsed = ParseBoundedJson(row.value).value_or(json());
  const bool valid = parsed.is_object() && parsed.contains("operations") &&
                     parsed.value("version", json()).is_number_integer() &&
                     parsed.value("at_unix_ms", json()).is_number_integer() &&
                     parsed.value("change_id", json()).is_string() &&
                     parsed.value("author", json()).is_string();
  if (!valid) {
    return MalformedRowError(row.key);
  }
  wire::SettingsChange change;
  change.version = parsed["version"].get<std::int64_t>();
  change.change_id = parsed["change_id"].get<std::string>();
  change.author = parsed["author"].get<std::string>();
  change.at_unix_ms = parsed["at_unix_ms"].get<std::int64_t>();
  change.operations_json = parsed["operations"].dump();
  return change;
}

Result<std::optional<wire::SettingsChange>> ReadLog(store::PlatformStore& store,
                                                    std::int64_t version) {
  BOOST_OUTCOME_TRY(row, store.Read(LogKey(version)));
  if (!row) {
    return std::optional<wire::SettingsChange>();
  }
  BOOST_OUTCOME_TRY(change, ParseChangeRow(*row));
  return std::optional<wire::SettingsChange>(std::move(change));
}

/// Returns the version of the change with this change_id; empty when it has not been accepted.
Result<std::optional<std::int64_t>> ReadChangeVersion(store::PlatformStore& store,
                                                      const std::string& change_id) {
  BOOST_OUTCOME_TRY(row, store.Read(ChangeKey(change_id)));
  if (!row) {
    return std::optional<std::int64_t>();
  }
  BOOST_OUTCOME_TRY(version, ParseVersion(*row));
  return std::optional<std::int64_t>(version);
}

Result<void> ApplySnapshotRow(store::PlatformStore& store, SettingsReplica& replica) {
  BOOST_OUTCOME_TRY(row, store.Read(kSnapshotKey));
  const json parsed = row ? ParseBoundedJson(row->value).value_or(json()) : json();
  if (!row || !parsed.is_object() || !parsed.contains("tree")) {
    return MalformedRowError(kSnapshotKey);
  }
  BOOST_OUTCOME_TRY(version, ParseVersion(*row));
  BOOST_OUTCOME_TRY(
      tree, settings::SettingsTree::FromJson(parsed["tree"], settings::TreeCheck::kReplicated));
  replica.ApplySnapshot(version, std::move(tree));
  return Success();
}

/// Updates the replica to head from log rows. Returns false when a row is missing or malformed or
/// cannot be applied; the snapshot is needed then.
Result<bool> ApplyLogRows(store::PlatformStore& store, SettingsReplica& replica,
                          std::int64_t head) {
  wire::SettingsPush push;
  push.version = head;
  for (std::int64_t version = replica.version() + 1; version <= head; ++version) {
    Result<std::optional<wire::SettingsChange>> change = ReadLog(store, version);
    if (!change && change.error().kind != ErrorKind::kProtocol) {
      return change.error();
    }
    if (!change || !change.value()) {
      return false;
    }
    push.changes.push_back(std::move(*change.value()));
  }
  return replica.Apply(push).has_value();
}

ChangeResult MakeErrorResult(ChangeOutcome outcome, Error error) {
  ChangeResult result;
  result.outcome = outcome;
  result.error = std::move(error);
  return result;
}

ChangeResult MakeUnknownResult(const ChangeRequest& request, const std::string& detail) {
  return MakeErrorResult(
      ChangeOutcome::kUnknown,
      {ErrorKind::kReplyLost, "it is not known whether the change was accepted: " + detail,
       "repeat the request with change_id " + request.change_id + " and \"repeat\": true"});
}

/// Result when the platform failed before this request wrote anything. The outcome of a repeat is
/// still kUnknown, because an earlier request may have been accepted.
ChangeResult MakeNotCommittedResult(const ChangeRequest& request, const Error& error) {
  if (request.repeat) {
    return MakeUnknownResult(request, error.message);
  }
  const bool unavailable =
      error.kind == ErrorKind::kUnavailable || error.kind == ErrorKind::kReplyLost;
  return MakeErrorResult(
      ChangeOutcome::kNotRun,
      {error.kind, "nothing was changed: " + error.message,
       unavailable ? "repeat the request when the platform is available again" : error.remedy});
}

/// Result of a request whose change_id was already accepted with this version. logged is the change
/// in the log, if it is available.
ChangeResult MakeRepeatResult(const ChangeRequest& request, std::int64_t version,
                              const std::optional<wire::SettingsChange>& logged) {
  if (logged && json::parse(logged->operations_json, nullptr, false) !=
                    settings::ToJson(request.operations)) {
    return MakeErrorResult(ChangeOutcome::kInvalid,
                           {ErrorKind::kInvalidArgument,
                            fmt::format("change_id {} was used for other operations (version {})",
                                        request.change_id, version),
                            "send these operations with a new change_id"});
  }
  ChangeResult result;
  result.outcome = ChangeOutcome::kAccepted;
  result.version = version;
  result.repeated = true;
  return result;
}

/// Like MakeRepeatResult, but reads the change from the log and updates the replica.
ChangeResult ReadRepeatResult(store::PlatformStore& store, SettingsReplica& replica,
                              const ChangeRequest& request, std::int64_t version) {
  const Result<std::optional<wire::SettingsChange>> logged = ReadLog(store, version);
  // If this fails, the replica is updated by the next poll.
  static_cast<void>(CatchUp(store, replica));
  return MakeRepeatResult(request, version, logged ? logged.value() : std::nullopt);
}

/// Returns the change with the request's change_id if the replica still keeps it.
std::optional<wire::SettingsChange> FindInReplica(const SettingsReplica& replica,
                                                  const ChangeRequest& request) {
  for (wire::SettingsChange& change : replica.RecentChanges()) {
    if (change.change_id == request.change_id) {
      return std::move(change);
    }
  }
  return std::nullopt;
}

/// Result of a request that expects another version than the settings have.
ChangeResult MakeConflictResult(store::PlatformStore& store, const ChangeRequest& request,
                                std::int64_t present_version) {
  Result<std::optional<wire::SettingsChange>> winner = ReadLog(store, request.expected_version + 1);
  if (!winner && request.repeat) {
    return MakeUnknownResult(request, winner.error().message);
  }
  ChangeResult result;
  result.outcome = ChangeOutcome::kConflict;
  result.version = present_version;
  if (winner) {
    result.winner = std::move(winner.value());
  }
  if (result.winner && result.winner->change_id == request.change_id) {
    // An earlier request with this change_id was committed after CommitChange checked for repeats.
    return MakeRepeatResult(request, result.winner->version, result.winner);
  }
  const std::string changed_by =
      result.winner
          ? fmt::format(" by {} (change_id {})", result.winner->author, result.winner->change_id)
          : "";
  result.error = {ErrorKind::kConflict,
                  fmt::format("expected_version is {}, but the settings were changed{} and have "
                              "version {}",
                              request.expected_version, changed_by, present_version),
                  "review the newer changes, then send the change with that version and a new "
                  "change_id"};
  return result;
}

store::Transaction MakeTransaction(const wire::SettingsChange& change, const std::string& snapshot,
                                   std::int64_t head_row_version) {
  const json version = {{"version", change.version}};
  store::Transaction transaction;
  transaction.conditions = {
      {ChangeKey(change.change_id), 0}, {kHeadKey, head_row_version}, {LogKey(change.version), 0}};
  transaction.writes = {{ChangeKey(change.change_id), version.dump()},
                        {kHeadKey, version.dump()},
                        {LogKey(change.version), ChangeToRow(change).dump()},
                        {kSnapshotKey, snapshot}};
  return transaction;
}

/// Commits the transaction, at most kMaxCommitAttempts times, until its effect is known. After a
/// lost reply, the row of the change_id shows whether the transaction took effect. A delayed
/// transaction may take effect even after that row was read; a further attempt has the same
/// conditions, so that only one of them can take effect.
ChangeResult CommitUntilResolved(store::PlatformStore& store, SettingsReplica& replica,
                                 const ChangeRequest& request, const wire::SettingsChange& change,
                                 const store::Transaction& transaction) {
  bool may_have_committed = false;
  for (int attempt = 0; attempt < kMaxCommitAttempts; ++attempt) {
    const Result<store::CommitResult> committed = store.Commit(transaction);
    if (committed && committed.value().committed) {
      wire::SettingsPush push;
      push.version = change.version;
      push.changes.push_back(change);
      if (!replica.Apply(push)) {
        static_cast<void>(CatchUp(store, replica));
      }
      ChangeResult result;
      result.outcome = ChangeOutcome::kAccepted;
      result.version = change.version;
      return result;
    }
    if (!committed && committed.error().kind == ErrorKind::kUnavailable) {
      return may_have_committed ? MakeUnknownResult(request, committed.error().message)
                                : MakeNotCommittedResult(request, committed.error());
    }
    may_have_committed = may_have_committed || !committed;
    const Result<std::optional<std::int64_t>> version = ReadChangeVersion(store, request.change_id);
    if (!version) {
      return MakeUnknownResult(request, version.error().message);
    }
    if (version.value()) {
      ChangeResult result = ReadRepeatResult(store, replica, request, *version.value());
      result.repeated = request.repeat;
      return result;
    }
    if (committed) {
      // settings/head has a newer row version than all transactions sent so far require, so none of
      // them can take effect any more.
      static_cast<void>(CatchUp(store, replica));
      return MakeConflictResult(store, request, replica.version());
    }
  }
  return MakeUnknownResult(request, "the platform's replies were lost");
}

bool IsValidChangeId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxChangeIdBytes &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
         });
}

}  // namespace

Result<ChangeRequest> ParseChangeRequest(const std::string& body) {
  const json parsed = ParseBoundedJson(body).value_or(json());
  const auto invalid = [](const std::string& message, const std::string& remedy) {
    return Error{ErrorKind::kInvalidArgument, message, remedy};
  };
  if (!parsed.is_object()) {
    return invalid("the change is not a JSON object",
                   "send {\"change_id\",\"author\",\"expected_version\",\"operations\"}");
  }
  const json change_id = parsed.value("change_id", json());
  if (!change_id.is_string() || !IsValidChangeId(change_id.get<std::string>())) {
    return invalid("change_id is missing or malformed",
                   "use 1 to 128 letters, digits, '.', '_' or '-', unique for each change");
  }
  const json author = parsed.value("author", json());
  if (!author.is_string() || author.get<std::string>().empty() ||
      author.get<std::string>().size() > kMaxAuthorBytes) {
    return invalid("author is missing or longer than 256 bytes",
                   "set author to the name of the person who makes the change");
  }
  const json expected = parsed.value("expected_version", json());
  if (!expected.is_number_integer() || expected.get<std::int64_t>() < 0) {
    return invalid("expected_version is missing or malformed",
                   "send the version from GET /settings, or 0 when there are no settings yet");
  }
  const json repeat = parsed.value("repeat", json(false));
  if (!repeat.is_boolean()) {
    return invalid("repeat is not a boolean", "send true or false, or leave it out");
  }
  BOOST_OUTCOME_TRY(operations,
                    settings::ParseOperations(parsed.value("operations", json::array())));
  return ChangeRequest{change_id.get<std::string>(), author.get<std::string>(),
                       expected.get<std::int64_t>(), std::move(operations), repeat.get<bool>()};
}

Result<SettingsHead> CatchUp(store::PlatformStore& store, SettingsReplica& replica) {
  BOOST_OUTCOME_TRY(row, store.Read(kHeadKey));
  if (!row) {
    return SettingsHead{};
  }
  BOOST_OUTCOME_TRY(version, ParseVersion(*row));
  const SettingsHead head{version, row->version};
  const std::int64_t missing_versions = version - replica.version();
  if (missing_versions <= 0) {
    return head;
  }
  bool applied = false;
  if (missing_versions <= kMaxLogReads) {
    BOOST_OUTCOME_TRY(log_applied, ApplyLogRows(store, replica, version));
    applied = log_applied;
  }
  if (!applied) {
    BOOST_OUTCOME_TRYV(ApplySnapshotRow(store, replica));
  }
  return head;
}

ChangeResult CommitChange(store::PlatformStore& store, SettingsReplica& replica,
                          const ChangeRequest& request, const Clock& clock) {
  const std::optional<wire::SettingsChange> known = FindInReplica(replica, request);
  if (known) {
    return MakeRepeatResult(request, known->version, known);
  }
  const Result<std::optional<std::int64_t>> accepted = ReadChangeVersion(store, request.change_id);
  if (!accepted) {
    return MakeNotCommittedResult(request, accepted.error());
  }
  if (accepted.value()) {
    return ReadRepeatResult(store, replica, request, *accepted.value());
  }
  const Result<SettingsHead> head = CatchUp(store, replica);
  if (!head) {
    return MakeNotCommittedResult(request, head.error());
  }
  const std::shared_ptr<const VersionedSettings> base = replica.current();
  if (request.expected_version != base->version) {
    return MakeConflictResult(store, request, base->version);
  }
  if (head.value().version < base->version) {
    // Either the replica received a newer version after settings/head was read, or the platform
    // lost changes that the processes have applied. In the second case a change committed on top of
    // settings/head would get a version that the processes ignore as too old.
    return MakeNotCommittedResult(
        request, {ErrorKind::kUnavailable,
                  fmt::format("settings/head has version {}, but this process has version {}",
                              head.value().version, base->version),
                  ""});
  }
  Result<settings::SettingsTree> tree = base->tree.Apply(request.operations);
  if (!tree) {
    return MakeErrorResult(ChangeOutcome::kInvalid, tree.error());
  }
  const json snapshot = {{"version", base->version + 1}, {"tree", tree.value().json()}};
  const std::string snapshot_text = snapshot.dump();
  if (snapshot_text.size() > kMaxSnapshotBytes) {
    return MakeErrorResult(ChangeOutcome::kInvalid,
                           {ErrorKind::kInvalidArgument,
                            fmt::format("the settings would have {} bytes", snapshot_text.size()),
                            fmt::format("keep them below {} bytes", kMaxSnapshotBytes)});
  }
  wire::SettingsChange change;
  change.version = base->version + 1;
  change.change_id = request.change_id;
  change.author = request.author;
  change.at_unix_ms = clock.unix_ms();
  change.operations_json = settings::ToJson(request.operations).dump();
  return CommitUntilResolved(store, replica, request, change,
                             MakeTransaction(change, snapshot_text, head.value().row_version));
}

std::vector<wire::SettingsChange> ReadHistory(store::PlatformStore& store,
                                              const SettingsReplica& replica, std::size_t limit) {
  const std::int64_t newest = replica.version();
  std::vector<wire::SettingsChange> recent = replica.RecentChanges();
  std::vector<wire::SettingsChange> history;
  for (std::int64_t version = newest; version > 0 && history.size() < limit; --version) {
    const auto known = std::find_if(
        recent.begin(), recent.end(),
        [version](const wire::SettingsChange& change) { return change.version == version; });
    if (known != recent.end()) {
      history.push_back(*known);
      continue;
    }
    Result<std::optional<wire::SettingsChange>> change = ReadLog(store, version);
    if (!change || !change.value()) {
      break;
    }
    history.push_back(std::move(*change.value()));
  }
  std::reverse(history.begin(), history.end());
  return history;
}

}  // namespace rattanramp::control
