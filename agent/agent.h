// Agent of one upstream: accepts links from entries and admits, queues or refuses their work.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "agent/attempts.h"
#include "agent/calls.h"
#include "agent/canceller.h"
#include "agent/context.h"
#include "agent/epoch.h"
#include "agent/generation.h"
#include "agent/monitor.h"
#include "agent/reports.h"
#include "agent/upstream_port.h"
#include "agent/workers.h"
#include "base/metrics.h"
#include "control/settings_replica.h"
#include "link/event_loop.h"
#include "link/link_listener.h"
#include "settings/boot_config.h"
#include "store/platform_store.h"

namespace rattanramp::agent {

/// Dependencies of the agent. The agent owns all of them except clock.
struct AgentParts {
  settings::BootConfig boot;
  std::unique_ptr<UpstreamPort> upstream;
  std::unique_ptr<store::PlatformStore> store;
  const Clock* clock = nullptr;
};

class Agent : public link::LinkHandler, public std::enable_shared_from_this<Agent> {
 public:
  /// Binds the link port. Errors: kInvalidArgument, kIo (port in use).
  static Result<std::shared_ptr<Agent>> Create(AgentParts parts);
  ~Agent() override;

  void Start();
  /// Closes the links, stops all threads and aborts running work. The agent cannot be started
  /// again.
  void Stop();

  /// Starts draining: the agent refuses new work and finishes running work. Safe from any thread.
  void Drain();
  bool draining() const { return draining_.load(); }
  /// True when draining, all work has ended and its last frames have had time to be sent. Safe from
  /// any thread.
  bool drained() const { return drained_.load(); }
  /// Attempts that have not ended. Safe from any thread.
  std::size_t active() const { return active_.load(); }

  /// Settings of the process, without overrides for a service. Safe from any thread.
  settings::Settings ProcessSettings() const;

  /// Sends an order to the upstream. Errors: kUnavailable until the epoch has been acquired, and
  /// those of UpstreamPort::SendOrder. Safe from any thread.
  Result<void> SendOrder(const Order& order);

  /// Why the agent is not ready; empty when it is ready. Safe from any thread.
  std::string NotReadyReason() const;
  /// State dump for the operator port. Safe from any thread.
  nlohmann::json State();

  Metrics& metrics() { return metrics_; }
  int link_port() const { return listener_->port(); }
  std::int64_t incarnation() const { return incarnation_; }

  wire::Hello LocalHello() override;
  std::int64_t SettingsVersion() override;
  void OnUp(const std::shared_ptr<link::Link>& link) override;
  void OnFrame(const std::shared_ptr<link::Link>& link, wire::Frame frame) override;
  void OnDown(const std::shared_ptr<link::Link>& link, const Error& reason) override;

 private:
  explicit Agent(AgentParts parts);

  void OnSubmit(const std::shared_ptr<link::Link>& link, core::ConnectionId connection,
                wire::Submit submit);
  void OnResume(const std::shared_ptr<link::Link>& link, core::ConnectionId connection,
                const wire::Resume& resume);
  void OnCancel(const std::string& attempt_id);
  void OnSettings(const std::shared_ptr<link::Link>& link, const wire::SettingsPush& push);
  void PullNewerSettings(const std::shared_ptr<link::Link>& link, std::int64_t version);
  /// Refusal because of the upstream's state, kind or model, or of a malformed request; nullopt if
  /// there is none.
  std::optional<wire::Refused> CheckSubmit(const wire::Submit& submit) const;
  /// Refusal because the request has crashed upstreams, or because another request that has crashed
  /// one is active here; nullopt if there is none.
  std::optional<wire::Refused> CheckQuarantine(const wire::Submit& submit) const;

  void Tick();
  void CancelAttempt(Attempt& attempt);
  void OnLoad(const Result<UpstreamLoad>& load, std::int64_t completed_clean_up);
  void OnCrash(const std::string& reason);
  void RequestCleanUp();
  void UpdateState();
  wire::UpstreamState::type ComputeState() const;
  wire::LoadReport Snapshot() const;
  std::vector<wire::CrashCount> CrashCounts(TimePoint now) const;
  nlohmann::json StateOnLoop() const;
  bool is_engine() const { return boot_.upstream.kind == "engine"; }

  settings::BootConfig boot_;
  std::unique_ptr<UpstreamPort> upstream_;
  std::unique_ptr<store::PlatformStore> store_;
  const Clock& clock_;
  std::int64_t incarnation_;
  Metrics metrics_;
  control::SettingsReplica replica_;
  link::EventLoop loop_;
  std::shared_ptr<link::LinkListener> listener_;
  Workers workers_;
  Canceller canceller_;
  AgentContext context_;
  AttemptTable attempts_;
  Generation generation_;
  Calls calls_;
  Reporter reporter_;
  Monitor monitor_;
  std::unique_ptr<EpochAcquirer> epoch_;

  /// Open links by pointer, each with its connection number.
  std::map<const link::Link*, std::pair<core::ConnectionId, std::shared_ptr<link::Link>>> links_;
  core::ConnectionId next_connection_ = 1;
  wire::UpstreamState::type state_ = wire::UpstreamState::STARTING;
  std::int64_t clean_up_number_ = 0;
  int failed_loads_ = 0;
  TimePoint last_settings_pull_;
  TimePoint idle_since_;
  std::atomic<bool> draining_{false};
  std::atomic<bool> drained_{false};
  std::atomic<std::size_t> active_{0};
  std::atomic<int> public_state_{wire::UpstreamState::STARTING};
  bool stopped_ = false;
};

}  // namespace rattanramp::agent
