#include "vanillalever/scheduling/request_queue.h"

#include <cassert>

#include "vanillalever/scheduling/fifo_queue.h"
#include "vanillalever/scheduling/remaining_work_queue.h"

namespace vanillalever::scheduling {

std::unique_ptr<RequestQueue> MakeRequestQueue(QueueKind kind) {
  switch (kind) {
    case QueueKind::kRemainingWork:
      return std::make_unique<RemainingWorkQueue>();
    case QueueKind::kFifo:
      return std::make_unique<FifoQueue>();
  }
  assert(false);
  return nullptr;
}

}  // namespace vanillalever::scheduling
