#ifndef VANILLALEVER_TESTS_FAULTMATRIX_FAKE_BACKEND_H_
#define VANILLALEVER_TESTS_FAULTMATRIX_FAKE_BACKEND_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "messages.h"
#include "vanillalever/execution/cache_leases.h"

namespace vanillalever::faultmatrix {

class Cluster;

// One run of a model engine or a plain service. Checks neither fencing tokens
// nor idempotency keys, and records each execution in the cluster's ledger.
class FakeBackend {
 public:
  FakeBackend(Cluster& cluster,
              std::string address,
              bool engine,
              std::uint64_t run_number);

  Process& process() { return process_; }
  const std::string& address() const { return process_.address(); }
  bool engine() const { return engine_; }
  // Number of this run, unique in the cluster and greater than zero.
  std::uint64_t run_number() const { return run_number_; }

  // Records the execution at once, and responds after the run time with its
  // index in the ledger.
  void Run(const ExecuteRequest& request,
           const std::function<void(std::size_t)>& respond);
  void Release(const execution::CacheHolder& holder);
  // Drops all cache.
  void Reset() { cache_.clear(); }

  // Tokens in the prefix cache by program.
  const std::map<execution::CacheHolder, std::int64_t>& cache() const {
    return cache_;
  }

 private:
  Cluster& cluster_;
  Process process_;
  bool engine_;
  std::uint64_t run_number_;
  std::map<execution::CacheHolder, std::int64_t> cache_;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_FAKE_BACKEND_H_
