#include "core/subset.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/hash.h"

using namespace rattanramp;        // NOLINT
using namespace rattanramp::core;  // NOLINT

namespace {

int In(int low, int high) { return *rc::gen::inRange(low, high + 1); }

struct Fleet {
  std::vector<std::string> ids;
  std::vector<SubsetAgent> agents;

  Fleet(int count, int groups, int domains) {
    for (int i = 0; i < count; ++i) {
      ids.push_back("agent-" + std::to_string(i));
    }
    for (int i = 0; i < count; ++i) {
      const auto domain = static_cast<std::uint32_t>(In(0, domains - 1));
      agents.push_back({ids[static_cast<std::size_t>(i)],
                        static_cast<std::uint32_t>(In(0, groups - 1)), domain, domain / 2});
    }
  }
};

std::set<std::string_view> ChosenIds(const SubsetEntry& entry,
                                     const std::vector<SubsetAgent>& agents,
                                     const SubsetPolicy& policy) {
  std::set<std::string_view> ids;
  for (const std::uint32_t index : ChooseSubset(entry, agents, policy)) {
    ids.insert(agents[index].id);
  }
  return ids;
}

/// Repeatedly takes the best remaining agent: first the share of the other domains, then agents of
/// the own domain, then other agents.
std::set<std::string_view> ChooseNaively(const SubsetEntry& entry,
                                         const std::vector<SubsetAgent>& agents,
                                         const SubsetPolicy& policy, std::uint32_t group) {
  std::set<std::string_view> chosen;
  const auto take_best = [&](bool own) {
    const SubsetAgent* best = nullptr;
    const auto key = [&](const SubsetAgent& agent) {
      return std::make_pair(agent.region == entry.region, Hash64(agent.id, Hash64(entry.id)));
    };
    for (const SubsetAgent& agent : agents) {
      if (agent.group == group && (agent.failure_domain == entry.failure_domain) == own &&
          chosen.count(agent.id) == 0 && (best == nullptr || key(agent) > key(*best))) {
        best = &agent;
      }
    }
    if (best != nullptr) {
      chosen.insert(best->id);
    }
    return best != nullptr;
  };
  const auto in_group = static_cast<std::size_t>(
      std::count_if(agents.begin(), agents.end(),
                    [group](const SubsetAgent& agent) { return agent.group == group; }));
  const std::size_t size = std::min<std::size_t>(policy.size, in_group);
  const double share = std::ceil(static_cast<double>(size) * policy.other_domain_share);
  while (static_cast<double>(chosen.size()) < share && take_best(false)) {
  }
  while (chosen.size() < size && take_best(true)) {
  }
  while (chosen.size() < size && take_best(false)) {
  }
  return chosen;
}

}  // namespace

// Guards against groups without links, subsets that lose all agents of a group when the entry's
// failure domain fails, and choices that differ from taking the best agents one by one.
Test(subset, equals_naive_choice_and_covers_domain_loss) {
  cr_assert(rc::check("subset equals naive choice", [] {
    const Fleet fleet(In(0, 60), In(1, 3), In(1, 4));
    const SubsetEntry entry{"entry-1", 0, 0};
    const SubsetPolicy policy{static_cast<std::uint32_t>(In(1, 20)), In(1, 4) / 4.0};
    const std::set<std::string_view> chosen = ChosenIds(entry, fleet.agents, policy);
    std::set<std::string_view> expected;
    for (std::uint32_t group = 0; group < 3; ++group) {
      const std::set<std::string_view> part = ChooseNaively(entry, fleet.agents, policy, group);
      expected.insert(part.begin(), part.end());
    }
    RC_ASSERT(chosen == expected);
    std::set<std::uint32_t> groups;
    std::set<std::uint32_t> groups_in_other_domains;
    std::set<std::uint32_t> covered;
    std::set<std::uint32_t> covered_in_other_domains;
    for (const SubsetAgent& agent : fleet.agents) {
      const bool other = agent.failure_domain != entry.failure_domain;
      groups.insert(agent.group);
      if (other) {
        groups_in_other_domains.insert(agent.group);
      }
      if (chosen.count(agent.id) > 0) {
        covered.insert(agent.group);
        if (other) {
          covered_in_other_domains.insert(agent.group);
        }
      }
    }
    RC_ASSERT(covered == groups);
    RC_ASSERT(covered_in_other_domains == groups_in_other_domains);
  }));
}

// Guards against links that change although their agents remain. Adding or removing one agent may
// displace one other agent, or two when the division between the own and the other domains changes.
Test(subset, one_agent_change_moves_few_links) {
  cr_assert(rc::check("one change moves few links", [] {
    const Fleet fleet(In(1, 80), In(1, 2), In(1, 4));
    const SubsetEntry entry{"entry-7", 1, 0};
    const SubsetPolicy policy{static_cast<std::uint32_t>(In(1, 20)), 0.25};
    const std::set<std::string_view> before = ChosenIds(entry, fleet.agents, policy);
    std::vector<SubsetAgent> fewer = fleet.agents;
    const auto removed_agent = fewer.begin() + In(0, static_cast<int>(fewer.size()) - 1);
    const std::string_view removed_id = removed_agent->id;
    fewer.erase(removed_agent);
    const std::set<std::string_view> after = ChosenIds(entry, fewer, policy);
    std::vector<std::string_view> added;
    std::set_difference(after.begin(), after.end(), before.begin(), before.end(),
                        std::back_inserter(added));
    std::vector<std::string_view> removed;
    std::set_difference(before.begin(), before.end(), after.begin(), after.end(),
                        std::back_inserter(removed));
    RC_ASSERT(added.size() <= 2);
    RC_ASSERT(removed.size() <= 2);
    if (before.count(removed_id) == 0) {
      RC_ASSERT(added.empty());
      RC_ASSERT(removed.empty());
    }
  }));
}

// Guards against a hash that makes all entries choose the same agents.
Test(subset, entries_spread_over_agents) {
  std::vector<std::string> ids;
  std::vector<SubsetAgent> agents;
  for (int i = 0; i < 100; ++i) {
    ids.push_back("agent-" + std::to_string(i));
  }
  for (std::size_t i = 0; i < ids.size(); ++i) {
    agents.push_back({ids[i], 0, 0, 0});
  }
  std::map<std::uint32_t, int> links;
  for (int entry = 0; entry < 100; ++entry) {
    const std::string id = "entry-" + std::to_string(entry);
    for (const std::uint32_t index : ChooseSubset({id, 0, 0}, agents, {20, 0.25})) {
      ++links[index];
    }
  }
  // The mean is 20 and the standard deviation 4 (binomial); 5 deviations on each side.
  cr_assert_eq(links.size(), 100);
  for (const std::pair<const std::uint32_t, int>& link : links) {
    cr_assert_lt(std::abs(link.second - 20), 20);
  }
}
