#include "core/caller_keys.h"

#include <algorithm>
#include <bit>

#include "base/hash.h"
#include "core/routing_table.h"

namespace rattanramp::core {
namespace {

/// Compares all bytes, also after the first difference.
bool IsSameKey(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) {
    return false;
  }
  volatile unsigned char difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference = static_cast<unsigned char>(
        difference | (static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i])));
  }
  return difference == 0;
}

bool IsUsable(std::string_view key) { return !key.empty() && key.size() <= kMaxKeyBytes; }

}  // namespace

CallerKeys::CallerKeys(std::span<const WorkspaceRule> workspaces) : workspaces_(workspaces.data()) {
  std::size_t keys = 0;
  for (const WorkspaceRule& workspace : workspaces) {
    keys += workspace.keys.size();
  }
  if (keys == 0) {
    return;
  }
  slots_.resize(std::bit_ceil(2 * keys));
  for (std::uint32_t i = 0; i < workspaces.size(); ++i) {
    for (std::uint32_t j = 0; j < workspaces[i].keys.size(); ++j) {
      if (IsUsable(workspaces[i].keys[j])) {
        Insert(i, j);
      } else {
        ++unusable_;
      }
    }
  }
  std::sort(shared_.begin(), shared_.end());
  shared_.erase(std::unique(shared_.begin(), shared_.end()), shared_.end());
}

void CallerKeys::Insert(std::uint32_t workspace, std::uint32_t key) {
  const std::string& text = workspaces_[workspace].keys[key];
  const std::uint64_t hash = Hash64(text);
  Slot& slot = slots_[FindSlot(hash, text)];
  if (slot.workspace == 0) {
    slot = {hash, workspace + 1, key, false};
  } else if (slot.workspace != workspace + 1) {
    slot.is_shared = true;
    shared_.emplace_back(workspaces_[slot.workspace - 1].name, workspaces_[workspace].name);
  }
}

const std::string& CallerKeys::KeyOf(const Slot& slot) const {
  return workspaces_[slot.workspace - 1].keys[slot.key];
}

std::size_t CallerKeys::FindSlot(std::uint64_t hash, std::string_view key) const {
  const std::size_t mask = slots_.size() - 1;
  std::size_t at = static_cast<std::size_t>(hash) & mask;
  while (slots_[at].workspace != 0 &&
         (slots_[at].hash != hash || !IsSameKey(KeyOf(slots_[at]), key))) {
    at = (at + 1) & mask;
  }
  return at;
}

const WorkspaceRule* CallerKeys::Find(std::string_view key) const {
  if (slots_.empty() || !IsUsable(key)) {
    return nullptr;
  }
  const Slot& slot = slots_[FindSlot(Hash64(key), key)];
  return slot.workspace == 0 || slot.is_shared ? nullptr : &workspaces_[slot.workspace - 1];
}

Caller IdentifyCaller(const RoutingTable& table, const RouteRule& route, std::string_view key) {
  if (table.workspaces().empty() || route.is_public) {
    return {};
  }
  if (!IsUsable(key)) {
    return {CallerKind::kMissing, nullptr};
  }
  const WorkspaceRule* workspace = table.keys().Find(key);
  return {workspace == nullptr ? CallerKind::kUnknown : CallerKind::kKnown, workspace};
}

}  // namespace rattanramp::core
