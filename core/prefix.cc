#include "core/prefix.h"

#include <algorithm>

#include "base/hash.h"

namespace rattanramp::core {
namespace {

/// Widest gap whose missing events are tracked one by one.
constexpr std::int64_t kMaxTrackedGap = 64;

void StartIncarnation(EventStreamState& state, std::int64_t incarnation) {
  EventStreamState new_state;
  new_state.incarnation = incarnation;
  new_state.previous_incarnation = state.incarnation;
  new_state.generation = state.generation + 1;
  state = new_state;
}

/// Advances to an event that is newer than all earlier ones and records a gap if events in between
/// are missing.
void Advance(EventStreamState& state, std::int64_t sequence) {
  if (!state.started) {
    state.started = true;
    state.valid_from = sequence;
  } else if (sequence > state.last_sequence + 1) {
    const std::int64_t missing = sequence - state.last_sequence - 1;
    state.gap_start = state.last_sequence + 1;
    state.valid_from_before_gap = state.valid_from;
    state.had_gap_before = state.has_gap;
    state.has_gap = true;
    state.gap_missing = 0;
    if (missing <= kMaxTrackedGap) {
      state.gap_missing = ~std::uint64_t{0} >> (kMaxTrackedGap - missing);
    }
    state.valid_from = sequence;
  }
  state.last_sequence = sequence;
}

/// Records a late event. When it is the last missing one, no eviction since the start of the gap
/// can have been missed, so the blocks from before the gap become valid again.
void FillGap(EventStreamState& state, std::int64_t sequence) {
  const std::int64_t at = sequence - state.gap_start;
  if (state.gap_missing == 0 || at < 0 || at >= kMaxTrackedGap) {
    return;
  }
  state.gap_missing &= ~(std::uint64_t{1} << at);
  if (state.gap_missing == 0) {
    state.valid_from = state.valid_from_before_gap;
    state.has_gap = state.had_gap_before;
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
  EventStreamState& state = StreamStateOf(engine);
  if (incarnation != state.incarnation) {
    if (incarnation == state.previous_incarnation) {
      return;
    }
    StartIncarnation(state, incarnation);
  }
  for (const CacheEvent& event : events) {
    ApplyEvent(engine, state, event);
  }
}

void PrefixIndex::ApplyEvent(std::uint32_t engine, EventStreamState& state,
                             const CacheEvent& event) {
  if (!state.started || event.sequence > state.last_sequence) {
    Advance(state, event.sequence);
    if (event.stored) {
      Store(engine, state, event);
    } else {
      Erase(engine, state, event);
    }
    return;
  }
  // A late eviction erases the block unless a newer event stored it. A late store is ignored,
  // because an event that has already been applied may have evicted the block.
  if (!event.stored) {
    Erase(engine, state, event);
  }
  FillGap(state, event.sequence);
}

void PrefixIndex::Store(std::uint32_t engine, const EventStreamState& state,
                        const CacheEvent& event) {
  const Block block{event.block_hash, engine, state.generation, event.sequence};
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

void PrefixIndex::Erase(std::uint32_t engine, const EventStreamState& state,
                        const CacheEvent& event) {
  Blocks::index<ByPair>::type& pairs = blocks_.get<ByPair>();
  const Blocks::index<ByPair>::type::iterator known =
      pairs.find(boost::make_tuple(event.block_hash, engine));
  if (known == pairs.end()) {
    return;
  }
  if (known->generation != state.generation || known->sequence <= event.sequence) {
    pairs.erase(known);
  }
}

void PrefixIndex::Resynchronise(std::uint32_t engine, std::int64_t incarnation,
                                std::int64_t sequence, std::span<const std::int64_t> blocks) {
  EventStreamState& state = StreamStateOf(engine);
  const bool outdated = incarnation == state.incarnation
                            ? state.started && sequence < state.last_sequence
                            : incarnation == state.previous_incarnation;
  if (outdated) {
    return;
  }
  const std::int64_t previous = state.previous_incarnation;
  const bool same = incarnation == state.incarnation;
  StartIncarnation(state, incarnation);
  if (same) {
    state.previous_incarnation = previous;
  }
  Advance(state, sequence);
  for (const std::int64_t block : blocks) {
    Store(engine, state, {sequence, block, true});
  }
}

void PrefixIndex::RemoveEngine(std::uint32_t engine) {
  EventStreamState& state = StreamStateOf(engine);
  StartIncarnation(state, 0);
  // Accepts events of the same incarnation if the engine is linked again.
  state.previous_incarnation = 0;
}

bool PrefixIndex::has_gap(std::uint32_t engine) const {
  return engine < stream_states_.size() && stream_states_[engine].has_gap;
}

void PrefixIndex::Lookup(std::span<const std::int64_t> block_hashes, std::size_t max_results,
                         std::vector<CachedPrefix>& result) const {
  result.clear();
  const Blocks::index<ByHash>::type& by_hash = blocks_.get<ByHash>();
  // Engines that hold the current block, sorted by engine for the binary search. Only engines that
  // hold all earlier blocks are extended.
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

EventStreamState& PrefixIndex::StreamStateOf(std::uint32_t engine) {
  if (engine >= stream_states_.size()) {
    stream_states_.resize(engine + 1);
  }
  return stream_states_[engine];
}

bool PrefixIndex::IsCurrent(const Block& block) const {
  const EventStreamState& state = stream_states_[block.engine];
  return block.generation == state.generation && block.sequence >= state.valid_from;
}

}  // namespace rattanramp::core
