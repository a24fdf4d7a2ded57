// Which agents an entry links to. Rendezvous hashing: an agent that comes or goes moves few links.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace rattanramp::core {

struct SubsetAgent {
  std::string_view id;
  /// Model and role, or service.
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
  /// Agents per group; all agents when a group has no more.
  std::uint32_t size = 64;
  /// Least share of a subset in other failure domains, so that the loss of the entry's own domain
  /// leaves agents of every group that spans domains.
  double other_domain_share = 0.25;
};

/// Indexes into `agents`, ascending. Each group contributes min(size, its agents): agents of the
/// entry's own failure domain except for the share of other domains, then agents of the same
/// region, then the rest. Within these classes the agents with the highest hash of entry and agent
/// are chosen. Agents must have distinct ids.
std::vector<std::uint32_t> ChooseSubset(const SubsetEntry& entry,
                                        std::span<const SubsetAgent> agents,
                                        const SubsetPolicy& policy);

}  // namespace rattanramp::core
