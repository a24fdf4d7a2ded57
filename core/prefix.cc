#include "core/prefix.h"

#include <algorithm>

#include "base/hash.h"

namespace rattanramp::core {
namespace {

/// Widest gap whose missing events are tracked one by one.
constexpr std::int64_t kTrackedGap = 64;

void StartIncarnation(PrefixHints& hints, std::int64_t incarnation) {
  PrefixHints fresh;
  fresh.incarnation = incarnation;
  fresh.previous_incarnation = hints.incarnation;
  fresh.generation = hints.generation + 1;
  hints = fresh;
}

/// Moves to an event that is newer than all before it.
void Advance(PrefixHints& hints, std::int64_t sequence) {
  if (!hints.started) {
    hints.started = true;
    hints.certain_from = sequence;
  } else if (sequence > hints.last_sequence + 1) {
    const std::int64_t missing = sequence - hints.last_sequence - 1;
    hints.gap_first = hints.last_sequence + 1;
    hints.gap_certain_from = hints.certain_from;
    hints.gap_uncertain = hints.uncertain;
    hints.uncertain = true;
    hints.gap_missing = 0;
    if (missing <= kTrackedGap) {
      hints.gap_missing = ~std::uint64_t{0} >> (kTrackedGap - missing);
    }
    hints.certain_from = sequence;
  }
  hints.last_sequence = sequence;
}

/// Notes a late event. When it is the last missing one, no eviction can have been missed since
/// the gap opened, and the blocks from before the gap are believed again.
void FillGap(PrefixHints& hints, std::int64_t sequence) {
  const std::int64_t at = sequence - hints.gap_first;
  if (hints.gap_missing == 0 || at < 0 || at >= kTrackedGap) {
    return;
  }
  hints.gap_missing &= ~(std::uint64_t{1} << at);
  if (hints.gap_missing == 0) {
    hints.certain_from = hints.gap_certain_from;
    hints.uncertain = hints.gap_uncertain;
  }
}

}  // namespace

std::vector<std::int64_t> BlockHashes(std::string_view prompt) {
  std::vector<std::int64_t> hashes;
  hashes.reserve(prompt.size() / kBlockBytes);
  std::uint64_t previous = 0;
  for (; prompt.size() >= kBlockBytes; prompt.remove_prefix(kBlockBytes)) {
    previous = Hash64(prompt.substr(0, kBlockBytes), previous);
    hashes.push_back(static_cast<std::int64_t>(previous));
  }
  return hashes;
}

PrefixIndex::PrefixIndex(std::size_t max_blocks)
    : max_blocks_(std::max<std::size_t>(1, max_blocks)) {}

void PrefixIndex::Apply(std::uint32_t engine, std::int64_t incarnation,
                        std::span<const CacheEvent> events) {
  PrefixHints& hints = HintsOf(engine);
  if (incarnation != hints.incarnation) {
    if (incarnation == hints.previous_incarnation) {
      return;
    }
    StartIncarnation(hints, incarnation);
  }
  for (const CacheEvent& event : events) {
    ApplyEvent(engine, hints, event);
  }
}

void PrefixIndex::ApplyEvent(std::uint32_t engine, PrefixHints& hints, const CacheEvent& event) {
  if (!hints.started || event.sequence > hints.last_sequence) {
    Advance(hints, event.sequence);
    if (event.stored) {
      Store(engine, hints, event);
    } else {
      Erase(engine, hints, event);
    }
    return;
  }
  // A late eviction counts against the block's older events. A late store is ignored: the block may
  // have been evicted by an event that is already applied.
  if (!event.stored) {
    Erase(engine, hints, event);
  }
  FillGap(hints, event.sequence);
}

void PrefixIndex::Store(std::uint32_t engine, const PrefixHints& hints, const CacheEvent& event) {
  const Block block{event.block_hash, engine, hints.generation, event.sequence};
  Blocks::index<ByPair>::type& pairs = blocks_.get<ByPair>();
  const Blocks::index<ByPair>::type::iterator known =
      pairs.find(boost::make_tuple(event.block_hash, engine));
  if (known != pairs.end()) {
    pairs.replace(known, block);
    blocks_.relocate(blocks_.end(), blocks_.project<ByAge>(known));
    return;
  }
  blocks_.push_back(block);
  if (blocks_.size() > max_blocks_) {
    blocks_.pop_front();
  }
}

void PrefixIndex::Erase(std::uint32_t engine, const PrefixHints& hints, const CacheEvent& event) {
  Blocks::index<ByPair>::type& pairs = blocks_.get<ByPair>();
  const Blocks::index<ByPair>::type::iterator known =
      pairs.find(boost::make_tuple(event.block_hash, engine));
  if (known == pairs.end()) {
    return;
  }
  if (known->generation != hints.generation || known->sequence <= event.sequence) {
    pairs.erase(known);
  }
}

void PrefixIndex::Resynchronise(std::uint32_t engine, std::int64_t incarnation,
                                std::int64_t sequence, std::span<const std::int64_t> blocks) {
  PrefixHints& hints = HintsOf(engine);
  const bool outdated = incarnation == hints.incarnation
                            ? hints.started && sequence < hints.last_sequence
                            : incarnation == hints.previous_incarnation;
  if (outdated) {
    return;
  }
  const std::int64_t previous = hints.previous_incarnation;
  const bool same = incarnation == hints.incarnation;
  StartIncarnation(hints, incarnation);
  if (same) {
    hints.previous_incarnation = previous;
  }
  Advance(hints, sequence);
  for (const std::int64_t block : blocks) {
    Store(engine, hints, {sequence, block, true});
  }
}

void PrefixIndex::RemoveEngine(std::uint32_t engine) {
  PrefixHints& hints = HintsOf(engine);
  StartIncarnation(hints, 0);
  // The same incarnation may be linked again.
  hints.previous_incarnation = 0;
}

bool PrefixIndex::is_uncertain(std::uint32_t engine) const {
  return engine < hints_.size() && hints_[engine].uncertain;
}

void PrefixIndex::Lookup(std::span<const std::int64_t> block_hashes, std::size_t max_results,
                         std::vector<CachedPrefix>& result) const {
  result.clear();
  const Blocks::index<ByHash>::type& by_hash = blocks_.get<ByHash>();
  // Holders of each block in turn, in order of engine, so that a merge keeps the engines that hold
  // all blocks so far.
  std::vector<std::uint32_t> holders;
  std::int32_t tokens = 0;
  for (const std::int64_t hash : block_hashes) {
    holders.clear();
    const auto [first, last] = by_hash.equal_range(hash);
    for (Blocks::index<ByHash>::type::iterator block = first; block != last; ++block) {
      if (IsCurrent(*block)) {
        holders.push_back(block->engine);
      }
    }
    std::sort(holders.begin(), holders.end());
    const std::int32_t before = tokens;
    tokens += kPieceTokens;
    bool extended = false;
    if (before == 0) {
      for (const std::uint32_t engine : holders) {
        result.push_back({engine, tokens});
      }
      extended = !holders.empty();
    } else {
      for (CachedPrefix& cached : result) {
        if (cached.tokens == before &&
            std::binary_search(holders.begin(), holders.end(), cached.engine)) {
          cached.tokens = tokens;
          extended = true;
        }
      }
    }
    if (!extended) {
      break;
    }
  }
  std::stable_sort(result.begin(), result.end(), [](const CachedPrefix& a, const CachedPrefix& b) {
    return a.tokens > b.tokens;
  });
  result.resize(std::min(result.size(), max_results));
}

PrefixHints& PrefixIndex::HintsOf(std::uint32_t engine) {
  if (engine >= hints_.size()) {
    hints_.resize(engine + 1);
  }
  return hints_[engine];
}

bool PrefixIndex::IsCurrent(const Block& block) const {
  const PrefixHints& hints = hints_[block.engine];
  return block.generation == hints.generation && block.sequence >= hints.certain_from;
}

}  // namespace rattanramp::core
