// Cache of prompt blocks of 2,048 tokens. Blocks that requests use are pinned. Unpinned blocks are
// evicted, least recently used first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rattanramp::standins {

/// Bytes of prompt text in one block: 2,048 tokens of 4 bytes.
inline constexpr std::size_t kBlockBytes = 8'192;

/// Returns a hash for each complete block of a prompt. Each hash covers its block and all blocks
/// before it.
std::vector<std::int64_t> BlockHashes(std::string_view prompt);

/// Not thread-safe.
class PrefixCache {
 public:
  /// Called with the hash of a block, and true if the block was stored or false if it was evicted.
  using Listener = std::function<void(std::int64_t, bool)>;

  explicit PrefixCache(Listener listener) : listener_(std::move(listener)) {}

  /// Returns how many of the first hashes are cached without a gap.
  std::size_t Match(const std::vector<std::int64_t>& hashes) const;
  /// Pins a block and stores it if it is not cached yet. Returns true if it was stored by this
  /// call.
  bool Pin(std::int64_t hash);
  void Unpin(std::int64_t hash);
  /// Evicts the least recently used unpinned block. Returns false if all blocks are pinned.
  bool EvictOne();

  std::size_t size() const { return blocks_.size(); }
  std::size_t unpinned() const { return unpinned_.size(); }

 private:
  struct Block {
    int pins = 0;
    /// Position in unpinned_. Valid only while pins is 0.
    std::list<std::int64_t>::iterator position;
  };

  Listener listener_;
  std::unordered_map<std::int64_t, Block> blocks_;
  /// Hashes of unpinned blocks, least recently used first.
  std::list<std::int64_t> unpinned_;
};

}  // namespace rattanramp::standins
