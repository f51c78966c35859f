#ifndef VANILLALEVER_ORGANISATION_ORGANISATION_H_
#define VANILLALEVER_ORGANISATION_ORGANISATION_H_

#include <optional>
#include <string>
#include <vector>

namespace vanillalever::organisation {

// Customer whose callers identify themselves by one of its keys.
struct Organisation {
  std::string name;
  // Keys of its callers; secret.
  std::vector<std::string> keys;
  // Goes before the priority of the route; zero is the highest.
  std::optional<int> priority;
  // Allotment: requests a second over all gateways together, and the number
  // beyond that rate at once. Zero is no limit.
  double rate_per_second = 0;
  double burst = 0;
};

}  // namespace vanillalever::organisation

#endif  // VANILLALEVER_ORGANISATION_ORGANISATION_H_
