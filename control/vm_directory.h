// VM list in an entry: polled from the platform, or taken from a peer while the platform is down.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "control/poll_thread.h"
#include "control/settings_replica.h"
#include "store/platform_store.h"
#include "wire/gen-cpp/rattanramp_types.h"

namespace rattanramp::control {

/// Differences between two VM lists. A VM that got another link address, role, failure domain or
/// region is in both removed and added; one that was leaving and is live again is in added.
struct VmChanges {
  std::vector<store::Vm> added;
  std::vector<store::Vm> removed;
  /// VMs that were live or unknown before and are leaving now; unknown ones are also in added.
  std::vector<store::Vm> leaving;
};

VmChanges CompareVmLists(const store::VmList& before, const store::VmList& after);

/// Keeps the list with the highest version. While the platform is down the last list stays.
/// Safe from any thread.
class VmDirectory {
 public:
  /// Called with every change, one call at a time, on the thread that brought the new list.
  using Listener = std::function<void(const VmChanges&)>;

  /// store and replica must outlive the directory.
  VmDirectory(store::PlatformStore& store, const SettingsReplica& replica, Listener listener);

  /// Polls the platform every vm_poll_ms, with jitter, on a thread of its own.
  void Start();
  void Stop();

  /// Reads the list once. Error: that of the platform.
  Result<bool> PollOnce();

  /// Takes a list when its version is higher. Returns whether it was taken.
  bool Apply(store::VmList list);

  /// Never null. Version 0 means that no list is known yet.
  std::shared_ptr<const store::VmList> current() const;

  /// To call when a link to a peer entry is up: asks for its list as long as none is known.
  std::vector<wire::Frame> OnPeerUp() const;
  /// Answer to a VmListPull; none when this process has nothing newer.
  std::vector<wire::Frame> OnVmListPull(const wire::VmListPull& pull) const;
  /// Returns whether the list was taken.
  bool OnVmListPush(const wire::VmListPush& push);

 private:
  Milliseconds PollInterval() const;

  store::PlatformStore& store_;
  const SettingsReplica& replica_;
  Listener listener_;
  /// Held while the listener runs, so that it sees changes in order.
  std::mutex apply_mutex_;
  mutable std::mutex mutex_;
  std::shared_ptr<const store::VmList> current_;
  bool platform_failed_ = false;
  PollThread thread_;
};

}  // namespace rattanramp::control
