// Counts the heap allocations of this process; the program's operator new and delete update the
// counters.
#pragma once

#include <cstdint>

namespace rattanramp::core {

struct AllocationCounts {
  std::int64_t allocations = 0;
  /// Bytes allocated and not yet freed, as rounded up by the allocator.
  std::int64_t live_bytes = 0;
};

AllocationCounts CountedAllocations();

}  // namespace rattanramp::core
