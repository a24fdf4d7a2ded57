// The fleet as an entry sees it: the platform's VM list merged with what agents say of themselves.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace rattanramp::core {

/// An agent's VM in the platform's list, which lags.
struct ListedVm {
  std::string id;
  std::string link_address;
  std::string failure_domain;
  std::string region;
  bool leaving = false;
};

enum class AgentState { kStarting, kReady, kLeaving, kDown };

/// What an agent said of itself over a link. Several reports of one agent may be given: the highest
/// incarnation counts, and of that the highest sequence.
struct AgentReport {
  std::string id;
  std::int64_t incarnation = 0;
  std::int64_t sequence = 0;
  AgentState state = AgentState::kStarting;
  /// The link is open and heartbeats arrive.
  bool linked = false;
  /// Empty values are taken from the list.
  std::string link_address;
  std::string failure_domain;
  std::string region;
};

struct Member {
  std::string id;
  std::string link_address;
  std::string failure_domain;
  std::string region;
  /// May get new work.
  bool usable = false;
  /// Should be linked when it is in the entry's subset.
  bool should_link = false;
  /// Said by either source.
  bool leaving = false;
  bool listed = false;
  bool linked = false;
};

/// Members in ascending order of id.
/// - New work goes only to agents that are linked and report ready, whether or not they are listed.
/// - Leaving in either source stops new work and new links; an open link stays for running work.
/// - Address, failure domain and region come from the agent's report if it states them.
/// - An agent that is neither listed nor linked is not a member.
/// The list is the last one received; an outage of the platform leaves it unchanged. If an id is
/// listed twice, leaving wins.
std::vector<Member> MergeMembership(std::span<const ListedVm> list,
                                    std::span<const AgentReport> reports);

}  // namespace rattanramp::core
