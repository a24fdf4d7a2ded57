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

constexpr core::ListInterruption kNone;

/// A failed call, with an answer of the store `outage_ms` after the one before.
core::ListInterruption Failure(int outage_ms = 300) { return {true, Milliseconds(outage_ms)}; }

}  // namespace

// Guards against sending requests to an upstream that exited without draining: its entry disappears
// from the list without notice.
Test(upstream_directory, missing_upstream_is_removed_at_once) {
  core::UpstreamDirectory directory;
  TimePoint now{};
  const std::vector<core::UpstreamInfo> both = {Info("a"), Info("b")};
  cr_assert_eq(core::ApplySnapshot(directory, both, kNone, now).added.size(), 2);
  now += Milliseconds(600);
  const std::vector<core::UpstreamInfo> one = {Info("a")};
  cr_assert_eq(core::ApplySnapshot(directory, one, kNone, now).removed.size(), 1);
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
    core::ApplySnapshot(directory, both, kNone, now);
    now += Milliseconds(gap_ms);
    cr_assert(
        core::ApplySnapshot(directory, {}, {has_failed, Milliseconds(0)}, now).removed.empty());
    now += Milliseconds(600);
    const std::vector<core::UpstreamInfo> one = {Info("a")};
    cr_assert(core::ApplySnapshot(directory, one, kNone, now).removed.empty());
    for (int i = 0; i < 4; ++i) {
      now += Milliseconds(600);
      core::ApplySnapshot(directory, one, kNone, now);
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
  core::ApplySnapshot(directory, both, kNone, now);
  now += Milliseconds(2'300);
  const std::vector<core::UpstreamInfo> one = {Info("a")};
  cr_assert_eq(core::ApplySnapshot(directory, one, kNone, now).removed.size(), 1);
}

// Guards against treating a restarted process as its previous incarnation.
Test(upstream_directory, new_start_time_is_a_change) {
  core::UpstreamDirectory directory;
  TimePoint now{};
  std::vector<core::UpstreamInfo> list = {Info("a")};
  core::ApplySnapshot(directory, list, kNone, now);
  list[0].started_unix_ms = 5;
  cr_assert_eq(core::ApplySnapshot(directory, list, kNone, now).updated.size(), 1);
}

// Guards against the rule DRAIN, review case 8: calls that fail after the end of an outage, or
// lists of peers that arrive while own reads fail, keep an upstream in use that has left before it.
Test(upstream_directory, further_failures_do_not_keep_a_missing_upstream) {
  core::UpstreamDirectory directory;
  TimePoint now{};
  const std::vector<core::UpstreamInfo> both = {Info("a"), Info("b")};
  const std::vector<core::UpstreamInfo> one = {Info("a")};
  core::ApplySnapshot(directory, both, kNone, now);
  now += Milliseconds(1'500);
  const TimePoint returned = now;
  core::DirectoryChange change = core::ApplySnapshot(directory, one, Failure(1'500), now);
  cr_assert(change.removed.empty());
  cr_assert_eq(change.missing.size(), 1);
  cr_assert_eq(*core::NextRemoval(directory), now + core::kReregistrationTime);
  while (directory.upstreams.size() > 1 && now - returned < Milliseconds(10'000)) {
    now += Milliseconds(400);
    core::ApplySnapshot(directory, one, Failure(400), now);
  }
  cr_expect_leq(now - returned, core::kReregistrationTime + Milliseconds(400));
  cr_expect(!core::NextRemoval(directory));
}

// Guards against removing running upstreams that could not register again because the store was
// away a second time.
Test(upstream_directory, second_outage_keeps_missing_upstreams_again) {
  core::UpstreamDirectory directory;
  TimePoint now{};
  const std::vector<core::UpstreamInfo> both = {Info("a"), Info("b")};
  const std::vector<core::UpstreamInfo> one = {Info("a")};
  core::ApplySnapshot(directory, both, kNone, now);
  now += Milliseconds(5'000);
  core::ApplySnapshot(directory, one, Failure(5'000), now);
  now += Milliseconds(2'200);
  core::ApplySnapshot(directory, one, Failure(2'000), now);
  now += Milliseconds(2'000);
  cr_expect(core::ApplySnapshot(directory, one, kNone, now).removed.empty());
  now += Milliseconds(300);
  cr_expect_eq(core::ApplySnapshot(directory, one, kNone, now).removed.size(), 1);
}

// Guards against keeping an upstream that registered again and then left, as if it were still
// missing since the outage.
Test(upstream_directory, upstream_that_came_back_is_no_longer_kept) {
  core::UpstreamDirectory directory;
  TimePoint now{};
  const std::vector<core::UpstreamInfo> both = {Info("a"), Info("b")};
  const std::vector<core::UpstreamInfo> one = {Info("a")};
  core::ApplySnapshot(directory, both, kNone, now);
  now += Milliseconds(5'000);
  core::ApplySnapshot(directory, one, Failure(), now);
  now += Milliseconds(1'900);
  core::ApplySnapshot(directory, both, kNone, now);
  cr_expect(!core::NextRemoval(directory));
  now += Milliseconds(600);
  cr_expect_eq(core::ApplySnapshot(directory, one, kNone, now).removed.size(), 1);
}

// Guards against counting calls that were answered soon after a failure as an outage, and against
// missing an outage that a peer's list ends.
Test(store_contact, outage_is_the_time_between_answers_around_a_failure) {
  core::StoreContact contact;
  TimePoint now{};
  core::RecordStoreAnswer(contact, now);
  now += Milliseconds(2'000);
  core::RecordStoreAnswer(contact, now);
  cr_expect_eq(core::TakeInterruption(contact).outage, Duration::zero());
  core::RecordStoreFailure(contact);
  now += Milliseconds(700);
  core::RecordStoreAnswer(contact, now);
  core::RecordStoreFailure(contact);
  now += Milliseconds(200);
  core::RecordStoreAnswer(contact, now);
  const core::ListInterruption interruption = core::TakeInterruption(contact);
  cr_expect(interruption.has_failed);
  cr_expect_eq(interruption.outage, Milliseconds(700));
  cr_expect(!core::TakeInterruption(contact).has_failed);
}
