#include "entry/agent_links.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace rattanramp::entry {
namespace {

/// Number of peer entries from the VM list that this entry connects to. Entries forward notices and
/// settings to each other, so a few links are enough. A full mesh of 360 entries would exceed
/// 28 KB/s in heartbeats alone.
constexpr std::size_t kPeerEntries = 8;
/// Minimum time before a settings push or pull to the same process is repeated. A repeat is due
/// when its heartbeats still report a different settings version.
constexpr Milliseconds kSettingsRepeatInterval{2'000};
/// Maximum age of a Cancel that is queued for a link that is down. Older ones are dropped when the
/// link is up again: the lease has expired by then, so the agent has already dropped the attempt.
constexpr Milliseconds kMaxPendingCancelAge{30'000};
constexpr std::size_t kMaxPendingCancels = 1'000;

bool IsAgent(const link::Link& link) { return link.peer().role == wire::ProcessRole::AGENT; }

template <typename Message>
RequestEvent MakeEvent(std::string Message::*id, Message& message) {
  RequestEvent event;
  event.attempt_id = message.*id;
  event.body = std::make_unique<Message>(std::move(message));
  return event;
}

void SendAll(const std::shared_ptr<link::Link>& link, const std::vector<wire::Frame>& frames) {
  for (const wire::Frame& frame : frames) {
    // On failure the link is dialled again, and the frames are requested again over the new link.
    static_cast<void>(link->Send(frame));
  }
}

wire::Frame CancelFrame(const std::string& attempt_id, const std::string& reason) {
  wire::Cancel cancel;
  cancel.attempt_id = attempt_id;
  cancel.reason = reason;
  wire::Frame frame;
  frame.__set_cancel(cancel);
  return frame;
}

}  // namespace

AgentLinks::AgentLinks(link::EventLoop& loop, std::function<link::LinkOptions()> options,
                       LinkIdentity identity, LinkContext context)
    : loop_(loop),
      options_(std::move(options)),
      identity_(std::move(identity)),
      context_(context) {}

void AgentLinks::DialFixed(const std::vector<std::string>& addresses) {
  for (const std::string& address : addresses) {
    const Result<void> dialled = Dial(address, true);
    if (!dialled) {
      Log(LogLevel::kError, "dial_failed",
          {{"address", address}, {"message", dialled.error().message}});
    }
  }
}

Result<void> AgentLinks::Dial(const std::string& address, bool fixed) {
  const link::LinkOptions options = options_();
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = dial_targets_.find(address);
  if (found != dial_targets_.end()) {
    found->second.fixed = found->second.fixed || fixed;
    return Success();
  }
  BOOST_OUTCOME_TRY(dialer, link::LinkDialer::Create(loop_, address, options, weak_from_this()));
  dialer->Start();
  dial_targets_[address] = {std::move(dialer), fixed};
  return Success();
}

std::vector<std::string> AgentLinks::AddressesToDial(const store::VmList& list) const {
  std::vector<std::string> addresses;
  std::vector<std::pair<std::uint64_t, std::string>> entries;
  for (const store::Vm& vm : list.vms) {
    if (vm.link_address.empty() || vm.id == identity_.id) {
      continue;
    }
    if (vm.role == "agent") {
      addresses.push_back(vm.link_address);
    } else {
      entries.emplace_back(Hash64(vm.id, Hash64(identity_.id)), vm.link_address);
    }
  }
  std::sort(entries.begin(), entries.end());
  for (std::size_t i = 0; i < entries.size() && i < kPeerEntries; ++i) {
    addresses.push_back(entries[i].second);
  }
  return addresses;
}

void AgentLinks::ApplyVmList(const store::VmList& list) {
  const std::vector<std::string> addresses = AddressesToDial(list);
  for (const std::string& address : addresses) {
    const Result<void> dialled = Dial(address, false);
    if (!dialled) {
      Log(LogLevel::kWarning, "dial_failed",
          {{"address", address}, {"message", dialled.error().message}});
    }
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    vms_ = list;
  }
  StopUnlistedDialers();
}

void AgentLinks::StopUnlistedDialers() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::vector<std::string> addresses = AddressesToDial(vms_);
  std::erase_if(dial_targets_, [&](const auto& item) {
    const bool listed =
        std::find(addresses.begin(), addresses.end(), item.first) != addresses.end();
    if (listed || item.second.fixed || IsLinked(item.first)) {
      return false;
    }
    item.second.dialer->Stop();
    return true;
  });
}

Result<void> AgentLinks::Drain(const std::string& agent_id, const std::string& reason) {
  wire::Drain drain;
  drain.reason = reason;
  wire::Frame frame;
  frame.__set_drain(drain);
  return Send(agent_id, frame);
}

Result<void> AgentLinks::DialOnDemand(const std::string& agent_id) {
  std::string address;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const store::Vm& vm : vms_.vms) {
      if (vm.id == agent_id) {
        address = vm.link_address;
      }
    }
  }
  if (address.empty()) {
    return Error{ErrorKind::kNotFound, "agent '" + agent_id + "' is not in the VM list",
                 "retry later with the same idempotency key"};
  }
  return Dial(address, false);
}

void AgentLinks::StopAll() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [address, target] : dial_targets_) {
    target.dialer->Stop();
  }
  dial_targets_.clear();
}

Result<void> AgentLinks::Send(const std::string& agent_id, const wire::Frame& frame) {
  std::shared_ptr<link::Link> link;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = agents_.find(agent_id);
    if (found != agents_.end()) {
      link = found->second.link;
    }
  }
  if (!link) {
    return Error{ErrorKind::kUnavailable, "no link to agent '" + agent_id + "'",
                 "retry later, or check that the agent is running and reachable"};
  }
  return link->Send(frame);
}

void AgentLinks::Cancel(const std::string& agent_id, const std::string& attempt_id,
                        const std::string& reason) {
  if (Send(agent_id, CancelFrame(attempt_id, reason))) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<PendingCancel>& pending = pending_cancels_[agent_id];
  if (pending.size() < kMaxPendingCancels) {
    pending.push_back({attempt_id, reason, context_.clock.now()});
  }
}

std::optional<std::int64_t> AgentLinks::IncarnationOf(const std::string& agent_id) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = agents_.find(agent_id);
  if (found == agents_.end()) {
    return std::nullopt;
  }
  return found->second.link->peer().incarnation;
}

void AgentLinks::PushSettings() {
  std::vector<std::pair<std::shared_ptr<link::Link>, std::int64_t>> links;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const std::map<std::string, Peer>* group : {&agents_, &entries_}) {
      for (const auto& [id, peer] : *group) {
        links.emplace_back(peer.link, peer.settings_version);
      }
    }
  }
  for (const auto& [link, version] : links) {
    SyncSettings(link, version);
  }
}

nlohmann::json AgentLinks::Dump() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  nlohmann::json dump = {{"dialled", nlohmann::json::array()},
                         {"agents", nlohmann::json::array()},
                         {"entries", nlohmann::json::array()},
                         {"vm_list_version", vms_.version}};
  for (const auto& [address, target] : dial_targets_) {
    dump["dialled"].push_back(address);
  }
  const auto add = [](nlohmann::json& rows, const std::map<std::string, Peer>& group) {
    for (const auto& [id, peer] : group) {
      rows.push_back({{"id", id},
                      {"address", peer.link->remote_address()},
                      {"incarnation", peer.link->peer().incarnation},
                      {"settings_version", peer.settings_version}});
    }
  };
  add(dump["agents"], agents_);
  add(dump["entries"], entries_);
  return dump;
}

wire::Hello AgentLinks::LocalHello() {
  wire::Hello hello;
  hello.protocol_version = wire::kProtocolVersion;
  hello.process_id = identity_.id;
  hello.role = wire::ProcessRole::ENTRY;
  hello.incarnation = identity_.incarnation;
  hello.failure_domain = identity_.failure_domain;
  hello.region = identity_.region;
  hello.settings_version = context_.settings.version();
  return hello;
}

std::int64_t AgentLinks::SettingsVersion() { return context_.settings.version(); }

void AgentLinks::OnUp(const std::shared_ptr<link::Link>& link) {
  const wire::Hello& hello = link->peer();
  const bool agent = IsAgent(*link);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    Peer peer;
    peer.link = link;
    peer.settings_version = hello.settings_version;
    (agent ? agents_ : entries_)[hello.process_id] = std::move(peer);
  }
  Log(LogLevel::kInfo, "link_up",
      {{"peer", hello.process_id}, {"address", link->remote_address()}});
  SyncSettings(link, hello.settings_version);
  if (!agent) {
    SendAll(link, vm_directory_->OnPeerUp());
  } else {
    context_.fleet.OnLinkUp(hello);
    SendPendingCancels(link);
    context_.attempts.NotifyLinkRestored(hello.process_id, hello.incarnation);
    if (context_.fleet.IsListedLeaving(hello.process_id)) {
      static_cast<void>(Drain(hello.process_id, "its VM is listed as leaving"));
    }
  }
}

void AgentLinks::OnDown(const std::shared_ptr<link::Link>& link, const Error& reason) {
  const std::string& id = link->peer().process_id;
  const bool agent = IsAgent(*link);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::map<std::string, Peer>& group = agent ? agents_ : entries_;
    const auto found = group.find(id);
    // A newer link to the same process may have replaced this one.
    if (found == group.end() || found->second.link != link) {
      return;
    }
    group.erase(found);
  }
  Log(LogLevel::kWarning, "link_down", {{"peer", id}, {"reason", reason.message}});
  context_.metrics.Count("links_lost_total");
  if (agent) {
    context_.fleet.OnLinkDown(id);
    context_.attempts.NotifyLinkLost(id);
  }
}

void AgentLinks::OnFrame(const std::shared_ptr<link::Link>& link, wire::Frame frame) {
  if (frame.__isset.heartbeat) {
    SyncSettings(link, frame.heartbeat.settings_version);
    return;
  }
  if (frame.__isset.settings_pull) {
    wire::Frame answer;
    answer.__set_settings_push(context_.settings.MakePush(frame.settings_pull.have_version));
    static_cast<void>(link->Send(answer));
    return;
  }
  if (frame.__isset.settings_push) {
    ApplySettings(link, frame.settings_push);
    return;
  }
  if (frame.__isset.suspicion_notice) {
    MergeCrashes(link, frame.suspicion_notice.crashes);
    return;
  }
  if (!IsAgent(*link)) {
    if (frame.__isset.vm_list_pull) {
      SendAll(link, vm_directory_->OnVmListPull(frame.vm_list_pull));
    } else if (frame.__isset.vm_list_push) {
      static_cast<void>(vm_directory_->OnVmListPush(frame.vm_list_push));
    }
    return;
  }
  if (frame.__isset.load_report) {
    MergeCrashes(link, frame.load_report.crashes);
  } else if (frame.__isset.attempt_end) {
    MergeCrashes(link, frame.attempt_end.crashes);
  }
  OnAgentFrame(link->peer().process_id, std::move(frame));
}

void AgentLinks::OnAgentFrame(const std::string& agent_id, wire::Frame frame) {
  if (frame.__isset.load_report) {
    context_.fleet.OnReport(agent_id, frame.load_report);
    return;
  }
  RequestEvent event;
  if (frame.__isset.chunk) {
    event = MakeEvent(&wire::Chunk::attempt_id, frame.chunk);
  } else if (frame.__isset.granted) {
    event = MakeEvent(&wire::Granted::attempt_id, frame.granted);
  } else if (frame.__isset.refused) {
    if (frame.refused.__isset.load) {
      context_.fleet.OnReport(agent_id, frame.refused.load);
    }
    event = MakeEvent(&wire::Refused::attempt_id, frame.refused);
  } else if (frame.__isset.prefill_done) {
    event = MakeEvent(&wire::PrefillDone::attempt_id, frame.prefill_done);
  } else if (frame.__isset.attempt_end) {
    event = MakeEvent(&wire::End::attempt_id, frame.attempt_end);
  } else if (frame.__isset.key_issued) {
    event = MakeEvent(&wire::KeyIssued::request_id, frame.key_issued);
  } else {
    return;
  }
  static_cast<void>(context_.attempts.Deliver(std::move(event)));
}

void AgentLinks::SendPendingCancels(const std::shared_ptr<link::Link>& link) {
  std::vector<PendingCancel> pending;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = pending_cancels_.find(link->peer().process_id);
    if (found == pending_cancels_.end()) {
      return;
    }
    pending = std::move(found->second);
    pending_cancels_.erase(found);
  }
  const TimePoint now = context_.clock.now();
  for (const PendingCancel& cancel : pending) {
    if (now - cancel.queued_at < kMaxPendingCancelAge) {
      static_cast<void>(link->Send(CancelFrame(cancel.attempt_id, cancel.reason)));
    }
  }
}

void AgentLinks::SyncSettings(const std::shared_ptr<link::Link>& link, std::int64_t version) {
  const std::int64_t own_version = context_.settings.version();
  const TimePoint now = context_.clock.now();
  wire::Frame frame;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::map<std::string, Peer>& group = IsAgent(*link) ? agents_ : entries_;
    const auto found = group.find(link->peer().process_id);
    if (found == group.end() || found->second.link != link) {
      return;
    }
    Peer& peer = found->second;
    peer.settings_version = std::max(peer.settings_version, version);
    if (peer.settings_version < own_version) {
      if (peer.pushed_version >= own_version && now - peer.pushed_at < kSettingsRepeatInterval) {
        return;
      }
      peer.pushed_version = own_version;
      peer.pushed_at = now;
      frame.__set_settings_push(context_.settings.MakePush(peer.settings_version));
    } else if (peer.settings_version > own_version) {
      if (now - peer.pulled_at < kSettingsRepeatInterval) {
        return;
      }
      peer.pulled_at = now;
      wire::SettingsPull pull;
      pull.have_version = own_version;
      frame.__set_settings_pull(pull);
    } else {
      return;
    }
  }
  static_cast<void>(link->Send(frame));
}

void AgentLinks::ApplySettings(const std::shared_ptr<link::Link>& link,
                               const wire::SettingsPush& push) {
  const Result<bool> applied = context_.settings.Apply(push);
  if (applied) {
    if (applied.value()) {
      Log(LogLevel::kInfo, "settings_applied",
          {{"version", context_.settings.version()}, {"from", link->peer().process_id}});
      PushSettings();
    }
    return;
  }
  if (applied.error().kind == ErrorKind::kNotFound) {
    wire::Frame frame;
    frame.__set_settings_pull(wire::SettingsPull());
    static_cast<void>(link->Send(frame));
    return;
  }
  Log(LogLevel::kError, "settings_refused",
      {{"from", link->peer().process_id}, {"message", applied.error().message}});
}

void AgentLinks::MergeCrashes(const std::shared_ptr<link::Link>& from,
                              const std::vector<wire::CrashCount>& crashes) {
  if (crashes.empty()) {
    return;
  }
  const std::vector<wire::CrashCount> changed =
      context_.crash_tracker.Merge(crashes, context_.clock.now());
  if (changed.empty()) {
    return;
  }
  wire::SuspicionNotice notice;
  notice.crashes = changed;
  wire::Frame frame;
  frame.__set_suspicion_notice(notice);
  std::vector<std::shared_ptr<link::Link>> links;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [id, peer] : entries_) {
      if (peer.link != from) {
        links.push_back(peer.link);
      }
    }
  }
  for (const std::shared_ptr<link::Link>& link : links) {
    static_cast<void>(link->Send(frame));
  }
}

bool AgentLinks::IsLinked(const std::string& address) const {
  const auto at_address = [&address](const auto& item) {
    return item.second.link->remote_address() == address;
  };
  return std::any_of(agents_.begin(), agents_.end(), at_address) ||
         std::any_of(entries_.begin(), entries_.end(), at_address);
}

}  // namespace rattanramp::entry
