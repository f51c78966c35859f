#ifndef VANILLALEVER_MEMORY_PROCESS_MEMORY_H_
#define VANILLALEVER_MEMORY_PROCESS_MEMORY_H_

#include <cstddef>

namespace vanillalever::memory {

// Makes the allocator return large buffers to the system as soon as they are
// freed, so that resident memory follows what is held. Call before threads
// start.
void BoundAllocatorSlack();

// Returns free memory within the heap to the system. Takes milliseconds: call
// only after much was released.
void ReturnFreeMemory();

// Memory of this machine in bytes.
std::size_t MachineBytes();

}  // namespace vanillalever::memory

#endif  // VANILLALEVER_MEMORY_PROCESS_MEMORY_H_
