#include "core/membership.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

using namespace rattanramp::core;  // NOLINT

namespace {

int In(int low, int high) { return *rc::gen::inRange(low, high + 1); }

std::string Text(const char* prefix, int number) { return prefix + std::to_string(number); }

AgentReport Ready(const std::string& id) {
  AgentReport report;
  report.id = id;
  report.incarnation = 1;
  report.state = AgentState::kReady;
  report.linked = true;
  return report;
}

}  // namespace

// Guards against a merge that deviates from the rules of MergeMembership. The result is compared
// with the rules applied separately to each id.
Test(membership, equals_rules_applied_per_id) {
  cr_assert(rc::check("merge equals the rules per id", [] {
    std::vector<ListedVm> list;
    std::vector<AgentReport> reports;
    for (int i = In(0, 12); i > 0; --i) {
      list.push_back({Text("a", In(0, 9)), Text("list", In(0, 9)), "d-list", "r", In(0, 2) == 0});
    }
    for (int i = In(0, 12); i > 0; --i) {
      AgentReport report = Ready(Text("a", In(0, 9)));
      report.incarnation = In(1, 2);
      report.sequence = i;
      report.state = static_cast<AgentState>(In(0, 3));
      report.linked = In(0, 2) > 0;
      report.failure_domain = In(0, 1) == 0 ? "" : "d-own";
      reports.push_back(report);
    }
    std::map<std::string, Member> merged;
    std::string previous;
    for (const Member& member : MergeMembership(list, reports)) {
      RC_ASSERT(previous < member.id);
      previous = member.id;
      merged[member.id] = member;
    }
    for (int i = 0; i <= 9; ++i) {
      const std::string id = Text("a", i);
      bool listed = false;
      bool leaving = false;
      for (const ListedVm& vm : list) {
        listed = listed || vm.id == id;
        leaving = leaving || (vm.id == id && vm.leaving);
      }
      const AgentReport* report = nullptr;
      for (const AgentReport& other : reports) {
        if (other.id == id &&
            (report == nullptr || other.incarnation > report->incarnation ||
             (other.incarnation == report->incarnation && other.sequence > report->sequence))) {
          report = &other;
        }
      }
      const bool linked = report != nullptr && report->linked;
      RC_ASSERT(merged.count(id) == (listed || linked ? 1U : 0U));
      if (merged.count(id) == 0) {
        continue;
      }
      leaving = leaving || (report != nullptr && report->state == AgentState::kLeaving);
      const Member& member = merged[id];
      RC_ASSERT(member.usable == (linked && report->state == AgentState::kReady && !leaving));
      RC_ASSERT(member.leaving == leaving);
      RC_ASSERT(member.should_link == !leaving);
      RC_ASSERT(member.listed == listed);
      RC_ASSERT(member.linked == linked);
      const bool own_domain = report != nullptr && !report->failure_domain.empty();
      RC_ASSERT(member.failure_domain == (own_domain ? "d-own" : listed ? "d-list" : ""));
    }
  }));
}

// Guards against agents that work but become unusable because the platform's list is empty or
// unavailable.
Test(membership, linked_agents_stay_usable_with_an_empty_list) {
  const std::vector<Member> members = MergeMembership({}, std::vector<AgentReport>{Ready("a")});
  cr_assert_eq(members.size(), 1);
  cr_assert(members[0].usable);
}

// Guards against new work for an agent that the list or its own report marks as leaving, and
// against a late report of an old incarnation that makes the agent usable again.
Test(membership, leaving_in_either_source_stops_new_work) {
  const std::vector<ListedVm> list_with_leaving_vm = {{"a", "1:1", "d", "r", true}};
  const std::vector<ListedVm> list_with_active_vm = {{"a", "1:1", "d", "r", false}};
  cr_assert_not(
      MergeMembership(list_with_leaving_vm, std::vector<AgentReport>{Ready("a")})[0].usable);
  AgentReport leaving = Ready("a");
  leaving.state = AgentState::kLeaving;
  leaving.incarnation = 2;
  const std::vector<AgentReport> reports = {leaving, Ready("a")};
  const Member member = MergeMembership(list_with_active_vm, reports)[0];
  cr_assert_not(member.usable);
  cr_assert_not(member.should_link);
  cr_assert(member.linked);
}
