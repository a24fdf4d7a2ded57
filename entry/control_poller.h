// Reads settings and VM list from the platform until the settings service of control/ replaces it.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "base/clock.h"
#include "control/settings_replica.h"
#include "entry/service_directory.h"
#include "platform/platform_store.h"

namespace rattanramp::entry {

/// Called on the poller's thread.
struct ControlCallbacks {
  std::function<void()> on_settings;
  std::function<void(const platform::VmList&)> on_vms;
};

/// Owns the control thread. A platform that is down leaves settings and VM list as they are.
class ControlPoller {
 public:
  ControlPoller(platform::PlatformStore& store, control::SettingsReplica& settings,
                DirectoryCache& directory, ControlCallbacks callbacks);
  ~ControlPoller();

  void Start();
  void Stop();

 private:
  void Run();
  void PollSettings();
  bool PollVms();
  Duration SettingsInterval();
  Duration VmInterval();

  platform::PlatformStore& store_;
  control::SettingsReplica& settings_;
  DirectoryCache& directory_;
  ControlCallbacks callbacks_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace rattanramp::entry
