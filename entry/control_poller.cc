#include "entry/control_poller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "base/ids.h"
#include "base/log.h"

namespace rattanramp::entry {
namespace {

/// A process without settings serves nothing, so it asks more often.
constexpr Milliseconds kBootInterval{250};
constexpr const char* kSnapshotKey = "settings/snapshot";

}  // namespace

ControlPoller::ControlPoller(platform::PlatformStore& store, control::SettingsReplica& settings,
                             DirectoryCache& directory, ControlCallbacks callbacks)
    : store_(store), settings_(settings), directory_(directory), callbacks_(std::move(callbacks)) {}

ControlPoller::~ControlPoller() { Stop(); }

void ControlPoller::Start() {
  thread_ = std::thread([this] { Run(); });
}

void ControlPoller::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ControlPoller::Run() {
  // Jitter spreads the reads of many entries over the interval.
  std::minstd_rand random(static_cast<std::uint32_t>(NewIncarnation()));
  std::uniform_real_distribution<double> spread(0.75, 1.25);
  TimePoint settings_at = DefaultClock().now();
  TimePoint vms_at = settings_at;
  bool have_vms = false;
  while (true) {
    const TimePoint now = DefaultClock().now();
    if (now >= settings_at) {
      PollSettings();
      const bool booting = settings_.version() == 0;
      settings_at =
          now + (booting
                     ? Duration(kBootInterval)
                     : std::chrono::duration_cast<Duration>(SettingsInterval() * spread(random)));
    }
    if (now >= vms_at) {
      have_vms = PollVms() || have_vms;
      vms_at = now + (have_vms ? std::chrono::duration_cast<Duration>(VmInterval() * spread(random))
                               : Duration(kBootInterval));
    }
    std::unique_lock<std::mutex> lock(mutex_);
    if (wake_.wait_until(lock, std::min(settings_at, vms_at), [this] { return stopping_; })) {
      return;
    }
  }
}

void ControlPoller::PollSettings() {
  const Result<std::optional<platform::Row>> row = store_.Read(kSnapshotKey);
  if (!row || !row.value()) {
    return;
  }
  nlohmann::json snapshot = nlohmann::json::parse(row.value()->value, nullptr, false);
  if (!snapshot.is_object() || !snapshot.contains("tree") || !snapshot.contains("version") ||
      !snapshot["version"].is_number_integer()) {
    Log(LogLevel::kError, "settings_refused", {{"message", "settings/snapshot is malformed"}});
    return;
  }
  const std::int64_t version = snapshot["version"].get<std::int64_t>();
  if (version <= settings_.version()) {
    return;
  }
  Result<settings::SettingsTree> tree = settings::SettingsTree::FromJson(snapshot["tree"]);
  if (!tree) {
    Log(LogLevel::kError, "settings_refused", {{"message", tree.error().message}});
    return;
  }
  if (settings_.ApplySnapshot(version, std::move(tree.value()))) {
    Log(LogLevel::kInfo, "settings_applied", {{"version", version}, {"from", "platform"}});
    callbacks_.on_settings();
  }
}

bool ControlPoller::PollVms() {
  const Result<platform::VmList> list = store_.ListVms();
  if (!list) {
    return false;
  }
  callbacks_.on_vms(list.value());
  return true;
}

Duration ControlPoller::SettingsInterval() {
  return Milliseconds(directory_.current()->process.settings_poll_ms);
}

Duration ControlPoller::VmInterval() {
  return Milliseconds(directory_.current()->process.vm_poll_ms);
}

}  // namespace rattanramp::entry
