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

// Guards against sending requests to an upstream that exited without draining: its entry disappears
// from the list without notice.
Test(upstream_directory, missing_upstream_is_removed_at_once) {
  core::UpstreamDirectory directory;
  TimePoint now{};
  const std::vector<core::UpstreamInfo> both = {Info("a"), Info("b")};
  cr_assert_eq(core::ApplySnapshot(directory, both, false, now).added.size(), 2);
  now += Milliseconds(600);
  const std::vector<core::UpstreamInfo> one = {Info("a")};
  cr_assert_eq(core::ApplySnapshot(directory, one, false, now).removed.size(), 1);
}

// Guards against removing all upstreams after an outage of the list, during which entries expire
// although their upstreams are running. An upstream that is still missing after 2 s is removed.
Test(upstream_directory, missing_entries_are_kept_for_a_time_after_an_outage) {
  // A frozen VM sends no read that could fail, so only the long gap shows the outage. An outage
  // with a shorter gap is detected by a failed read.
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

// Guards against treating a long read interval as an outage: upstreams that had exited were kept
// for 2 s more and received requests too late (violation of the rule DRAIN on benchmark day
// trouble-1, in both enlarged deployments).
Test(upstream_directory, usual_read_interval_is_not_an_outage) {
  core::UpstreamDirectory directory;
  TimePoint now{};
  const std::vector<core::UpstreamInfo> both = {Info("a"), Info("b")};
  core::ApplySnapshot(directory, both, false, now);
  now += Milliseconds(2'300);
  const std::vector<core::UpstreamInfo> one = {Info("a")};
  cr_assert_eq(core::ApplySnapshot(directory, one, false, now).removed.size(), 1);
}

// Guards against treating a restarted process as its previous incarnation.
Test(upstream_directory, new_start_time_is_a_change) {
  core::UpstreamDirectory directory;
  TimePoint now{};
  std::vector<core::UpstreamInfo> list = {Info("a")};
  core::ApplySnapshot(directory, list, false, now);
  list[0].started_unix_ms = 5;
  cr_assert_eq(core::ApplySnapshot(directory, list, false, now).updated.size(), 1);
}
