#ifndef VANILLALEVER_TESTS_FAULTMATRIX_FAKE_BACKEND_H_
#define VANILLALEVER_TESTS_FAULTMATRIX_FAKE_BACKEND_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "messages.h"
#include "vanillalever/execution/cache_leases.h"

namespace vanillalever::faultmatrix {

class World;

// One run of a model engine or a plain service. It does not check fencing
// tokens or idempotency keys, and notes each execution in the world's ledger.
class FakeBackend {
 public:
  FakeBackend(World& world,
              std::string address,
              bool engine,
              std::uint64_t number);

  Host& host() { return host_; }
  const std::string& address() const { return host_.address(); }
  bool engine() const { return engine_; }
  // Number of this run, unique in the world and above zero.
  std::uint64_t number() const { return number_; }

  // Executes at once; responds after the run time with the index of the
  // execution in the ledger.
  void Run(const ExecuteRequest& request,
           const std::function<void(std::size_t)>& respond);
  void Release(const execution::CacheHolder& holder);
  // Releases everything.
  void Reset() { cache_.clear(); }

  // Tokens in the prefix cache by program.
  const std::map<execution::CacheHolder, std::int64_t>& cache() const {
    return cache_;
  }

 private:
  World& world_;
  Host host_;
  bool engine_;
  std::uint64_t number_;
  std::map<execution::CacheHolder, std::int64_t> cache_;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_FAKE_BACKEND_H_
