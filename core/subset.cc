#include "core/subset.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "base/hash.h"

namespace rattanramp::core {
namespace {

enum class Proximity : std::uint8_t { kSameDomain, kSameRegion, kOtherRegion };

struct Ranked {
  std::uint32_t group;
  Proximity proximity;
  std::uint64_t weight;
  std::uint32_t index;
};

Proximity ProximityOf(const SubsetEntry& entry, const SubsetAgent& agent) {
  if (agent.failure_domain == entry.failure_domain) {
    return Proximity::kSameDomain;
  }
  return agent.region == entry.region ? Proximity::kSameRegion : Proximity::kOtherRegion;
}

/// Orders by group, then by proximity with the entry's own domain first, then by descending weight.
bool RanksBefore(const Ranked& a, const Ranked& b) {
  return std::tie(a.group, a.proximity, b.weight, a.index) <
         std::tie(b.group, b.proximity, a.weight, b.index);
}

/// Appends the choice from one group, which is sorted by RanksBefore.
void ChooseFromGroup(std::span<const Ranked> group, const SubsetPolicy& policy,
                     std::vector<std::uint32_t>& chosen) {
  const std::size_t own =
      static_cast<std::size_t>(std::find_if(group.begin(), group.end(),
                                            [](const Ranked& ranked) {
                                              return ranked.proximity != Proximity::kSameDomain;
                                            }) -
                               group.begin());
  const std::size_t others = group.size() - own;
  const std::size_t size = std::min<std::size_t>(policy.size, group.size());
  const std::size_t min_others = std::min(
      others,
      static_cast<std::size_t>(std::ceil(static_cast<double>(size) * policy.other_domain_share)));
  const std::size_t from_own = std::min(own, size - std::min(size, min_others));
  for (std::size_t i = 0; i < from_own; ++i) {
    chosen.push_back(group[i].index);
  }
  for (std::size_t i = 0; i < size - from_own; ++i) {
    chosen.push_back(group[own + i].index);
  }
}

}  // namespace

std::vector<std::uint32_t> ChooseSubset(const SubsetEntry& entry,
                                        std::span<const SubsetAgent> agents,
                                        const SubsetPolicy& policy) {
  const std::uint64_t seed = Hash64(entry.id);
  std::vector<Ranked> ranked;
  ranked.reserve(agents.size());
  for (const SubsetAgent& agent : agents) {
    ranked.push_back({agent.group, ProximityOf(entry, agent), Hash64(agent.id, seed),
                      static_cast<std::uint32_t>(ranked.size())});
  }
  std::sort(ranked.begin(), ranked.end(), RanksBefore);
  std::vector<std::uint32_t> chosen;
  for (std::size_t first = 0; first < ranked.size();) {
    std::size_t last = first;
    while (last < ranked.size() && ranked[last].group == ranked[first].group) {
      ++last;
    }
    ChooseFromGroup(std::span(ranked).subspan(first, last - first), policy, chosen);
    first = last;
  }
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

}  // namespace rattanramp::core
