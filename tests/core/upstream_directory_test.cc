#include "core/upstream_directory.h"

#include <criterion/criterion.h>

using namespace rattanramp;

namespace {

core::UpstreamInfo Info(const std::string& id) {
  core::UpstreamInfo info;
  info.id = id;
  info.service = "s";
  return info;
}

}  // namespace

// Guards against sending to an upstream that left without a notice: its entry just disappears.
Test(upstream_directory, missing_upstream_is_removed_at_once) {
  core::UpstreamDirectory directory;
  TimePoint now{};
  const std::vector<core::UpstreamInfo> both = {Info("a"), Info("b")};
  cr_assert_eq(core::ApplySnapshot(directory, both, false, now).added.size(), 2);
  now += Milliseconds(600);
  const std::vector<core::UpstreamInfo> one = {Info("a")};
  cr_assert_eq(core::ApplySnapshot(directory, one, false, now).removed.size(), 1);
}

// Guards against losing the whole fleet after an outage of the list, in which entries expire
// although their upstreams live; one that is still missing after 2 s is gone.
Test(upstream_directory, missing_entries_are_kept_for_a_time_after_an_outage) {
  // A frozen VM makes no call that fails; an outage shorter than that shows in a failed call.
  for (const auto& [gap_ms, has_failed] : {std::pair{5'000, false}, {2'500, true}}) {
    core::UpstreamDirectory directory;
    TimePoint now{};
    const std::vector<core::UpstreamInfo> both = {Info("a"), Info("b")};
    core::ApplySnapshot(directory, both, false, now);
    now += Milliseconds(gap_ms);
    cr_assert(core::ApplySnapshot(directory, {}, has_failed, now).removed.empty());
    now += Milliseconds(600);
    const std::vector<core::UpstreamInfo> one = {Info("a")};
    cr_assert(core::ApplySnapshot(directory, one, false, now).removed.empty());
    for (int i = 0; i < 4; ++i) {
      now += Milliseconds(600);
      core::ApplySnapshot(directory, one, false, now);
    }
    cr_assert_eq(directory.upstreams.size(), 1);
    cr_assert(directory.upstreams.contains("a"));
  }
}

// Guards against a slow pace of reading being taken for an outage: upstreams that had left were
// kept for 2 s more and got requests too late (DRAIN, trouble-1 of both grown sites).
Test(upstream_directory, usual_read_interval_is_not_an_outage) {
  core::UpstreamDirectory directory;
  TimePoint now{};
  const std::vector<core::UpstreamInfo> both = {Info("a"), Info("b")};
  core::ApplySnapshot(directory, both, false, now);
  now += Milliseconds(2'300);
  const std::vector<core::UpstreamInfo> one = {Info("a")};
  cr_assert_eq(core::ApplySnapshot(directory, one, false, now).removed.size(), 1);
}

// Guards against taking a restarted process for the one before it.
Test(upstream_directory, new_start_time_is_a_change) {
  core::UpstreamDirectory directory;
  TimePoint now{};
  std::vector<core::UpstreamInfo> list = {Info("a")};
  core::ApplySnapshot(directory, list, false, now);
  list[0].started_unix_ms = 5;
  cr_assert_eq(core::ApplySnapshot(directory, list, false, now).updated.size(), 1);
}
