// State of the agents from the view of this entry: their last load reports plus the load of
// attempts that the entry has submitted since. This state can be stale; an agent makes the final
// decision when it accepts or refuses an attempt.
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

/// Load that one attempt adds to an agent until a report of the agent includes it.
struct AttemptLoad {
  std::int32_t pieces = 0;
  std::int64_t prefill_tokens = 0;
  /// The request may crash engines. Unlike the load, this counts until the attempt is finished.
  bool quarantined = false;
};

/// Input of FleetTable::Choose. Identifies agents by id instead of by index.
struct RouteQuery {
  std::string model;
  std::string failure_domain;
  /// Sizes, targets and flags. The table fills in the index fields.
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

/// Thread-safe.
class FleetTable {
 public:
  void OnLinkUp(const wire::Hello& hello);
  void OnLinkDown(const std::string& agent_id);
  /// Sets the agents whose VMs are listed by the platform as leaving. They receive no new attempts.
  void SetListedLeaving(std::set<std::string> agent_ids);
  bool IsListedLeaving(const std::string& agent_id) const;
  /// Marks an agent as leaving until its next report, after it refused an attempt for that reason.
  void OnAgentLeaving(const std::string& agent_id);
  void OnReport(const std::string& agent_id, const wire::LoadReport& report);

  /// Adds the load of an attempt that is about to be sent.
  void OnSubmitted(const std::string& agent_id, const std::string& attempt_id,
                   const AttemptLoad& load);
  /// Records that the agent has responded, so its next report includes the attempt.
  void OnAcknowledged(const std::string& agent_id, const std::string& attempt_id);
  /// Removes an attempt that has ended or was refused.
  void OnFinished(const std::string& agent_id, const std::string& attempt_id);

  /// Chooses the engines for a request. Errors: kUnavailable (no ready engine serves the model),
  /// kOverloaded (no engine can accept the request now).
  Result<ChosenRoute> Choose(const RouteQuery& query);

  /// Returns the ready agent of a plain service with the fewest requests. Error: kUnavailable.
  Result<std::string> ChooseServiceAgent(const std::string& service,
                                         std::span<const std::string> excluded) const;

  /// Returns the models that linked agents have reported.
  std::vector<std::string> models() const;
  nlohmann::json Dump() const;
  /// Returns all agents for operators, with state "ready", "leaving", "starting" or "down".
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

  /// Recomputes the engine view of the agent from its report and its pending load.
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
