// Settings service of an entry: polls the platform for settings, commits changes requested by
// operators and serves the HTTP routes under /settings.
#pragma once

#include <cstdint>
#include <functional>
#include <mutex>

#include "base/clock.h"
#include "base/http_server.h"
#include "base/result.h"
#include "control/poll_thread.h"
#include "control/settings_replica.h"
#include "control/settings_store.h"
#include "store/platform_store.h"

namespace rattanramp::control {

/// All functions may be called from any thread.
class SettingsService {
 public:
  /// Called with a SettingsPush frame after this process has committed and applied a change. The
  /// callback sends the frame over all links of the process. Runs on an HTTP thread.
  using PushCallback = std::function<void(const wire::Frame&)>;

  /// store, replica and clock must outlive the service.
  SettingsService(store::PlatformStore& store, SettingsReplica& replica, const Clock& clock,
                  PushCallback push);

  /// Polls the platform every settings_poll_ms, with jitter, on a separate thread.
  void Start();
  void Stop();

  /// Updates the replica from the platform. Returns whether its version increased. Errors: those of
  /// CatchUp.
  Result<bool> PollOnce();

  /// Commits a change. When it is accepted, applies it to the replica and calls the push callback.
  ChangeResult Change(const ChangeRequest& request);

  /// Registers GET /settings, /settings/history and /settings/explain and POST /settings/changes.
  /// The service must outlive the server.
  void RegisterRoutes(HttpServer& server);

 private:
  Milliseconds PollInterval() const;

  store::PlatformStore& store_;
  SettingsReplica& replica_;
  const Clock& clock_;
  PushCallback push_;
  std::mutex mutex_;
  bool poll_failed_ = false;
  PollThread thread_;
};

}  // namespace rattanramp::control
