#ifndef VANILLALEVER_HTTP_SRC_RESPONSE_BUDGET_H_
#define VANILLALEVER_HTTP_SRC_RESPONSE_BUDGET_H_

#include <atomic>
#include <cstddef>

namespace vanillalever::http {

// Bytes that the responses in progress of one client may take together.
// Thread-safe.
class ResponseBudget {
 public:
  explicit ResponseBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Takes `bytes`, which are there already, and returns whether all that is
  // taken is within the limit. They are to be returned in both cases.
  bool Take(std::size_t bytes) {
    return bytes_.fetch_add(bytes) + bytes <= max_bytes_;
  }
  void Return(std::size_t bytes) { bytes_.fetch_sub(bytes); }

 private:
  const std::size_t max_bytes_;
  std::atomic<std::size_t> bytes_{0};
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_SRC_RESPONSE_BUDGET_H_
