#include "vanillalever/forwarding/load_update.h"

#include <algorithm>
#include <limits>

namespace vanillalever::forwarding {

namespace wire = protocol::peer;

namespace {

constexpr double kMilli = 1000;
constexpr std::int64_t kMaxAgeMs = 3600000;

// Zero means that no limit is stated, so that the smallest limit is 1.
std::uint32_t RateMilli(double per_second) {
  constexpr double kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp(per_second * kMilli, 1.0, kMax));
}

}  // namespace

LoadUpdate ReadLoad(const wire::ServerLoad::Reader& reported,
                    base::TimePoint now) {
  LoadUpdate load;
  load.open = reported.getOpen();
  load.suspects = reported.getSuspects();
  load.prefill_tokens = reported.getPrefillTokens();
  load.slowness = reported.getSlowness();
  load.outcomes = {reported.getAnswered(), reported.getFailed()};
  if (reported.getLeavingRun() > 0)
    load.leaving_run = static_cast<std::int64_t>(reported.getLeavingRun() - 1);
  if (!reported.getRateStated())
    return load;
  RateStatement& rate = load.rate.emplace();
  if (reported.getRateMilli() > 0)
    rate.per_second = reported.getRateMilli() / kMilli;
  rate.stated_at = now - base::milliseconds(reported.getRateAgeMs());
  load.sends = reported.getSends();
  return load;
}

void WriteLoad(std::uint64_t server,
               const LoadUpdate& load,
               base::TimePoint now,
               wire::ServerLoad::Builder out) {
  out.setServer(server);
  out.setOpen(load.open);
  out.setSuspects(load.suspects);
  out.setPrefillTokens(load.prefill_tokens);
  out.setSlowness(load.slowness);
  out.setAnswered(static_cast<std::uint16_t>(load.outcomes.answered));
  out.setFailed(static_cast<std::uint16_t>(load.outcomes.failed));
  if (load.leaving_run)
    out.setLeavingRun(static_cast<std::uint64_t>(*load.leaving_run) + 1);
  if (!load.rate)
    return;
  out.setRateStated(true);
  if (load.rate->per_second)
    out.setRateMilli(RateMilli(*load.rate->per_second));
  auto age = std::chrono::duration_cast<base::milliseconds>(
      now - load.rate->stated_at);
  out.setRateAgeMs(static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(age.count(), 0, kMaxAgeMs)));
  out.setSends(load.sends);
}

void ReplaceLoad(const LoadUpdate& newer, LoadUpdate* pending) {
  RequestOutcomes before = pending->outcomes;
  *pending = newer;
  pending->outcomes.answered += before.answered;
  pending->outcomes.failed += before.failed;
}

}  // namespace vanillalever::forwarding
