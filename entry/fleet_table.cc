#include "entry/fleet_table.h"

#include <algorithm>
#include <utility>

namespace rattanramp::entry {
namespace {

/// One-way network latency between two failure domains of a customer (section 1.2 of the design
/// page).
constexpr double kOneWayLatencyBetweenDomainsMs = 1.5;

core::EngineRole RoleOf(wire::EngineRole::type role) {
  if (role == wire::EngineRole::PREFILL) {
    return core::EngineRole::kPrefill;
  }
  return role == wire::EngineRole::DECODE ? core::EngineRole::kDecode : core::EngineRole::kBoth;
}

const char* StateName(wire::UpstreamState::type state) {
  switch (state) {
    case wire::UpstreamState::STARTING:
      return "starting";
    case wire::UpstreamState::READY:
      return "ready";
    case wire::UpstreamState::LEAVING:
      return "leaving";
    case wire::UpstreamState::DOWN:
      return "down";
  }
  return "unknown";
}

}  // namespace

void FleetTable::OnLinkUp(const wire::Hello& hello) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto [found, inserted] = agents_.try_emplace(hello.process_id);
  Agent& agent = found->second;
  if (inserted) {
    agent.index = static_cast<std::uint32_t>(engine_views_.size());
    engine_views_.emplace_back();
    agent_ids_.push_back(hello.process_id);
  }
  if (agent.incarnation != hello.incarnation) {
    agent.pending.clear();
    agent.quarantined_attempts.clear();
  }
  agent.incarnation = hello.incarnation;
  agent.failure_domain = hello.failure_domain;
  agent.linked = true;
  agent.listed_leaving = listed_leaving_.contains(hello.process_id);
  // A report from an earlier link does not describe the current state.
  agent.report.reset();
  UpdateView(agent);
}

void FleetTable::OnLinkDown(const std::string& agent_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = agents_.find(agent_id);
  if (found != agents_.end()) {
    found->second.linked = false;
    UpdateView(found->second);
  }
}

bool FleetTable::IsListedLeaving(const std::string& agent_id) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return listed_leaving_.contains(agent_id);
}

void FleetTable::SetListedLeaving(std::set<std::string> agent_ids) {
  const std::lock_guard<std::mutex> lock(mutex_);
  listed_leaving_ = std::move(agent_ids);
  for (auto& [id, agent] : agents_) {
    agent.listed_leaving = listed_leaving_.contains(id);
    UpdateView(agent);
  }
}

void FleetTable::OnAgentLeaving(const std::string& agent_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = agents_.find(agent_id);
  if (found != agents_.end() && found->second.report) {
    found->second.report->state = wire::UpstreamState::LEAVING;
    UpdateView(found->second);
  }
}

void FleetTable::OnReport(const std::string& agent_id, const wire::LoadReport& report) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = agents_.find(agent_id);
  if (found == agents_.end()) {
    return;
  }
  Agent& agent = found->second;
  if (agent.report && report.sequence < agent.report->sequence) {
    return;
  }
  agent.report = report;
  agent.report->prefix_events.clear();
  agent.report->crashes.clear();
  std::erase_if(agent.pending, [](const auto& item) { return item.second.acknowledged; });
  UpdateView(agent);
}

void FleetTable::OnSubmitted(const std::string& agent_id, const std::string& attempt_id,
                             const AttemptLoad& load) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = agents_.find(agent_id);
  if (found != agents_.end()) {
    found->second.pending[attempt_id] = {load, false};
    if (load.quarantined) {
      found->second.quarantined_attempts.insert(attempt_id);
    }
    UpdateView(found->second);
  }
}

void FleetTable::OnAcknowledged(const std::string& agent_id, const std::string& attempt_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = agents_.find(agent_id);
  if (found == agents_.end()) {
    return;
  }
  const auto pending = found->second.pending.find(attempt_id);
  if (pending != found->second.pending.end()) {
    pending->second.acknowledged = true;
  }
}

void FleetTable::OnFinished(const std::string& agent_id, const std::string& attempt_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = agents_.find(agent_id);
  if (found == agents_.end()) {
    return;
  }
  const std::size_t erased = found->second.pending.erase(attempt_id) +
                             found->second.quarantined_attempts.erase(attempt_id);
  if (erased > 0) {
    UpdateView(found->second);
  }
}

Result<ChosenRoute> FleetTable::Choose(const RouteQuery& query) {
  const std::lock_guard<std::mutex> lock(mutex_);
  core::RouteRequest request = query.request;
  request.failure_domain = DomainIndex(query.failure_domain);
  request.model = ModelIndex(query.model);
  std::vector<std::uint32_t> excluded;
  for (const std::string& agent_id : query.excluded_agents) {
    const auto found = agents_.find(agent_id);
    if (found != agents_.end()) {
      excluded.push_back(found->second.index);
    }
  }
  request.excluded = excluded;
  core::FleetView fleet;
  fleet.engines = engine_views_;
  fleet.one_way_ms = one_way_ms_;
  fleet.domain_count = static_cast<std::uint32_t>(domains_.size());
  BOOST_OUTCOME_TRY(route, query.naive ? core::ChooseRouteNaive(request, fleet, query.policy)
                                       : core::ChooseRoute(request, fleet, query.policy));
  return ChosenRoute{route, agent_ids_[route.prefill_engine], agent_ids_[route.decode_engine]};
}

Result<std::string> FleetTable::ChooseServiceAgent(const std::string& service,
                                                   std::span<const std::string> excluded) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::string* best = nullptr;
  std::size_t best_load = 0;
  for (const auto& [id, agent] : agents_) {
    if (!IsReady(agent) || agent.report->role != wire::EngineRole::SERVICE ||
        agent.report->service_name != service || Contains(excluded, id)) {
      continue;
    }
    const std::size_t load =
        static_cast<std::size_t>(std::max(0, agent.report->running + agent.report->queued)) +
        agent.pending.size();
    if (best == nullptr || load < best_load) {
      best = &id;
      best_load = load;
    }
  }
  if (best == nullptr) {
    return Error{ErrorKind::kUnavailable, "no ready upstream serves '" + service + "'",
                 "retry later; check the upstreams with 'upstream list'"};
  }
  return *best;
}

std::vector<std::string> FleetTable::models() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> names;
  for (const auto& [id, agent] : agents_) {
    if (agent.linked && agent.report && !agent.report->model.empty() &&
        !Contains(names, agent.report->model)) {
      names.push_back(agent.report->model);
    }
  }
  return names;
}

nlohmann::json FleetTable::Dump() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  nlohmann::json dump = nlohmann::json::array();
  for (const auto& [id, agent] : agents_) {
    nlohmann::json row = {{"id", id},
                          {"incarnation", agent.incarnation},
                          {"failure_domain", agent.failure_domain},
                          {"linked", agent.linked},
                          {"ready", IsReady(agent)},
                          {"attempts_not_in_report", agent.pending.size()}};
    if (agent.report) {
      const wire::LoadReport& report = *agent.report;
      row["report"] = {{"sequence", report.sequence},
                       {"state", StateName(report.state)},
                       {"service", report.service_name},
                       {"model", report.model},
                       {"total_pieces", report.total_pieces},
                       {"free_pieces", report.free_pieces},
                       {"running", report.running},
                       {"queued", report.queued},
                       {"queued_prefill_tokens", report.queued_prefill_tokens},
                       {"decode_token_ms", report.decode_token_ms}};
    }
    dump.push_back(std::move(row));
  }
  return dump;
}

void FleetTable::UpdateView(const Agent& agent) {
  core::EngineView& view = engine_views_[agent.index];
  view = core::EngineView();
  view.index = agent.index;
  view.failure_domain = DomainIndex(agent.failure_domain);
  if (!agent.report) {
    return;
  }
  const wire::LoadReport& report = *agent.report;
  view.model = ModelIndex(report.model);
  view.role = RoleOf(report.role);
  view.ready = IsReady(agent) && report.role != wire::EngineRole::SERVICE;
  view.total_pieces = report.total_pieces;
  view.free_pieces = report.free_pieces;
  view.max_running = report.max_running;
  view.running = report.running;
  view.queued = report.queued;
  view.queued_prefill_tokens = report.queued_prefill_tokens;
  view.prefill_tokens_per_s = report.prefill_tokens_per_s;
  view.decode_token_ms = report.decode_token_ms;
  view.link_queue_bytes = report.link_queue_bytes;
  view.link_bytes_per_s = report.link_bytes_per_s;
  view.kv_bytes_per_token = report.kv_bytes_per_token;
  view.quarantined_running = static_cast<std::int32_t>(agent.quarantined_attempts.size());
  for (const auto& [attempt_id, pending] : agent.pending) {
    view.free_pieces -= pending.load.pieces;
    view.queued_prefill_tokens += pending.load.prefill_tokens;
    view.queued += 1;
  }
  view.free_pieces = std::max(0, view.free_pieces);
}

nlohmann::json FleetTable::Upstreams() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [id, agent] : agents_) {
    std::string state = "down";
    if (agent.linked && agent.listed_leaving) {
      state = "leaving";
    } else if (agent.linked) {
      state = agent.report ? StateName(agent.report->state) : "starting";
    }
    rows.push_back({{"id", id},
                    {"state", state},
                    {"failure_domain", agent.failure_domain},
                    {"service", agent.report ? agent.report->service_name : ""},
                    {"model", agent.report ? agent.report->model : ""},
                    {"running", agent.report ? agent.report->running : 0},
                    {"queued", agent.report ? agent.report->queued : 0},
                    {"free_pieces", agent.report ? agent.report->free_pieces : 0}});
  }
  return rows;
}

std::uint32_t FleetTable::DomainIndex(const std::string& name) {
  const auto [found, inserted] =
      domains_.try_emplace(name, static_cast<std::uint32_t>(domains_.size()));
  if (inserted) {
    const std::size_t count = domains_.size();
    one_way_ms_.assign(count * count, kOneWayLatencyBetweenDomainsMs);
    for (std::size_t i = 0; i < count; ++i) {
      one_way_ms_[i * count + i] = 0;
    }
  }
  return found->second;
}

std::uint32_t FleetTable::ModelIndex(const std::string& name) {
  return models_.try_emplace(name, static_cast<std::uint32_t>(models_.size())).first->second;
}

bool FleetTable::IsReady(const Agent& agent) {
  return agent.linked && !agent.listed_leaving && agent.report &&
         agent.report->state == wire::UpstreamState::READY;
}

bool FleetTable::Contains(std::span<const std::string> names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace rattanramp::entry
