// VM list of an entry: polled from the platform, or received from a peer entry while the platform
// is unavailable.
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

/// Differences between two VM lists. A VM whose link address, role, failure domain or region
/// changed is in both removed and added. A VM that was leaving and no longer is leaving is in
/// added.
struct VmChanges {
  std::vector<store::Vm> added;
  std::vector<store::Vm> removed;
  /// VMs that are leaving now and before were either not leaving or not listed. Those that were not
  /// listed are also in added.
  std::vector<store::Vm> leaving;
};

VmChanges CompareVmLists(const store::VmList& before, const store::VmList& after);

/// Keeps the VM list with the highest version. The last list is kept while the platform is
/// unavailable. All functions may be called from any thread.
class VmDirectory {
 public:
  /// Called with every change, one call at a time, on the thread that applied the new list.
  using Listener = std::function<void(const VmChanges&)>;

  /// store and replica must outlive the directory.
  VmDirectory(store::PlatformStore& store, const SettingsReplica& replica, Listener listener);

  /// Polls the platform every vm_poll_ms, with jitter, on a separate thread.
  void Start();
  void Stop();

  /// Reads the list from the platform once. Returns whether it was applied because its version is
  /// higher. Error: that of the platform.
  Result<bool> PollOnce();

  /// Replaces the current list when the given list has a higher version. Returns whether it did.
  bool Apply(store::VmList list);

  /// Never null. Version 0 means that no list has been received yet.
  std::shared_ptr<const store::VmList> current() const;

  /// To be called when a link to a peer entry is up. Returns a VmListPull for the peer when this
  /// process has no list yet, otherwise nothing.
  std::vector<wire::Frame> OnPeerUp() const;
  /// Returns the answer to a VmListPull; empty when this process has no newer list.
  std::vector<wire::Frame> OnVmListPull(const wire::VmListPull& pull) const;
  /// Applies the list of a peer. Returns whether it had a higher version than the current list.
  bool OnVmListPush(const wire::VmListPush& push);

 private:
  Milliseconds PollInterval() const;

  store::PlatformStore& store_;
  const SettingsReplica& replica_;
  Listener listener_;
  /// Held while a list is applied and the listener runs, so that the listener receives the changes
  /// in order.
  std::mutex apply_mutex_;
  mutable std::mutex mutex_;
  std::shared_ptr<const store::VmList> current_;
  bool platform_failed_ = false;
  PollThread thread_;
};

}  // namespace rattanramp::control
