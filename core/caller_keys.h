// Finds the workspace of a request by its key. Built with each version of the routing table.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rattanramp::core {

class RoutingTable;
struct RouteRule;
struct WorkspaceRule;

/// Longest key that is accepted, in bytes.
inline constexpr std::size_t kMaxKeyBytes = 1'024;

/// Index of the keys of all workspaces. Looking up a key takes constant time, and comparing two
/// keys takes a time that does not depend on how much of them is equal.
class CallerKeys {
 public:
  CallerKeys() = default;
  /// The workspaces must outlive the index and not move. Keys that are empty or longer than
  /// kMaxKeyBytes are left out.
  explicit CallerKeys(std::span<const WorkspaceRule> workspaces);

  /// Returns the workspace that holds the key; null if none does, or more than one: such a key does
  /// not tell whose the request is.
  const WorkspaceRule* Find(std::string_view key) const;

  /// Names of workspaces that hold the same key, each pair once.
  std::span<const std::pair<std::string, std::string>> shared() const { return shared_; }
  /// Keys that were left out.
  std::size_t unusable() const { return unusable_; }

 private:
  struct Slot {
    std::uint64_t hash = 0;
    /// Index of the workspace plus 1; 0: the slot is free.
    std::uint32_t workspace = 0;
    std::uint32_t key = 0;
    bool is_shared = false;
  };

  void Insert(std::uint32_t workspace, std::uint32_t key);
  const std::string& KeyOf(const Slot& slot) const;
  std::size_t FindSlot(std::uint64_t hash, std::string_view key) const;

  const WorkspaceRule* workspaces_ = nullptr;
  /// The size is a power of two, and at least half of the slots are free.
  std::vector<Slot> slots_;
  std::vector<std::pair<std::string, std::string>> shared_;
  std::size_t unusable_ = 0;
};

enum class CallerKind {
  /// No key is needed: the configuration has no workspaces, or the route is public.
  kOpen,
  kKnown,
  /// The request has no valid key.
  kMissing,
  /// No workspace holds the request's key.
  kUnknown,
};

struct Caller {
  CallerKind kind = CallerKind::kOpen;
  /// Set for a known caller; owned by the table.
  const WorkspaceRule* workspace = nullptr;
};

/// key: empty if the request has no valid one.
Caller IdentifyCaller(const RoutingTable& table, const RouteRule& route, std::string_view key);

}  // namespace rattanramp::core
