// The gateway process: accepts callers' requests, reads the platform's tables and sends each
// request to the upstream that is expected to answer first.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/result.h"
#include "core/routing_table.h"
#include "core/upstream_directory.h"
#include "gateway/caller_connection.h"
#include "gateway/caller_memory.h"
#include "gateway/config_evidence.h"
#include "gateway/config_intake.h"
#include "gateway/crash_records.h"
#include "gateway/dispatcher.h"
#include "gateway/event_loop_delay.h"
#include "gateway/fleet.h"
#include "gateway/gateway_state.h"
#include "gateway/load_exchange.h"
#include "gateway/request_context.h"
#include "gateway/return_check.h"
#include "gateway/settings.h"
#include "gateway/speed_exchange.h"
#include "gateway/stage_controller.h"
#include "gateway/store_watch.h"
#include "gateway/suspicion_exchange.h"
#include "gateway/workspace_limiter.h"
#include "platform/config_format.h"

namespace rattanramp::gateway {

class Gateway final : private CallerHost, private StoreListener, private ConfigIntake::Listener {
 public:
  /// Binds all ports. Errors: kIo names the address.
  static Result<std::unique_ptr<Gateway>> Create(asio::io_context& context, const Clock& clock,
                                                 Settings settings, StoreSource source);
  ~Gateway() override;

  /// Starts the shutdown. core/stop_plan decides which requests are still accepted and started; the
  /// others are refused as not run. Requests that are open at the forced end are ended with what is
  /// known of their outcome. Then this gateway's row is removed, and `done` is called. Connections
  /// are accepted until then. A stop_grace that is reloaded later does not apply to this stop.
  void Stop(std::function<void()> done);

  /// Applies the settings that can change while the process runs: retry_bound and stop_grace.
  void Reload(const Settings& settings);

  /// True when the configuration and the list of upstreams have been read and no stop has begun.
  bool is_ready() const;
  std::string StateDump() const;

 private:
  /// Serves the readiness check, the metrics and the state dump.
  class StatusHost;

  Gateway(asio::io_context& context, const Clock& clock, Settings settings);

  Result<void> Listen(asio::ip::tcp::acceptor& acceptor, const asio::ip::tcp::endpoint& endpoint);
  void Accept(asio::ip::tcp::acceptor& acceptor, CallerHost& host);
  /// Accepts connections again where there is room for them.
  void ResumeAccepting();
  /// Whether another connection may be accepted. May close one that is idle.
  bool HasRoomFor(CallerHost& host);
  void Tick();
  void CheckStopped();
  bool AcceptsWork(const RequestContext& request);
  std::size_t OpenRequests() const;
  void OnListNews(const core::ListNews& news);
  void UpdateBlockedCauses();
  /// Time since the store has last answered a call for the configuration; negative: never.
  double ConfigAnswerAgeMs() const;
  nlohmann::json ConfigState() const;
  void LogInvalidUpstreams(const std::vector<std::string>& keys);
  /// Applies a list of upstreams to the directory and the fleet, and tells the peers which
  /// upstreams leave.
  void ApplyUpstreams(std::span<const core::UpstreamInfo> upstreams,
                      const core::ListInterruption& interruption, TimePoint read_at);

  std::unique_ptr<Exchange> StartExchange(CallerSink& sink, http::RequestHead head,
                                          std::string body) override;
  core::CallerLimits caller_limits() const override;
  bool is_stopping() const override { return state_.stop.has_value(); }
  void OnConnectionEnd(const CallerConnection* connection) override;
  CallerMemory* memory() override { return &caller_memory_; }

  void OnConfigRow(const std::string& text, const core::StorePosition& row) override {
    config_intake_.Take(text, row);
  }
  void OnConfigEvidence(const core::ConfigEvidence& evidence, TimePoint sent) override;
  void OnConfigAnswer(ConfigAnswer answer) override;
  void OnTable(std::shared_ptr<const core::RoutingTable> table) override;
  void OnRowTaken(const core::StorePosition& row, const std::string& text, RowUse use) override;
  void OnUpstreamRows(const std::vector<store::TableRow>& rows,
                      const core::ListInterruption& interruption, std::int64_t clock_ms,
                      TimePoint read_at) override;
  std::optional<TimePoint> NextRemoval() const override { return core::NextRemoval(directory_); }
  std::size_t ListPeers() const override;
  void OnGatewayRows(const std::map<std::string, std::string>& rows) override;

  asio::io_context& context_;
  const Clock& clock_;
  Settings settings_;
  Metrics metrics_;
  Fleet fleet_;
  Dispatcher dispatcher_;
  std::map<std::string, core::RetryWindow> retry_windows_;
  GatewayState state_;
  WorkspaceLimiter limiter_;
  ReturnCheck return_check_;
  core::UpstreamDirectory directory_;
  core::ListView list_view_;
  platform::UpstreamCache upstream_cache_;
  /// Keys of the unreadable rows in the last list.
  std::set<std::string> invalid_upstreams_;
  /// Latest read of the list that a peer has announced, by the store's clock.
  std::int64_t heard_list_clock_ms_ = 0;
  std::shared_ptr<const core::RoutingTable> table_;
  ConfigIntake config_intake_;
  ConfigEvidenceSection config_evidence_;
  SpeedExchange speed_exchange_;
  SuspicionExchange suspicion_exchange_;
  std::unique_ptr<LoadExchange> load_exchange_;
  std::unique_ptr<StoreWatch> watch_;
  std::unique_ptr<StageController> stage_controller_;
  std::unique_ptr<CrashRecords> crash_records_;
  /// The blocked causes that were logged.
  std::set<core::Cause> logged_causes_;
  std::unique_ptr<StatusHost> status_host_;
  asio::ip::tcp::acceptor caller_acceptor_;
  asio::ip::tcp::acceptor readiness_acceptor_;
  asio::ip::tcp::acceptor metrics_acceptor_;
  asio::steady_timer tick_timer_;
  EventLoopDelay loop_delay_{metrics_};
  CallerMemory caller_memory_;
  /// Reserved for the readiness check, the metrics and the state dump.
  CallerMemory status_memory_;
  /// Acceptors that wait for room or for a descriptor.
  std::vector<std::pair<asio::ip::tcp::acceptor*, CallerHost*>> waiting_acceptors_;
  std::map<const CallerConnection*, std::shared_ptr<CallerConnection>> connections_;
  /// No request is running any more, and none is accepted.
  bool is_finishing_ = false;
  bool is_deregistered_ = false;
  std::function<void()> on_stopped_;
};

}  // namespace rattanramp::gateway
