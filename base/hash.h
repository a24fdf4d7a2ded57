// 64-bit hashes (XXH64) for fingerprints, prefix blocks and rendezvous weights. Not for security.
#pragma once

#include <cstdint>
#include <string_view>

namespace rattanramp {

std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

/// Hash64 as a signed integer, for Thrift and JSON fields.
std::int64_t SignedHash64(std::string_view data, std::uint64_t seed = 0);

}  // namespace rattanramp
