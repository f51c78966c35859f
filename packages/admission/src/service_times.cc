#include "vanillalever/admission/service_times.h"

#include <algorithm>

namespace vanillalever::admission {
namespace {

// Weight of the latest duration: the mean follows a change of the servers'
// speed within some tens of requests.
constexpr double kWeight = 0.05;

}  // namespace

void ServiceTimes::Record(std::string_view service,
                          base::Duration duration,
                          int open,
                          int slots) {
  // Of the requests ahead, those beyond the slots had to end first.
  double rounds =
      std::max(1.0, static_cast<double>(open + 1) / std::max(1, slots));
  double seconds = std::chrono::duration<double>(duration).count() / rounds;
  auto [found, added] =
      mean_seconds_.try_emplace(std::string(service), seconds);
  if (!added)
    found->second += kWeight * (seconds - found->second);
}

base::Duration ServiceTimes::mean(std::string_view service) const {
  auto found = mean_seconds_.find(service);
  if (found == mean_seconds_.end())
    return base::Duration(0);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(found->second));
}

}  // namespace vanillalever::admission
