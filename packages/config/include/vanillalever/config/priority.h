#ifndef VANILLALEVER_CONFIG_PRIORITY_H_
#define VANILLALEVER_CONFIG_PRIORITY_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace vanillalever::config {

// Rank of calls against one another.
struct Priority {
  std::string name;
  // Order of service; zero goes first. Priorities of one rank are served alike.
  std::int64_t rank = 0;
  // Share of each server's slots kept free for this priority, from 0 to 1.
  double reserved_share = 0;
  // Longest time in a queue; calls that would wait longer are refused early.
  std::chrono::milliseconds queue_wait{0};

  bool operator==(const Priority&) const = default;
};

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_PRIORITY_H_
