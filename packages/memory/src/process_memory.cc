#include "vanillalever/memory/process_memory.h"

#include <malloc.h>
#include <unistd.h>

namespace vanillalever::memory {
namespace {

// Buffers from this size on are mapped on their own. The allocator would
// otherwise raise the threshold whenever such a buffer is freed.
constexpr int kMapThresholdBytes = 64 << 10;
constexpr int kTrimThresholdBytes = 512 << 10;

}  // namespace

void BoundAllocatorSlack() {
  mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

void ReturnFreeMemory() {
  malloc_trim(0);
}

std::size_t MachineBytes() {
  long pages = sysconf(_SC_PHYS_PAGES);
  long page_bytes = sysconf(_SC_PAGESIZE);
  return pages > 0 && page_bytes > 0 ? static_cast<std::size_t>(pages) *
                                           static_cast<std::size_t>(page_bytes)
                                     : 0;
}

}  // namespace vanillalever::memory
