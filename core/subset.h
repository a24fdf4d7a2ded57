// Chooses the agents that an entry links to. Uses rendezvous hashing, so that adding or removing an
// agent changes few links.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace rattanramp::core {

struct SubsetAgent {
  std::string_view id;
  /// Index of the agent's model and role, or of its service.
  std::uint32_t group = 0;
  std::uint32_t failure_domain = 0;
  std::uint32_t region = 0;
};

struct SubsetEntry {
  std::string_view id;
  std::uint32_t failure_domain = 0;
  std::uint32_t region = 0;
};

struct SubsetPolicy {
  /// Number of agents per group; all agents if a group has fewer.
  std::uint32_t size = 64;
  /// Minimum fraction of a subset in other failure domains than the entry's own. If the entry's
  /// domain fails, agents remain in every group that spans several domains.
  double other_domain_share = 0.25;
};

/// Returns indexes into `agents` in ascending order. Each group contributes min(size, number of its
/// agents). Agents of the entry's own failure domain come first, except for the share that is
/// reserved for other domains; then agents of the same region, then all others. Within these
/// classes the agents with the highest hash of entry and agent are chosen. Agents must have
/// distinct ids.
std::vector<std::uint32_t> ChooseSubset(const SubsetEntry& entry,
                                        std::span<const SubsetAgent> agents,
                                        const SubsetPolicy& policy);

}  // namespace rattanramp::core
