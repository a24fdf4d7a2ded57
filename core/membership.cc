#include "core/membership.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace rattanramp::core {
namespace {

const std::string& ReportedOrListed(const std::string& reported, const std::string& listed) {
  return reported.empty() ? listed : reported;
}

/// The newest report of each agent, by id.
std::vector<const AgentReport*> NewestReports(std::span<const AgentReport> reports) {
  std::vector<const AgentReport*> sorted;
  sorted.reserve(reports.size());
  for (const AgentReport& report : reports) {
    sorted.push_back(&report);
  }
  std::sort(sorted.begin(), sorted.end(), [](const AgentReport* a, const AgentReport* b) {
    return std::tie(a->id, b->incarnation, b->sequence) <
           std::tie(b->id, a->incarnation, a->sequence);
  });
  sorted.erase(
      std::unique(sorted.begin(), sorted.end(),
                  [](const AgentReport* a, const AgentReport* b) { return a->id == b->id; }),
      sorted.end());
  return sorted;
}

/// One record per id, ordered by id. Of several records with one id, one that is leaving is kept.
std::vector<const ListedVm*> DistinctVms(std::span<const ListedVm> list) {
  std::vector<const ListedVm*> sorted;
  sorted.reserve(list.size());
  for (const ListedVm& vm : list) {
    sorted.push_back(&vm);
  }
  std::sort(sorted.begin(), sorted.end(), [](const ListedVm* a, const ListedVm* b) {
    return std::tie(a->id, b->leaving) < std::tie(b->id, a->leaving);
  });
  sorted.erase(std::unique(sorted.begin(), sorted.end(),
                           [](const ListedVm* a, const ListedVm* b) { return a->id == b->id; }),
               sorted.end());
  return sorted;
}

/// Either source may be null, but not both.
Member Merge(const ListedVm* vm, const AgentReport* report) {
  static const ListedVm unlisted;
  static const AgentReport unreported;
  const ListedVm& listed = vm == nullptr ? unlisted : *vm;
  const AgentReport& reported = report == nullptr ? unreported : *report;
  Member member;
  member.id = vm == nullptr ? reported.id : listed.id;
  member.link_address = ReportedOrListed(reported.link_address, listed.link_address);
  member.failure_domain = ReportedOrListed(reported.failure_domain, listed.failure_domain);
  member.region = ReportedOrListed(reported.region, listed.region);
  member.listed = vm != nullptr;
  member.linked = reported.linked;
  member.leaving = listed.leaving || reported.state == AgentState::kLeaving;
  member.usable = member.linked && reported.state == AgentState::kReady && !member.leaving;
  member.should_link = !member.leaving;
  return member;
}

}  // namespace

std::vector<Member> MergeMembership(std::span<const ListedVm> list,
                                    std::span<const AgentReport> reports) {
  const std::vector<const ListedVm*> vms = DistinctVms(list);
  const std::vector<const AgentReport*> newest = NewestReports(reports);
  std::vector<Member> members;
  members.reserve(vms.size());
  std::vector<const AgentReport*>::const_iterator report = newest.begin();
  for (const ListedVm* vm : vms) {
    for (; report != newest.end() && (*report)->id < vm->id; ++report) {
      if ((*report)->linked) {
        members.push_back(Merge(nullptr, *report));
      }
    }
    const bool reported = report != newest.end() && (*report)->id == vm->id;
    members.push_back(Merge(vm, reported ? *report : nullptr));
    if (reported) {
      ++report;
    }
  }
  for (; report != newest.end(); ++report) {
    if ((*report)->linked) {
      members.push_back(Merge(nullptr, *report));
    }
  }
  return members;
}

}  // namespace rattanramp::core
