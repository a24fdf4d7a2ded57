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
  cr_assert_eq(core::ApplySnapshot(directory, both, now).added.size(), 2);
  now += Milliseconds(600);
  const std::vector<core::UpstreamInfo> one = {Info("a")};
  cr_assert_eq(core::ApplySnapshot(directory, one, now).removed.size(), 1);
}

// Guards against losing the whole fleet after an outage of the list, in which entries expire
// although their upstreams live; one that is still missing after 2 s is gone.
Test(upstream_directory, entries_that_lapsed_in_an_outage_are_waited_for) {
  core::UpstreamDirectory directory;
  TimePoint now{};
  const std::vector<core::UpstreamInfo> both = {Info("a"), Info("b")};
  core::ApplySnapshot(directory, both, now);
  now += Milliseconds(5'000);
  cr_assert(core::ApplySnapshot(directory, {}, now).removed.empty());
  now += Milliseconds(600);
  const std::vector<core::UpstreamInfo> one = {Info("a")};
  cr_assert(core::ApplySnapshot(directory, one, now).removed.empty());
  for (int i = 0; i < 4; ++i) {
    now += Milliseconds(600);
    core::ApplySnapshot(directory, one, now);
  }
  cr_assert_eq(directory.upstreams.size(), 1);
  cr_assert(directory.upstreams.contains("a"));
}

// Guards against taking a restarted process for the one before it.
Test(upstream_directory, new_start_time_is_a_change) {
  core::UpstreamDirectory directory;
  TimePoint now{};
  std::vector<core::UpstreamInfo> list = {Info("a")};
  core::ApplySnapshot(directory, list, now);
  list[0].started_unix_ms = 5;
  cr_assert_eq(core::ApplySnapshot(directory, list, now).updated.size(), 1);
}
