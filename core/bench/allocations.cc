#include "core/bench/allocations.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::int64_t> allocations{0};
std::atomic<std::int64_t> live_bytes{0};

void Free(void* memory) noexcept {
  live_bytes.fetch_sub(static_cast<std::int64_t>(malloc_usable_size(memory)),
                       std::memory_order_relaxed);
  std::free(memory);
}

}  // namespace

// Not inlined: GCC warns about mismatched allocation functions when it inlines only one of new and
// delete.
[[gnu::noinline]] void* operator new(std::size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  allocations.fetch_add(1, std::memory_order_relaxed);
  live_bytes.fetch_add(static_cast<std::int64_t>(malloc_usable_size(memory)),
                       std::memory_order_relaxed);
  return memory;
}
[[gnu::noinline]] void operator delete(void* memory) noexcept { Free(memory); }
[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept { Free(memory); }

namespace rattanramp::core {

AllocationCounts CountedAllocations() { return {allocations, live_bytes}; }

}  // namespace rattanramp::core
