#include "../src/worker_pool.h"

#include <atomic>
#include <chrono>
#include <stdexcept>
#include <thread>

#include <catch2/catch.hpp>

namespace vanillalever::entry {
namespace {

// Guards against a request whose exception ends the process with all others.
TEST_CASE("a task that throws does not stop the pool") {
  WorkerPool pool(1);
  std::atomic<bool> ran = false;
  pool.Post([] { throw std::runtime_error("task"); });
  pool.Post([&ran] { ran = true; });
  for (int i = 0; i < 200 && !ran; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  CHECK(ran);
}

}  // namespace
}  // namespace vanillalever::entry
