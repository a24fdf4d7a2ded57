#include "base/hash.h"

#include <xxhash.h>

namespace rattanramp {

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

std::int64_t SignedHash64(std::string_view data, std::uint64_t seed) {
  return static_cast<std::int64_t>(Hash64(data, seed));
}

}  // namespace rattanramp
