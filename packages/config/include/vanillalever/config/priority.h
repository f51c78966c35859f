#ifndef VANILLALEVER_CONFIG_PRIORITY_H_
#define VANILLALEVER_CONFIG_PRIORITY_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace vanillalever::config {

// Scheduling priority of calls.
struct Priority {
  std::string name;
  // Scheduling order; zero is served first. Priorities of equal rank are
  // treated alike.
  std::int64_t rank = 0;
  // Fraction of each server's slots reserved for this priority, from 0 to 1.
  double reserved_share = 0;
  // Maximum queueing time; calls that would wait longer are rejected early.
  std::chrono::milliseconds queue_wait{0};

  bool operator==(const Priority&) const = default;
};

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_PRIORITY_H_
