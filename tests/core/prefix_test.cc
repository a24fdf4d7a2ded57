#include "core/prefix.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "base/hash.h"

using namespace rattanramp;        // NOLINT
using namespace rattanramp::core;  // NOLINT

namespace {

constexpr std::size_t kMaxBlocks = 1'000;

int In(int low, int high) { return *rc::gen::inRange(low, high + 1); }

/// An engine's cache and its event stream; contents_at[s] is the content of the cache after event
/// s.
struct CacheModel {
  std::vector<CacheEvent> events;
  std::vector<std::set<std::int64_t>> contents_at = {{}};

  void Step() {
    std::set<std::int64_t> now = contents_at.back();
    const std::int64_t block = In(1, 12);
    const bool stored = now.count(block) == 0;
    if (stored) {
      now.insert(block);
    } else {
      now.erase(block);
    }
    events.push_back({static_cast<std::int64_t>(contents_at.size()), block, stored});
    contents_at.push_back(now);
  }
};

std::set<std::int64_t> CachedBlocks(const PrefixIndex& index, std::uint32_t engine) {
  std::set<std::int64_t> blocks;
  std::vector<CachedPrefix> found;
  for (std::int64_t block = 1; block <= 12; ++block) {
    index.Lookup(std::vector<std::int64_t>{block}, kMaxBlocks, found);
    if (std::any_of(found.begin(), found.end(),
                    [engine](const CachedPrefix& cached) { return cached.engine == engine; })) {
      blocks.insert(block);
    }
  }
  return blocks;
}

bool IsSubset(const std::set<std::int64_t>& subset, const std::set<std::int64_t>& superset) {
  return std::includes(superset.begin(), superset.end(), subset.begin(), subset.end());
}

}  // namespace

// Guards against block hashes that differ from those that the engines report, which would make
// every lookup fail.
Test(prefix, block_hashes_are_chained) {
  const std::string prompt = std::string(kBlockBytes, 'a') + std::string(kBlockBytes, 'b') + "tail";
  const std::vector<std::int64_t> hashes = BlockHashes(prompt);
  cr_assert_eq(hashes.size(), 2);
  cr_assert_eq(hashes[0], SignedHash64(std::string(kBlockBytes, 'a'), 0));
  cr_assert_eq(hashes[1],
               SignedHash64(std::string(kBlockBytes, 'b'), static_cast<std::uint64_t>(hashes[0])));
  cr_assert(BlockHashes(std::string(kBlockBytes - 1, 'a')).empty());
}

// Guards against lookups that report blocks which were evicted before the last known event. This
// can occur when events are lost, late or duplicated.
Test(prefix, reports_no_block_evicted_before_the_last_event) {
  cr_assert(rc::check("reported blocks are a subset of the cache at the last known event", [] {
    CacheModel model;
    PrefixIndex index(kMaxBlocks);
    std::vector<CacheEvent> delayed;
    std::int64_t last = 0;
    const int loss = In(0, 2);
    for (int step = 0; step < 150; ++step) {
      model.Step();
      std::vector<CacheEvent> batch;
      const int delivery = In(0, 9);
      if (delivery >= loss) {
        batch.push_back(model.events.back());
      } else if (delivery == 0) {
        delayed.push_back(model.events.back());
      }
      if (delivery == 8) {
        batch.push_back(model.events[static_cast<std::size_t>(In(0, step))]);
      }
      if (delivery == 9 && !delayed.empty()) {
        batch.push_back(delayed.back());
        delayed.pop_back();
      }
      for (const CacheEvent& event : batch) {
        last = std::max(last, event.sequence);
      }
      index.Apply(3, 7, batch);
      RC_ASSERT(
          IsSubset(CachedBlocks(index, 3), model.contents_at[static_cast<std::size_t>(last)]));
    }
  }));
}

// Guards against blocks that are not reported although all events arrived, also when those of a gap
// arrived late and in another order.
Test(prefix, reports_all_blocks_of_a_complete_stream) {
  cr_assert(rc::check("reported blocks equal the cache when no event is missing", [] {
    CacheModel model;
    PrefixIndex index(kMaxBlocks);
    for (int step = 0; step < 60; ++step) {
      model.Step();
    }
    index.Apply(0, 1, model.events);
    RC_ASSERT(CachedBlocks(index, 0) == model.contents_at.back());
    RC_ASSERT(!index.has_gap(0));
    for (int step = 0; step < 5; ++step) {
      model.Step();
    }
    std::vector<CacheEvent> late(model.events.end() - 5, model.events.end());
    const CacheEvent newest = late.back();
    late.pop_back();
    std::reverse(late.begin(), late.end());
    index.Apply(0, 1, std::vector<CacheEvent>{newest});
    RC_ASSERT(index.has_gap(0));
    index.Apply(0, 1, late);
    RC_ASSERT(!index.has_gap(0));
    RC_ASSERT(IsSubset(CachedBlocks(index, 0), model.contents_at.back()));
    // Blocks that the late events did not change are reported again.
    std::set<std::int64_t> untouched = model.contents_at[60];
    for (const CacheEvent& event : late) {
      untouched.erase(event.block_hash);
    }
    untouched.erase(newest.block_hash);
    RC_ASSERT(IsSubset(untouched, CachedBlocks(index, 0)));
  }));
}

// Guards against blocks that are still reported after the engine process has restarted, and against
// late events of the old process that are applied.
Test(prefix, new_incarnation_removes_blocks) {
  PrefixIndex index(kMaxBlocks);
  index.Apply(0, 10, std::vector<CacheEvent>{{1, 5, true}});
  index.Apply(0, 11, std::vector<CacheEvent>{{1, 6, true}});
  cr_assert(CachedBlocks(index, 0) == std::set<std::int64_t>{6});
  index.Apply(0, 10, std::vector<CacheEvent>{{2, 7, true}});
  cr_assert(CachedBlocks(index, 0) == std::set<std::int64_t>{6});
  index.RemoveEngine(0);
  cr_assert(CachedBlocks(index, 0).empty());
  index.Apply(0, 11, std::vector<CacheEvent>{{9, 8, true}});
  cr_assert(CachedBlocks(index, 0) == std::set<std::int64_t>{8});
}

// Guards against an engine whose older blocks remain invalid permanently after a gap in its events.
Test(prefix, resynchronise_closes_a_gap) {
  PrefixIndex index(kMaxBlocks);
  index.Apply(0, 1, std::vector<CacheEvent>{{1, 5, true}, {200, 6, true}});
  cr_assert(index.has_gap(0));
  cr_assert(CachedBlocks(index, 0) == std::set<std::int64_t>{6});
  index.Resynchronise(0, 1, 201, std::vector<std::int64_t>{5, 6, 7});
  cr_assert(!index.has_gap(0));
  index.Resynchronise(0, 1, 150, std::vector<std::int64_t>{});
  index.Apply(0, 1, std::vector<CacheEvent>{{202, 6, false}});
  cr_assert(CachedBlocks(index, 0) == (std::set<std::int64_t>{5, 7}));
}

// Guards against unbounded memory use and against eviction of the newest blocks.
Test(prefix, oldest_blocks_are_evicted) {
  PrefixIndex index(3);
  index.Apply(0, 1,
              std::vector<CacheEvent>{
                  {1, 1, true}, {2, 2, true}, {3, 3, true}, {4, 1, true}, {5, 4, true}});
  cr_assert_eq(index.size(), 3);
  cr_assert(CachedBlocks(index, 0) == (std::set<std::int64_t>{1, 3, 4}));
}

// Guards against prefix lengths that include blocks after a missing one.
Test(prefix, lookup_counts_contiguous_prefixes_only) {
  cr_assert(rc::check("Lookup equals a count per engine", [] {
    PrefixIndex index(kMaxBlocks);
    std::vector<std::set<std::int64_t>> cached_blocks(6);
    for (std::uint32_t engine = 0; engine < cached_blocks.size(); ++engine) {
      std::int64_t sequence = 0;
      for (std::int64_t block = 1; block <= 6; ++block) {
        if (In(0, 3) > 0) {
          cached_blocks[engine].insert(block);
          index.Apply(engine, 1, std::vector<CacheEvent>{{++sequence, block, true}});
        }
      }
    }
    std::vector<CachedPrefix> found;
    index.Lookup(std::vector<std::int64_t>{1, 2, 3, 4, 5, 6}, 4, found);
    std::vector<std::int32_t> expected;
    for (const std::set<std::int64_t>& blocks : cached_blocks) {
      std::int32_t tokens = 0;
      for (std::int64_t block = 1; blocks.count(block) > 0; ++block) {
        tokens += kPieceTokens;
      }
      if (tokens > 0) {
        expected.push_back(tokens);
      }
    }
    std::sort(expected.rbegin(), expected.rend());
    expected.resize(std::min<std::size_t>(expected.size(), 4));
    std::vector<std::int32_t> tokens;
    for (const CachedPrefix& cached : found) {
      RC_ASSERT(cached.engine < cached_blocks.size());
      tokens.push_back(cached.tokens);
    }
    RC_ASSERT(tokens == expected);
  }));
}
