// The entry process: owns and connects all of its components.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "base/http_server.h"
#include "base/metrics.h"
#include "control/settings_replica.h"
#include "control/settings_service.h"
#include "control/vm_directory.h"
#include "entry/active_requests.h"
#include "entry/agent_links.h"
#include "entry/attempt_registry.h"
#include "entry/caller_api.h"
#include "entry/crash_tracker.h"
#include "entry/fleet_table.h"
#include "entry/retry_budgets.h"
#include "entry/service_directory.h"
#include "link/event_loop.h"
#include "link/link_listener.h"
#include "settings/boot_config.h"
#include "store/platform_store.h"

namespace rattanramp::entry {

class Entry {
 public:
  /// Binds all addresses. Errors: kInvalidArgument (boot file), kIo (port in use).
  static Result<std::unique_ptr<Entry>> Create(const settings::BootConfig& boot,
                                               std::unique_ptr<store::PlatformStore> store);
  ~Entry();

  void Start();

  /// Refuses new requests and waits at most drain_timeout_ms for those in flight. Then aborts the
  /// remaining requests and returns their number.
  std::size_t Drain();
  /// Stops all threads.
  void Stop();

  int caller_port() const { return caller_server_->port(); }
  int operator_port() const { return operator_server_ ? operator_server_->port() : 0; }
  int link_port() const { return listener_ ? listener_->port() : 0; }

 private:
  Entry(const settings::BootConfig& boot, std::unique_ptr<store::PlatformStore> store);

  Result<void> Listen();
  void WaitForRequests(Milliseconds timeout) const;
  /// Returns a refusal while the entry is draining or has no settings, else nullopt.
  std::optional<Refusal> NotServingRefusal() const;
  nlohmann::json State() const;
  void OnVmListChanged();
  void RegisterUpstreamRoutes();

  settings::BootConfig boot_;
  std::unique_ptr<store::PlatformStore> store_;
  Metrics metrics_;
  control::SettingsReplica settings_;
  DirectoryCache directory_;
  FleetTable fleet_;
  AttemptRegistry attempts_;
  CrashTracker crash_tracker_;
  RetryBudgets budgets_;
  ActiveRequests active_;
  std::atomic<bool> draining_{false};
  std::atomic<bool> aborting_{false};
  bool stopped_ = false;

  link::EventLoop loop_;
  std::shared_ptr<AgentLinks> links_;
  std::shared_ptr<link::LinkListener> listener_;
  std::unique_ptr<control::SettingsService> settings_service_;
  std::unique_ptr<control::VmDirectory> vm_directory_;
  std::unique_ptr<CallerApi> api_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> operator_server_;
};

}  // namespace rattanramp::entry
