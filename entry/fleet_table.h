// What this entry knows about the agents: their last reports, corrected by the work that the entry
// has sent since. Always somewhat stale; the agents decide.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "base/result.h"
#include "core/route.h"
#include "wire/gen-cpp/rattanramp_types.h"

namespace rattanramp::entry {

/// Load that one attempt adds to an agent until the agent's reports contain it.
struct AttemptLoad {
  std::int32_t pieces = 0;
  std::int64_t prefill_tokens = 0;
  /// The request is suspected of crashing engines; counts until the attempt is finished.
  bool quarantined = false;
};

/// Request for a route with agents by id instead of by index.
struct RouteQuery {
  std::string model;
  std::string failure_domain;
  /// Sizes, targets and flags; the indexes are filled in by the table.
  core::RouteRequest request;
  core::RoutePolicy policy;
  bool naive = false;
  std::span<const std::string> excluded_agents;
};

struct ChosenRoute {
  core::Route route;
  std::string prefill_agent;
  std::string decode_agent;
};

/// Safe from any thread.
class FleetTable {
 public:
  void OnLinkUp(const wire::Hello& hello);
  void OnLinkDown(const std::string& agent_id);
  /// Agents whose VMs the platform lists as leaving; they get no new work.
  void SetListedLeaving(std::set<std::string> agent_ids);
  bool IsListedLeaving(const std::string& agent_id) const;
  /// The agent refused work because it is leaving; counts until its next report.
  void OnAgentLeaving(const std::string& agent_id);
  void OnReport(const std::string& agent_id, const wire::LoadReport& report);

  /// The attempt is about to be sent.
  void OnSubmitted(const std::string& agent_id, const std::string& attempt_id,
                   const AttemptLoad& load);
  /// The agent has answered: its next report contains the attempt.
  void OnAcknowledged(const std::string& agent_id, const std::string& attempt_id);
  /// The attempt is over or was refused.
  void OnFinished(const std::string& agent_id, const std::string& attempt_id);

  /// Errors: kUnavailable (no ready engine serves the model), kOverloaded (no engine has room).
  Result<ChosenRoute> Choose(const RouteQuery& query);

  /// Ready agent of a plain service with the fewest requests. Error: kUnavailable.
  Result<std::string> ChooseServiceAgent(const std::string& service,
                                         std::span<const std::string> excluded) const;

  /// Models that linked agents have reported.
  std::vector<std::string> models() const;
  nlohmann::json Dump() const;
  /// Agents with state "ready", "leaving", "starting" or "down", for operators.
  nlohmann::json Upstreams() const;

 private:
  struct PendingLoad {
    AttemptLoad load;
    bool acknowledged = false;
  };
  struct Agent {
    std::uint32_t index = 0;
    std::int64_t incarnation = 0;
    std::string failure_domain;
    bool linked = false;
    bool listed_leaving = false;
    std::optional<wire::LoadReport> report;
    std::map<std::string, PendingLoad> pending;
    std::set<std::string> quarantined_attempts;
  };

  void UpdateView(const Agent& agent);
  std::uint32_t DomainIndex(const std::string& name);
  std::uint32_t ModelIndex(const std::string& name);
  static bool IsReady(const Agent& agent);
  static bool Contains(std::span<const std::string> names, const std::string& name);

  mutable std::mutex mutex_;
  std::map<std::string, Agent> agents_;
  std::set<std::string> listed_leaving_;
  /// Engine views and agent ids by Agent::index.
  std::vector<core::EngineView> engine_views_;
  std::vector<std::string> agent_ids_;
  std::map<std::string, std::uint32_t> domains_;
  std::map<std::string, std::uint32_t> models_;
  std::vector<double> one_way_ms_;
};

}  // namespace rattanramp::entry
