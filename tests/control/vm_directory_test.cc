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

// Guards against agents being forgotten while the platform is down or answers an old list.
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

// Guards against a listener that is told of a change twice, or not of a VM that leaves or moves.
Test(vm_directory, listener_sees_each_difference_once) {
  FakePlatform platform;
  const SettingsReplica replica;
  std::vector<VmChanges> seen;
  VmDirectory directory(platform, replica,
                        [&seen](const VmChanges& changes) { seen.push_back(changes); });
  cr_assert(directory.Apply({1, {Agent("a"), Agent("b"), Agent("c")}}));
  Vm moved = Agent("c");
  moved.link_address = "127.0.0.1:2";
  cr_assert(directory.Apply({2, {Agent("b", true), moved}}));
  cr_assert(directory.Apply({3, {Agent("b", true), moved}}));
  cr_assert(seen.size() == 2);
  cr_assert(seen[0].added.size() == 3 && seen[0].removed.empty() && seen[0].leaving.empty());
  cr_assert(seen[1].added.size() == 1 && seen[1].added[0].link_address == "127.0.0.1:2");
  cr_assert(seen[1].removed.size() == 2 && seen[1].leaving.size() == 1);
}

// Guards against an entry that cannot boot while the platform is down although a peer has the list.
Test(vm_directory, boots_from_a_peer) {
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
