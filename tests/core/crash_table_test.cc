#include "core/crash_table.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace rattanramp;        // NOLINT
using namespace rattanramp::core;  // NOLINT

namespace {

// Uses a fixed size, because rapidcheck otherwise narrows the ranges in the first cases and rare
// steps are hardly ever generated.
int In(int low, int high) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high + 1));
}
TimePoint At(int ms) { return TimePoint(Milliseconds(ms)); }
constexpr int kTtlMs = 100;

CrashRecord RandomRecord(int now) {
  CrashRecord record;
  record.fingerprint = In(1, 3);
  record.upstream = std::string(1, static_cast<char>('a' + In(0, 2)));
  record.upstream_incarnation = In(1, 2);
  record.at = At(now);
  record.cleared = In(0, 5) == 0;
  return record;
}

/// Computes the expected count from the list of all records.
std::int32_t CountNaively(const std::vector<CrashRecord>& records, std::int64_t fingerprint,
                          int now) {
  TimePoint cleared = At(-1);
  for (const CrashRecord& record : records) {
    if (record.fingerprint == fingerprint && record.cleared) {
      cleared = std::max(cleared, record.at);
    }
  }
  std::set<std::pair<std::string, std::int64_t>> upstreams;
  for (const CrashRecord& record : records) {
    if (record.fingerprint == fingerprint && !record.cleared && record.at > cleared &&
        At(now) - record.at < Milliseconds(kTtlMs)) {
      upstreams.insert({record.upstream, record.upstream_incarnation});
    }
  }
  return static_cast<std::int32_t>(upstreams.size());
}

}  // namespace

// Guards against crash counts that depend on the order or repetition of reports. Entries receive
// reports in different orders, so their counts would then differ.
Test(crash_table, count_is_independent_of_report_order) {
  cr_assert(rc::check("count is independent of order and repetition", [] {
    std::vector<CrashRecord> records;
    int now = 0;
    for (int i = 0; i < 30; ++i) {
      now += In(0, 12);
      records.push_back(RandomRecord(now));
    }
    CrashTable table;
    for (const CrashRecord& record : records) {
      MergeCrash(table, record);
    }
    CrashTable shuffled;
    for (int i = 0; i < 60; ++i) {
      MergeCrash(shuffled, records[static_cast<std::size_t>(In(0, 29))]);
    }
    std::reverse(records.begin(), records.end());
    for (const CrashRecord& record : records) {
      MergeCrash(shuffled, record);
    }
    // The records that one process reports reproduce its counts in another process.
    CrashTable copy;
    for (const CrashRecord& record : CrashRecords(table)) {
      MergeCrash(copy, record);
    }
    for (std::int64_t fingerprint = 1; fingerprint <= 4; ++fingerprint) {
      const std::int32_t expected = CountNaively(records, fingerprint, now);
      for (CrashTable* any : {&table, &shuffled, &copy}) {
        const Milliseconds ttl(kTtlMs);
        RC_ASSERT(CrashCountOf(*any, fingerprint, ttl, At(now)) == expected);
      }
      EvictOldCrashes(copy, Milliseconds(kTtlMs), At(now));
      RC_ASSERT(CrashCountOf(copy, fingerprint, Milliseconds(kTtlMs), At(now)) == expected);
    }
  }));
}

// Guards against a request that remains suspected of crashing upstreams after it has completed.
Test(crash_table, completed_run_clears_earlier_crashes) {
  CrashTable table;
  MergeCrash(table, CrashRecord{5, "a", 1, At(10), false});
  cr_assert_eq(CrashCountOf(table, 5, Milliseconds(kTtlMs), At(20)), 1);
  ClearCrashes(table, 5, "a", 2, At(20));
  cr_assert_eq(CrashCountOf(table, 5, Milliseconds(kTtlMs), At(20)), 0);
  MergeCrash(table, CrashRecord{5, "a", 2, At(30), false});
  cr_assert_eq(CrashCountOf(table, 5, Milliseconds(kTtlMs), At(30)), 1);
}
