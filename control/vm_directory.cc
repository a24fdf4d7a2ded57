#include "control/vm_directory.h"

#include <map>
#include <string_view>
#include <utility>

#include "base/log.h"

namespace rattanramp::control {
namespace {

/// Upper bound of the poll interval until the first VM list and the first settings are received.
constexpr Milliseconds kBootPollInterval{1000};

using VmsById = std::map<std::string_view, const store::Vm*>;

VmsById IndexById(const store::VmList& list) {
  VmsById index;
  for (const store::Vm& vm : list.vms) {
    index.emplace(vm.id, &vm);
  }
  return index;
}

bool IsSameExceptLeaving(const store::Vm& a, const store::Vm& b) {
  return a.role == b.role && a.link_address == b.link_address &&
         a.failure_domain == b.failure_domain && a.region == b.region;
}

wire::VmRecord ToRecord(const store::Vm& vm) {
  wire::VmRecord record;
  record.id = vm.id;
  record.role = vm.role == "agent" ? wire::ProcessRole::AGENT : wire::ProcessRole::ENTRY;
  record.link_address = vm.link_address;
  record.failure_domain = vm.failure_domain;
  record.region = vm.region;
  record.leaving = vm.leaving;
  return record;
}

store::Vm FromRecord(const wire::VmRecord& record) {
  return {record.id,           record.role == wire::ProcessRole::AGENT ? "agent" : "entry",
          record.link_address, record.failure_domain,
          record.region,       record.leaving};
}

}  // namespace

VmChanges CompareVmLists(const store::VmList& before, const store::VmList& after) {
  const VmsById old_vms = IndexById(before);
  const VmsById new_vms = IndexById(after);
  VmChanges changes;
  for (const auto& [id, vm] : old_vms) {
    const VmsById::const_iterator next = new_vms.find(id);
    if (next == new_vms.end() || !IsSameExceptLeaving(*vm, *next->second)) {
      changes.removed.push_back(*vm);
    }
  }
  for (const auto& [id, vm] : new_vms) {
    const VmsById::const_iterator previous = old_vms.find(id);
    const bool known = previous != old_vms.end() && IsSameExceptLeaving(*previous->second, *vm);
    const bool was_leaving = known && previous->second->leaving;
    if (!known || (was_leaving && !vm->leaving)) {
      changes.added.push_back(*vm);
    }
    if (vm->leaving && !was_leaving) {
      changes.leaving.push_back(*vm);
    }
  }
  return changes;
}

VmDirectory::VmDirectory(store::PlatformStore& store, const SettingsReplica& replica,
                         Listener listener)
    : store_(store),
      replica_(replica),
      listener_(std::move(listener)),
      current_(std::make_shared<store::VmList>()),
      thread_([this] { static_cast<void>(PollOnce()); }, [this] { return PollInterval(); }) {}

void VmDirectory::Start() { thread_.Start(); }

void VmDirectory::Stop() { thread_.Stop(); }

Result<bool> VmDirectory::PollOnce() {
  Result<store::VmList> list = store_.ListVms();
  const bool failed = !list.has_value();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (failed != platform_failed_) {
      Log(failed ? LogLevel::kWarning : LogLevel::kInfo,
          failed ? "vm_list_unavailable" : "vm_list_available",
          {{"version", current_->version}, {"error", failed ? list.error().message : ""}});
    }
    platform_failed_ = failed;
  }
  if (failed) {
    return list.error();
  }
  return Apply(std::move(list.value()));
}

bool VmDirectory::Apply(store::VmList list) {
  const std::lock_guard<std::mutex> apply_lock(apply_mutex_);
  const std::shared_ptr<const store::VmList> before = current();
  if (list.version <= before->version) {
    return false;
  }
  const std::shared_ptr<const store::VmList> after =
      std::make_shared<store::VmList>(std::move(list));
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    current_ = after;
  }
  const VmChanges changes = CompareVmLists(*before, *after);
  const bool has_changes =
      !changes.added.empty() || !changes.removed.empty() || !changes.leaving.empty();
  if (has_changes && listener_) {
    listener_(changes);
  }
  return true;
}

std::shared_ptr<const store::VmList> VmDirectory::current() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return current_;
}

std::vector<wire::Frame> VmDirectory::OnPeerUp() const {
  if (current()->version > 0) {
    return {};
  }
  wire::VmListPull pull;
  pull.have_version = 0;
  wire::Frame frame;
  frame.__set_vm_list_pull(pull);
  return {frame};
}

std::vector<wire::Frame> VmDirectory::OnVmListPull(const wire::VmListPull& pull) const {
  const std::shared_ptr<const store::VmList> list = current();
  if (list->version <= pull.have_version) {
    return {};
  }
  wire::VmListPush push;
  push.version = list->version;
  for (const store::Vm& vm : list->vms) {
    push.vms.push_back(ToRecord(vm));
  }
  wire::Frame frame;
  frame.__set_vm_list_push(push);
  return {frame};
}

bool VmDirectory::OnVmListPush(const wire::VmListPush& push) {
  store::VmList list;
  list.version = push.version;
  for (const wire::VmRecord& record : push.vms) {
    list.vms.push_back(FromRecord(record));
  }
  return Apply(std::move(list));
}

Milliseconds VmDirectory::PollInterval() const {
  const Milliseconds interval(replica_.current()->tree.Resolve("", "", "").vm_poll_ms);
  // Until the settings are received, interval is the default of vm_poll_ms. The configured value
  // may differ from it greatly.
  const bool booting = current()->version == 0 || replica_.version() == 0;
  return booting ? std::min(interval, kBootPollInterval) : interval;
}

}  // namespace rattanramp::control
