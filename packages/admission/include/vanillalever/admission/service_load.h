#ifndef VANILLALEVER_ADMISSION_SERVICE_LOAD_H_
#define VANILLALEVER_ADMISSION_SERVICE_LOAD_H_

namespace vanillalever::admission {

// Load of all servers of one service, as one gateway estimates it.
struct ServiceLoad {
  // Requests that the servers run at once, of those that accept requests.
  int slots = 0;
  // Requests of all gateways that these servers run or queue.
  int open = 0;
};

}  // namespace vanillalever::admission

#endif  // VANILLALEVER_ADMISSION_SERVICE_LOAD_H_
