// Links of the entry: to agents, to peer entries, and from peer entries.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "control/settings_replica.h"
#include "control/vm_directory.h"
#include "entry/attempt_registry.h"
#include "entry/crash_tracker.h"
#include "entry/fleet_table.h"
#include "link/event_loop.h"
#include "link/link_dialer.h"
#include "store/platform_store.h"

namespace rattanramp::entry {

struct LinkIdentity {
  std::string id;
  std::int64_t incarnation = 0;
  std::string failure_domain;
  std::string region;
};

/// Parts that link events change. All of them outlive the links.
struct LinkContext {
  const Clock& clock;
  control::SettingsReplica& settings;
  FleetTable& fleet;
  AttemptRegistry& attempts;
  CrashTracker& crash_tracker;
  Metrics& metrics;
};

/// Safe from any thread; the LinkHandler calls are made by the event loop.
class AgentLinks : public link::LinkHandler, public std::enable_shared_from_this<AgentLinks> {
 public:
  /// options is asked before each address is dialled for the first time.
  AgentLinks(link::EventLoop& loop, std::function<link::LinkOptions()> options,
             LinkIdentity identity, LinkContext context);

  /// Directory that answers peers' questions about the VM list. Set before the first link; it
  /// outlives the links.
  void SetVmDirectory(control::VmDirectory* directory) { vm_directory_ = directory; }

  /// Addresses from the boot file; these are dialled for the whole life of the process.
  void DialFixed(const std::vector<std::string>& addresses);
  /// Dials the agents and some of the entries in the list.
  void ApplyVmList(const store::VmList& list);
  /// Asks an agent to drain. Errors: those of Send.
  Result<void> Drain(const std::string& agent_id, const std::string& reason);
  /// Stops dialling addresses that have left the list and whose link is down. The list lags, so a
  /// link that is up is kept: requests may run over it.
  void StopUnlistedDialers();
  /// Dials an agent of the VM list that is outside the subset. Errors: kNotFound (not in the
  /// list), kInvalidArgument (bad address).
  Result<void> DialOnDemand(const std::string& agent_id);
  void StopAll();

  /// Errors: kUnavailable (no link), kOverloaded (send queue full), kInvalidArgument (frame too
  /// large). After an error nothing was sent.
  Result<void> Send(const std::string& agent_id, const wire::Frame& frame);

  /// Sends Cancel, or keeps it until the link is up again.
  void Cancel(const std::string& agent_id, const std::string& attempt_id,
              const std::string& reason);

  /// Empty when there is no link to the agent.
  std::optional<std::int64_t> IncarnationOf(const std::string& agent_id) const;

  /// Sends the settings to every linked process that is known to have an older version.
  void PushSettings();

  nlohmann::json Dump() const;

  wire::Hello LocalHello() override;
  std::int64_t SettingsVersion() override;
  void OnUp(const std::shared_ptr<link::Link>& link) override;
  void OnFrame(const std::shared_ptr<link::Link>& link, wire::Frame frame) override;
  void OnDown(const std::shared_ptr<link::Link>& link, const Error& reason) override;

 private:
  struct Peer {
    std::shared_ptr<link::Link> link;
    std::int64_t settings_version = 0;
    /// Version and time of the last push, so that heartbeats do not repeat it.
    std::int64_t pushed_version = 0;
    TimePoint pushed_at;
    TimePoint pulled_at;
  };
  struct DialTarget {
    std::shared_ptr<link::LinkDialer> dialer;
    bool fixed = false;
  };
  struct PendingCancel {
    std::string attempt_id;
    std::string reason;
    TimePoint queued_at;
  };

  Result<void> Dial(const std::string& address, bool fixed);
  std::vector<std::string> AddressesToDial(const store::VmList& list) const;
  void OnAgentFrame(const std::string& agent_id, wire::Frame frame);
  void SendPendingCancels(const std::shared_ptr<link::Link>& link);
  void SyncSettings(const std::shared_ptr<link::Link>& link, std::int64_t version);
  void ApplySettings(const std::shared_ptr<link::Link>& link, const wire::SettingsPush& push);
  void MergeCrashes(const std::shared_ptr<link::Link>& from,
                    const std::vector<wire::CrashCount>& crashes);
  bool IsLinked(const std::string& address) const;

  link::EventLoop& loop_;
  std::function<link::LinkOptions()> options_;
  LinkIdentity identity_;
  LinkContext context_;
  control::VmDirectory* vm_directory_ = nullptr;

  mutable std::mutex mutex_;
  std::map<std::string, DialTarget> dial_targets_;
  store::VmList vms_;
  /// Links by process id.
  std::map<std::string, Peer> agents_;
  std::map<std::string, Peer> entries_;
  std::map<std::string, std::vector<PendingCancel>> pending_cancels_;
};

}  // namespace rattanramp::entry
