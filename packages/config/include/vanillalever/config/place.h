#ifndef VANILLALEVER_CONFIG_PLACE_H_
#define VANILLALEVER_CONFIG_PLACE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillalever::config {

// Network latency between two data centres.
struct Distance {
  // Data centre of this place.
  std::string from;
  // Data centre of this or another place.
  std::string to;
  // One-way latency in milliseconds; applies to both directions.
  double ms = 0;

  bool operator==(const Distance&) const = default;
};

// Region and its data centres.
struct Place {
  std::string name;
  std::string region;
  std::vector<std::string> data_centres;
  std::vector<Distance> distances;
  // One-way latency from callers to the entries, in milliseconds; zero if
  // unknown.
  double client_distance_ms = 0;

  // One-way latency between two data centres in milliseconds: zero within a
  // data centre, nullopt if no distance is declared.
  std::optional<double> distance(std::string_view from,
                                 std::string_view to) const;

  bool operator==(const Place&) const = default;
};

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_PLACE_H_
