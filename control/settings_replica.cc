#include "control/settings_replica.h"

#include <utility>
#include <vector>

#include "base/bounded_json.h"

namespace rattanramp::control {
namespace {

/// Number of recent changes kept for peers that lack only a few versions. About 3,100 changes are
/// made per day.
constexpr std::size_t kMaxRetainedChanges = 256;
/// Upper bound of the size of the changes in one push. A snapshot is sent instead of larger
/// changes, which would not fit into one frame.
constexpr std::size_t kMaxPushedChangeBytes = 1024 * 1024;

Result<settings::SettingsTree> ApplyChange(const settings::SettingsTree& tree,
                                           const wire::SettingsChange& change) {
  const std::optional<nlohmann::json> parsed = ParseBoundedJson(change.operations_json);
  BOOST_OUTCOME_TRY(operations, settings::ParseOperations(parsed.value_or(nlohmann::json())));
  return tree.Apply(operations, settings::TreeCheck::kReplicated);
}

}  // namespace

SettingsReplica::SettingsReplica() : current_(std::make_shared<VersionedSettings>()) {}

std::shared_ptr<const VersionedSettings> SettingsReplica::current() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return current_;
}

std::int64_t SettingsReplica::version() const { return current()->version; }

bool SettingsReplica::ApplySnapshot(std::int64_t version, settings::SettingsTree tree) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (version <= current_->version) {
    return false;
  }
  current_ = std::make_shared<VersionedSettings>(VersionedSettings{version, std::move(tree)});
  changes_.clear();
  return true;
}

Result<bool> SettingsReplica::Apply(const wire::SettingsPush& push) {
  if (push.__isset.snapshot_json) {
    BOOST_OUTCOME_TRY(
        tree, settings::SettingsTree::Parse(push.snapshot_json, settings::TreeCheck::kReplicated));
    return ApplySnapshot(push.version, std::move(tree));
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  VersionedSettings next = *current_;
  std::vector<wire::SettingsChange> applied;
  for (const wire::SettingsChange& change : push.changes) {
    if (change.version <= next.version) {
      continue;
    }
    if (change.version != next.version + 1) {
      return Error{ErrorKind::kNotFound,
                   "settings change " + std::to_string(change.version) +
                       " cannot be applied to version " + std::to_string(next.version) +
                       ": changes in between are missing",
                   "pull a snapshot with have_version 0"};
    }
    BOOST_OUTCOME_TRY(tree, ApplyChange(next.tree, change));
    next = VersionedSettings{change.version, std::move(tree)};
    applied.push_back(change);
  }
  if (applied.empty()) {
    return false;
  }
  current_ = std::make_shared<VersionedSettings>(std::move(next));
  changes_.insert(changes_.end(), applied.begin(), applied.end());
  while (changes_.size() > kMaxRetainedChanges) {
    changes_.pop_front();
  }
  return true;
}

wire::SettingsPush SettingsReplica::MakePush(std::int64_t have_version) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  wire::SettingsPush push;
  push.version = current_->version;
  if (have_version >= current_->version) {
    return push;
  }
  bool use_changes = !changes_.empty() && changes_.front().version <= have_version + 1;
  std::size_t bytes = 0;
  for (const wire::SettingsChange& change : changes_) {
    bytes += change.version > have_version ? change.operations_json.size() : 0;
  }
  use_changes = use_changes && bytes <= kMaxPushedChangeBytes;
  if (!use_changes) {
    push.__set_snapshot_json(current_->tree.json().dump());
    return push;
  }
  for (const wire::SettingsChange& change : changes_) {
    if (change.version > have_version) {
      push.changes.push_back(change);
    }
  }
  return push;
}

std::vector<wire::SettingsChange> SettingsReplica::RecentChanges() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return {changes_.begin(), changes_.end()};
}

}  // namespace rattanramp::control
