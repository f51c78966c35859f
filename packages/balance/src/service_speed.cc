#include "vanillalever/balance/service_speed.h"

#include <algorithm>
#include <cmath>

namespace vanillalever::balance {
namespace {

// Long against a server's changes of speed with its neighbours' load, short
// against a deployment's changes of hardware.
constexpr base::seconds kHalfLife{20};
constexpr double kPriorWeight = 8;
// A gateway sees few responses of one server.
constexpr double kServerPriorWeight = 3;
// Learned values stay within this factor of their priors.
constexpr double kMaxFactor = 4;
// The same for a server relative to the others.
constexpr double kMaxServerFactor = 2.5;
// Prompt length at which the prior of the prefill speed counts, in tokens.
constexpr double kPriorPromptTokens = 4000;

double Bounded(double value, double prior) {
  return std::clamp(value, prior / kMaxFactor, prior * kMaxFactor);
}

}  // namespace

ServiceSpeed::ServiceSpeed(const Speeds& priors)
    : priors_(priors),
      token_ms_(priors.token_ms, kPriorWeight, kHalfLife),
      first_output_ms_({priors.first_output_ms, priors.prefill_ms_per_token},
                       kPriorPromptTokens,
                       kPriorWeight,
                       kHalfLife),
      output_share_(priors.output_share, kPriorWeight, kHalfLife),
      request_ms_(priors.request_ms, kPriorWeight, kHalfLife) {}

void ServiceSpeed::OnFirstOutput(double prefill_tokens,
                                 double elapsed_ms,
                                 base::TimePoint now) {
  // One stalled connection must not outweigh all other measurements.
  double most = kMaxFactor * (priors_.first_output_ms +
                              priors_.prefill_ms_per_token * prefill_tokens);
  first_output_ms_.Add(prefill_tokens, std::min(elapsed_ms, most), now);
}

void ServiceSpeed::OnOutput(double tokens,
                            double elapsed_ms,
                            base::TimePoint now) {
  if (tokens > 0 && elapsed_ms > 0)
    token_ms_.Add(Bounded(elapsed_ms / tokens, priors_.token_ms), now);
}

void ServiceSpeed::OnServerOutput(const std::string& server,
                                  double tokens,
                                  double elapsed_ms,
                                  base::TimePoint now) {
  if (tokens <= 0 || elapsed_ms <= 0)
    return;
  double ratio = std::clamp(elapsed_ms / tokens / speeds(now).token_ms,
                            1 / kMaxServerFactor, kMaxServerFactor);
  OnOutput(tokens, elapsed_ms, now);
  slowness_.try_emplace(server, 0.0, kServerPriorWeight, kHalfLife)
      .first->second.Add(std::log(ratio), now);
}

void ServiceSpeed::OnOutputEnd(double output_share, base::TimePoint now) {
  output_share_.Add(std::clamp(output_share, 0.0, 1.0), now);
}

void ServiceSpeed::OnCompleted(double elapsed_ms, base::TimePoint now) {
  request_ms_.Add(Bounded(elapsed_ms, priors_.request_ms), now);
}

void ServiceSpeed::RemoveServer(std::string_view server) {
  if (auto found = slowness_.find(server); found != slowness_.end())
    slowness_.erase(found);
}

Speeds ServiceSpeed::speeds(base::TimePoint now) const {
  Speeds speeds;
  speeds.token_ms = Bounded(token_ms_.value(now), priors_.token_ms);
  DecayedLine::Coefficients first = first_output_ms_.value(now);
  speeds.first_output_ms = std::max(0.0, first.offset);
  speeds.prefill_ms_per_token =
      Bounded(first.slope, priors_.prefill_ms_per_token);
  speeds.output_share = output_share_.value(now);
  speeds.request_ms = Bounded(request_ms_.value(now), priors_.request_ms);
  return speeds;
}

double ServiceSpeed::slowness(std::string_view server,
                              base::TimePoint now) const {
  auto found = slowness_.find(server);
  return found == slowness_.end() ? 1 : std::exp(found->second.value(now));
}

}  // namespace vanillalever::balance
