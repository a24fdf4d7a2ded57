// Manages the links of the entry: outgoing links to agents and peer entries, and incoming links
// from peer entries.
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

/// Objects that are used or updated by link events. All of them must outlive the links.
struct LinkContext {
  const Clock& clock;
  control::SettingsReplica& settings;
  FleetTable& fleet;
  AttemptRegistry& attempts;
  CrashTracker& crash_tracker;
  Metrics& metrics;
};

/// Thread-safe. The event loop calls the LinkHandler methods.
class AgentLinks : public link::LinkHandler, public std::enable_shared_from_this<AgentLinks> {
 public:
  /// options is called before each address is dialled for the first time.
  AgentLinks(link::EventLoop& loop, std::function<link::LinkOptions()> options,
             LinkIdentity identity, LinkContext context);

  /// Sets the directory that serves VM list requests of peer entries. Must be called before the
  /// first link is created; the directory must outlive the links.
  void SetVmDirectory(control::VmDirectory* directory) { vm_directory_ = directory; }

  /// Dials addresses from the boot file. These are redialled until the process stops.
  void DialFixed(const std::vector<std::string>& addresses);
  /// Dials all agents and a subset of the entries in the list.
  void ApplyVmList(const store::VmList& list);
  /// Sends a Drain frame to the agent. Errors: those of Send.
  Result<void> Drain(const std::string& agent_id, const std::string& reason);
  /// Stops dialling addresses that are no longer in the VM list and have no link. The list can be
  /// out of date, so a link that is up is kept: requests may be using it.
  void StopUnlistedDialers();
  /// Dials an agent of the VM list that this entry has not dialled yet. Errors: kNotFound (not in
  /// the list), kInvalidArgument (bad address).
  Result<void> DialOnDemand(const std::string& agent_id);
  void StopAll();

  /// Errors: kUnavailable (no link), kOverloaded (send queue full), kInvalidArgument (frame too
  /// large). After an error nothing was sent.
  Result<void> Send(const std::string& agent_id, const wire::Frame& frame);

  /// Sends a Cancel frame. If that fails, queues it until the link is up again.
  void Cancel(const std::string& agent_id, const std::string& attempt_id,
              const std::string& reason);

  /// Empty when there is no link to the agent.
  std::optional<std::int64_t> IncarnationOf(const std::string& agent_id) const;

  /// Sends the settings to every linked process whose last reported version is older.
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
    /// Version and time of the last settings push. Heartbeats repeat it only after
    /// kSettingsRepeatInterval.
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
  /// Records the peer's settings version; pushes newer settings or pulls when the peer has newer
  /// ones.
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
