// Failure tests for settings changes: an accepted change reaches every process, is never reverted,
// and operators receive the correct outcome.

#include <criterion/criterion.h>

#include <csignal>
#include <thread>

#include "tests/support/test_fleet.h"

using namespace rattanramp;           // NOLINT(google-build-using-namespace)
using namespace rattanramp::testing;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

// A change must be active in every process within 14 s.
constexpr Milliseconds kPropagationBound{14'000};

FleetSpec ThreeEntries() {
  FleetSpec spec;
  spec.entries = 3;
  spec.engines = {{"both", {}}, {"both", {}}};
  spec.settings = {{"services", {{"verdicts", {{"values", {{"model", kTestModel}}}}}}}};
  return spec;
}

json Change(const std::string& change_id, std::int64_t expected_version, int target_ms) {
  return {{"change_id", change_id},
          {"author", "operator"},
          {"expected_version", expected_version},
          {"operations", json::array({{{"op", "set"},
                                       {"path", "/services/verdicts"},
                                       {"key", "first_output_target_ms"},
                                       {"value", target_ms}}})}};
}

std::pair<int, json> Commit(const TestFleet& fleet, const std::string& entry, const json& change) {
  return PostJson(fleet.operator_url(entry), "/settings/changes", change);
}

std::int64_t VersionAt(const TestFleet& fleet, const std::string& process) {
  const json state = GetJson(fleet.operator_url(process), "/state");
  return state.is_object() ? state.value("settings_version", std::int64_t{-1}) : -1;
}

bool AllAtVersion(const TestFleet& fleet, std::int64_t version) {
  for (const char* name : {"entry-0", "entry-1", "entry-2", "agent-engine-0", "agent-engine-1"}) {
    if (VersionAt(fleet, name) != version) {
      return false;
    }
  }
  return true;
}

}  // namespace

// Guards against an accepted change that is lost because the platform fails right after it accepted
// the change.
Test(settings_proof, platform_fails_after_accepting_change) {
  const TestFleet fleet(ThreeEntries());
  cr_assert_eq(Commit(fleet, "entry-0", Change("c1", 1, 700)).first, 200);
  fleet.SetPlatformFault("down");
  cr_assert(WaitUntil([&] { return AllAtVersion(fleet, 2); }, kPropagationBound));
}

// Guards against two operators overwriting each other's change unnoticed. With the same expected
// version, one change must be accepted and the other refused with 409.
Test(settings_proof, concurrent_operator_changes) {
  const TestFleet fleet(ThreeEntries());
  std::pair<int, json> first;
  std::pair<int, json> second;
  std::thread a([&] { first = Commit(fleet, "entry-0", Change("a", 1, 700)); });
  std::thread b([&] { second = Commit(fleet, "entry-1", Change("b", 1, 800)); });
  a.join();
  b.join();
  cr_assert((first.first == 200) != (second.first == 200), "%d %d", first.first, second.first);
  cr_assert_eq(first.first == 200 ? second.first : first.first, 409);
  cr_assert(WaitUntil([&] { return AllAtVersion(fleet, 2); }, kPropagationBound));
}

// Guards against a change that takes effect twice, or is reported as refused, when the reply of the
// platform was lost and the operator repeats it.
Test(settings_proof, reply_lost_and_repeated) {
  const TestFleet fleet(ThreeEntries());
  fleet.SetPlatformFault("reply_lost");
  const std::pair<int, json> first = Commit(fleet, "entry-0", Change("c1", 1, 700));
  cr_assert(
      first.first == 200 || first.second.value("/error/outcome"_json_pointer, "") == "unknown",
      "%d %s", first.first, first.second.dump().c_str());
  fleet.SetPlatformFault("ok");
  const std::pair<int, json> repeat = Commit(fleet, "entry-1", Change("c1", 1, 700));
  cr_assert_eq(repeat.first, 200, "%d %s", repeat.first, repeat.second.dump().c_str());
  cr_assert(WaitUntil([&] { return AllAtVersion(fleet, 2); }, kPropagationBound));
}

// Guards against a process that was paused during a change and then keeps the old version or sends
// it to other processes.
Test(settings_proof, paused_entry_receives_new_version) {
  TestFleet fleet(ThreeEntries());
  fleet.process("entry-2").Signal(SIGSTOP);
  cr_assert_eq(Commit(fleet, "entry-0", Change("c1", 1, 700)).first, 200);
  fleet.SetPlatformFault("down");
  std::this_thread::sleep_for(Milliseconds(3'000));
  fleet.process("entry-2").Signal(SIGCONT);
  cr_assert(WaitUntil([&] { return AllAtVersion(fleet, 2); }, kPropagationBound));
}

// Guards against an entry that starts while the platform is down and serves without settings or
// with outdated ones.
Test(settings_proof, entry_starts_while_platform_is_down) {
  TestFleet fleet(ThreeEntries());
  cr_assert_eq(Commit(fleet, "entry-0", Change("c1", 1, 700)).first, 200);
  fleet.SetPlatformFault("down");
  fleet.process("entry-1").Kill();
  fleet.Restart("entry-1");
  cr_assert(WaitUntil([&] { return AllAtVersion(fleet, 2); }, kPropagationBound));
  cr_assert(
      WaitUntil([&] { return StreamCompletion(fleet.caller(1), "verdicts", "after boot", 5).done; },
                kPropagationBound));
}
