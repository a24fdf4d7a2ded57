// Merges the platform's VM list with the agents' own reports into an entry's list of fleet members.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace rattanramp::core {

/// An agent's VM in the platform's list, which is updated with a delay.
struct ListedVm {
  std::string id;
  std::string link_address;
  std::string failure_domain;
  std::string region;
  bool leaving = false;
};

enum class AgentState { kStarting, kReady, kLeaving, kDown };

/// An agent's report about itself, received over a link. If there are several reports of one agent,
/// the one with the highest incarnation applies, and within it the highest sequence.
struct AgentReport {
  std::string id;
  std::int64_t incarnation = 0;
  std::int64_t sequence = 0;
  AgentState state = AgentState::kStarting;
  /// The link is open and heartbeats arrive.
  bool linked = false;
  /// Values that are empty here are taken from the platform's list.
  std::string link_address;
  std::string failure_domain;
  std::string region;
};

struct Member {
  std::string id;
  std::string link_address;
  std::string failure_domain;
  std::string region;
  /// New work may be sent to the agent.
  bool usable = false;
  /// An entry whose subset contains the agent opens a link to it.
  bool should_link = false;
  /// The list or the report states that the agent is leaving.
  bool leaving = false;
  bool listed = false;
  bool linked = false;
};

/// Members in ascending order of id.
/// - New work goes only to agents that are linked and report ready, whether or not they are listed.
/// - If either source states that an agent is leaving, it gets no new work and no new links; an
/// open link is kept for running work.
/// - Address, failure domain and region are taken from the agent's report if it contains them.
/// - An agent that is neither listed nor linked is not a member.
///
/// `list` is the last list received; it does not change during an outage of the platform. If an id
/// is listed twice, a record that is marked as leaving takes precedence.
std::vector<Member> MergeMembership(std::span<const ListedVm> list,
                                    std::span<const AgentReport> reports);

}  // namespace rattanramp::core
