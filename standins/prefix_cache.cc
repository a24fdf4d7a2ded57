#include "standins/prefix_cache.h"

#include "base/hash.h"

namespace rattanramp::standins {

std::vector<std::int64_t> BlockHashes(std::string_view prompt) {
  std::vector<std::int64_t> hashes;
  std::uint64_t previous = 0;
  for (std::size_t start = 0; start + kBlockBytes <= prompt.size(); start += kBlockBytes) {
    previous = Hash64(prompt.substr(start, kBlockBytes), previous);
    hashes.push_back(static_cast<std::int64_t>(previous));
  }
  return hashes;
}

std::size_t PrefixCache::Match(const std::vector<std::int64_t>& hashes) const {
  std::size_t count = 0;
  while (count < hashes.size() && blocks_.contains(hashes[count])) {
    ++count;
  }
  return count;
}

bool PrefixCache::Pin(std::int64_t hash) {
  const auto [entry, stored] = blocks_.try_emplace(hash);
  Block& block = entry->second;
  if (!stored && block.pins == 0) {
    unpinned_.erase(block.position);
  }
  ++block.pins;
  if (stored) {
    listener_(hash, true);
  }
  return stored;
}

void PrefixCache::Unpin(std::int64_t hash) {
  Block& block = blocks_.at(hash);
  if (--block.pins == 0) {
    block.position = unpinned_.insert(unpinned_.end(), hash);
  }
}

bool PrefixCache::EvictOne() {
  if (unpinned_.empty()) {
    return false;
  }
  const std::int64_t hash = unpinned_.front();
  unpinned_.pop_front();
  blocks_.erase(hash);
  listener_(hash, false);
  return true;
}

}  // namespace rattanramp::standins
