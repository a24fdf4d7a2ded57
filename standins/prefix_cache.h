// Cache of prompt blocks of 2,048 tokens. Blocks in use by requests are pinned; the others are
// evicted in order of their last use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rattanramp::standins {

inline constexpr std::size_t kBlockBytes = 8'192;

/// Chained hashes of the whole blocks of a prompt.
std::vector<std::int64_t> BlockHashes(std::string_view prompt);

/// Not thread-safe.
class PrefixCache {
 public:
  /// Called with the hash and whether the block was stored or evicted.
  using Listener = std::function<void(std::int64_t, bool)>;

  explicit PrefixCache(Listener listener) : listener_(std::move(listener)) {}

  /// Number of leading hashes that are cached.
  std::size_t Match(const std::vector<std::int64_t>& hashes) const;
  /// Pins a block, storing it if it is absent. Returns true if it was stored.
  bool Pin(std::int64_t hash);
  void Unpin(std::int64_t hash);
  /// Evicts the unpinned block that was used least recently. Returns false if there is none.
  bool EvictOne();

  std::size_t size() const { return blocks_.size(); }
  std::size_t unpinned() const { return unpinned_.size(); }

 private:
  struct Block {
    int pins = 0;
    /// Valid while pins is 0.
    std::list<std::int64_t>::iterator position;
  };

  Listener listener_;
  std::unordered_map<std::int64_t, Block> blocks_;
  /// Least recently used first.
  std::list<std::int64_t> unpinned_;
};

}  // namespace rattanramp::standins
