#include "base/heap.h"

#include <cstdlib>
#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace rattanramp {

void FixLargeBlocks() {
#ifdef __GLIBC__
  mallopt(M_MMAP_THRESHOLD, static_cast<int>(kLargeBlockBytes));
  mallopt(M_TRIM_THRESHOLD, static_cast<int>(2 * kLargeBlockBytes));
#endif
}

}  // namespace rattanramp
