// Index of the blocks of prompt prefixes that each engine has cached, as reported by cache events.
// Events may arrive late, twice or not at all, so the index is an estimate.
#pragma once

#include <boost/multi_index/composite_key.hpp>
#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "core/route.h"

namespace rattanramp::core {

/// Bytes of text in one block: kPieceTokens tokens of 4 bytes.
inline constexpr std::size_t kBlockBytes = 8'192;

/// Chained hashes of the full blocks of a prompt: hash n covers the text up to the end of block n.
/// Text after the last full block is not hashed.
std::vector<std::int64_t> BlockHashes(std::string_view prompt);

struct CacheEvent {
  /// Increases by one with each event of an engine incarnation.
  std::int64_t sequence = 0;
  std::int64_t block_hash = 0;
  /// False when the block was evicted.
  bool stored = false;
};

/// State of the event stream of one engine.
struct EventStreamState {
  std::int64_t incarnation = 0;
  /// Late events of this incarnation, the one before the current, are ignored.
  std::int64_t previous_incarnation = 0;
  /// Increases with each incarnation; blocks of older generations are invalid.
  std::uint32_t generation = 0;
  bool started = false;
  std::int64_t last_sequence = 0;
  /// Blocks whose last event has a lower sequence are invalid: the event that evicted them may be
  /// missing.
  std::int64_t valid_from = 0;
  /// Events of a gap in the sequence are still missing.
  bool has_gap = false;
  /// The last gap: its first sequence number, a mask of the events that are still missing (bit 0 is
  /// the first), and the values of valid_from and has_gap before it. The mask is zero when the gap
  /// is closed or too wide to track.
  std::int64_t gap_start = 0;
  std::uint64_t gap_missing = 0;
  std::int64_t valid_from_before_gap = 0;
  bool had_gap_before = false;
};

/// Index of the cached blocks of all engines. Not thread-safe.
class PrefixIndex {
 public:
  /// Holds at most max_blocks pairs of block and engine; the pairs with the oldest events are
  /// evicted first.
  explicit PrefixIndex(std::size_t max_blocks);

  /// Applies events of one engine. A new incarnation invalidates all blocks of the engine. A gap in
  /// the sequence invalidates older blocks until the missing events arrive, the blocks are stored
  /// again or the engine is resynchronised.
  void Apply(std::uint32_t engine, std::int64_t incarnation, std::span<const CacheEvent> events);

  /// Replaces the blocks of the engine by its full list of blocks as of `sequence`.
  void Resynchronise(std::uint32_t engine, std::int64_t incarnation, std::int64_t sequence,
                     std::span<const std::int64_t> blocks);

  /// Invalidates all blocks of an engine that has left the fleet.
  void RemoveEngine(std::uint32_t engine);

  /// True while events of a gap are missing.
  bool has_gap(std::uint32_t engine) const;

  /// Finds the engines that have the first blocks of a prompt cached. Each result has the tokens of
  /// the longest contiguous prefix; the results are ordered longest first and limited to
  /// max_results. `result` is overwritten.
  void Lookup(std::span<const std::int64_t> block_hashes, std::size_t max_results,
              std::vector<CachedPrefix>& result) const;

  /// Number of pairs of block and engine in memory, including invalid ones.
  std::size_t size() const { return blocks_.size(); }

 private:
  struct Block {
    std::int64_t hash = 0;
    std::uint32_t engine = 0;
    std::uint32_t generation = 0;
    /// Sequence of the last event for this block.
    std::int64_t sequence = 0;
  };
  struct ByAge {};
  struct ByHash {};
  struct ByPair {};
  using HashKey = boost::multi_index::member<Block, std::int64_t, &Block::hash>;
  using EngineKey = boost::multi_index::member<Block, std::uint32_t, &Block::engine>;
  using Blocks = boost::multi_index_container<
      Block, boost::multi_index::indexed_by<
                 boost::multi_index::sequenced<boost::multi_index::tag<ByAge>>,
                 boost::multi_index::hashed_non_unique<boost::multi_index::tag<ByHash>, HashKey>,
                 boost::multi_index::hashed_unique<
                     boost::multi_index::tag<ByPair>,
                     boost::multi_index::composite_key<Block, HashKey, EngineKey>>>>;

  EventStreamState& StreamStateOf(std::uint32_t engine);
  void ApplyEvent(std::uint32_t engine, EventStreamState& state, const CacheEvent& event);
  void Store(std::uint32_t engine, const EventStreamState& state, const CacheEvent& event);
  /// Erases the block unless a newer event stored it.
  void Erase(std::uint32_t engine, const EventStreamState& state, const CacheEvent& event);
  bool IsCurrent(const Block& block) const;

  std::size_t max_blocks_;
  std::vector<EventStreamState> stream_states_;
  Blocks blocks_;
};

}  // namespace rattanramp::core
