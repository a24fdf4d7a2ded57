#include "control/vm_directory.h"

#include <criterion/criterion.h>

#include "tests/support/fake_platform.h"

using rattanramp::control::SettingsReplica;
using rattanramp::control::VmChanges;
using rattanramp::control::VmDirectory;
using rattanramp::store::FakePlatform;
using rattanramp::store::Vm;
using rattanramp::store::VmList;
namespace wire = rattanramp::wire;

namespace {

Vm Agent(const std::string& id, bool leaving = false) {
  return {id, "agent", "127.0.0.1:1", "fd-a", "r", leaving};
}

}  // namespace

// Guards against an entry that removes agents while the platform is unavailable or returns an older
// list.
Test(vm_directory, keeps_the_newest_list) {
  FakePlatform platform;
  const SettingsReplica replica;
  VmDirectory directory(platform, replica, nullptr);
  platform.SetVms({5, {Agent("a")}});
  cr_assert(directory.PollOnce().value());
  platform.SetFault(FakePlatform::Fault::kDown);
  cr_assert(!directory.PollOnce().has_value());
  cr_assert(directory.current()->vms.size() == 1);
  platform.SetFault(FakePlatform::Fault::kNone);
  platform.SetVms({4, {}});
  cr_assert(!directory.PollOnce().value());
  cr_assert(directory.current()->vms.size() == 1);
}

// Guards against a listener that is called twice for one change, or is not called when a VM is
// removed, is leaving or has a new address.
Test(vm_directory, listener_receives_each_change_once) {
  FakePlatform platform;
  const SettingsReplica replica;
  std::vector<VmChanges> received;
  VmDirectory directory(platform, replica,
                        [&received](const VmChanges& changes) { received.push_back(changes); });
  cr_assert(directory.Apply({1, {Agent("a"), Agent("b"), Agent("c")}}));
  Vm moved = Agent("c");
  moved.link_address = "127.0.0.1:2";
  cr_assert(directory.Apply({2, {Agent("b", true), moved}}));
  cr_assert(directory.Apply({3, {Agent("b", true), moved}}));
  cr_assert(received.size() == 2);
  cr_assert(received[0].added.size() == 3 && received[0].removed.empty() &&
            received[0].leaving.empty());
  cr_assert(received[1].added.size() == 1 && received[1].added[0].link_address == "127.0.0.1:2");
  cr_assert(received[1].removed.size() == 2 && received[1].leaving.size() == 1);
}

// Guards against an entry that cannot start while the platform is unavailable although a peer entry
// has the list.
Test(vm_directory, receives_list_from_a_peer_while_the_platform_is_down) {
  FakePlatform platform;
  const SettingsReplica replica;
  VmDirectory peer(platform, replica, nullptr);
  cr_assert(peer.Apply({7, {Agent("a", true), {"e", "entry", "127.0.0.1:3", "fd-b", "r", false}}}));
  VmDirectory booting(platform, replica, nullptr);
  platform.SetFault(FakePlatform::Fault::kDown);
  cr_assert(!booting.PollOnce().has_value());
  const std::vector<wire::Frame> pull = booting.OnPeerUp();
  cr_assert(pull.size() == 1);
  const std::vector<wire::Frame> push = peer.OnVmListPull(pull[0].vm_list_pull);
  cr_assert(push.size() == 1);
  cr_assert(booting.OnVmListPush(push[0].vm_list_push));
  cr_assert(booting.current()->version == 7);
  cr_assert(booting.current()->vms[0].leaving && booting.current()->vms[1].role == "entry");
  cr_assert(booting.OnPeerUp().empty());
}
