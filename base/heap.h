// Memory that strings take, and the allocator's settings that let freed memory return to the
// system.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>

namespace rattanramp {

/// Blocks of this size and more come from the system and return to it when they are freed.
inline constexpr std::size_t kLargeBlockBytes = 128 * 1024;

/// Memory that a string takes. The system provides a large block as it is written.
inline std::size_t HeldBytes(const std::string& text) {
  return std::max(text.size(), std::min(text.capacity(), kLargeBlockBytes));
}

/// Keeps the size of large blocks. The allocator would raise it when it frees one, and would keep
/// the memory of later ones.
void FixLargeBlocks();

}  // namespace rattanramp
