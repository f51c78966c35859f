#include "vanillalever/admission/admission_policy.h"

#include <algorithm>

namespace vanillalever::admission {
namespace {

base::Duration Scaled(double factor, base::Duration duration) {
  return std::chrono::duration_cast<base::Duration>(factor * duration);
}

}  // namespace

AdmissionPolicy::AdmissionPolicy(AdmissionSettings settings)
    : settings_(settings) {}

AdmissionDecision AdmissionPolicy::Decide(const AdmissionRequest& request,
                                          base::Random& random) const {
  AdmissionDecision decision;
  bool in_time =
      Scaled(settings_.needed_time, request.wait + request.service_time) <
      request.time_left;
  if (request.wait == base::Duration(0) || (request.begun && in_time))
    return decision;
  double position = static_cast<double>(request.program_hash >> 11) * 0x1.0p-53;
  if (in_time && position < AdmittedShare(request))
    return decision;
  decision.admitted = false;
  // Random, so that the callers do not return together.
  base::Duration longest = std::max<base::Duration>(
      settings_.min_retry_after,
      Scaled(settings_.honoured_share, request.time_left));
  base::Duration shortest = std::clamp<base::Duration>(
      request.wait, settings_.min_retry_after, longest);
  decision.retry_after = std::chrono::duration_cast<base::milliseconds>(
      shortest + Scaled(random.Uniform(), longest - shortest));
  return decision;
}

double AdmissionPolicy::AdmittedShare(const AdmissionRequest& request) const {
  base::Duration bearable = std::max(
      request.goal, Scaled(settings_.bearable_share, request.time_left));
  double position = request.wait / std::chrono::duration<double>(bearable);
  auto share = [&](double longest) {
    return std::clamp((longest - position) / (longest - settings_.free_wait),
                      0.0, 1.0);
  };
  double most_urgent = share(settings_.longest_wait);
  if (!request.less_urgent)
    return most_urgent;
  return std::max(share(settings_.longest_wait_less_urgent),
                  settings_.least_part * most_urgent);
}

}  // namespace vanillalever::admission
