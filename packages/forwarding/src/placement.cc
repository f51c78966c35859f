#include "vanillalever/forwarding/placement.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "vanillalever/base/hash.h"

namespace vanillalever::forwarding {
namespace {

// Estimates closer than this are ties, broken at random so that the gateways
// do not all choose the same server.
constexpr double kTieThresholdMs = 0.5;
// Ranks suspect and full servers behind all others.
constexpr double kLastResortPenaltyMs = 1e6;

// Least increase of a server's cost with another request.
constexpr double kLeastStepMs = 0.01;

// Wait for a server that is left to other gateways.
constexpr base::seconds kUnavailableWait{3600};

double Ms(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

bool HasVersion(const ServerSlot& slot, const PlacementRequest& request) {
  return request.software_version == nullptr ||
         slot.server.software_version == *request.software_version;
}

// Rendezvous hashing: all gateways choose the same server for a key while the
// set of servers stays the same.
const ServerSlot* PreferredServer(const std::vector<ServerSlotPtr>& servers,
                                  std::string_view key) {
  const ServerSlot* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const ServerSlotPtr& slot : servers) {
    if (!slot->accepts_requests())
      continue;
    std::uint64_t weight = base::Hash64(slot->server.id, base::Hash64(key));
    if (best == nullptr || weight > best_weight) {
      best = slot.get();
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace

Placer::Placer(PlacementSettings settings,
               std::string data_centre,
               std::uint64_t seed)
    : settings_(settings),
      data_centre_(std::move(data_centre)),
      random_(seed) {}

Placement Placer::Place(const std::vector<ServerSlotPtr>& servers,
                        const PlacementRequest& request,
                        base::TimePoint now) {
  balance::ServiceSpeed& speed = SpeedOf(request.service);
  Context context{request, speed, speed.speeds(now), now};
  // All gateways prefer the same server for a session, so that a turn that
  // arrives at another gateway still finds its cached prefix.
  std::string_view object = request.service.engine
                                ? request.profile.session
                                : request.profile.affinity_key;
  if (request.sticky && !object.empty())
    context.preferred = PreferredServer(servers, object);

  Placement placement;
  std::vector<const ServerSlotPtr*> slots;
  // Prompt tokens to be computed there.
  std::vector<std::int64_t> prefills;
  for (const ServerSlotPtr& slot : servers) {
    if (!MayTake(*slot, request, now))
      continue;
    std::int64_t prefill = PrefillTokens(*slot, request);
    if (slots.empty() || prefill < context.least_prefill_tokens)
      context.least_prefill_tokens = prefill;
    slots.push_back(&slot);
    prefills.push_back(prefill);
  }
  if (slots.empty())
    return placement;

  std::vector<balance::Candidate> candidates;
  candidates.reserve(slots.size());
  for (std::size_t i = 0; i < slots.size(); ++i) {
    const ServerSlotPtr* slot = slots[i];
    OpenRequests open = EstimateOpen(**slot, context);
    placement.unseen += open.ended;
    balance::Candidate& candidate = candidates.emplace_back(
        request.service.engine
            ? EstimateEngine(**slot, context, open, prefills[i])
            : EstimatePlain(**slot, context, open));
    // Counts as load, so that the level spreads requests over data centres too.
    candidate.base_ms += RoundTripMs(**slot);
    // Servers that limit their requests or fail are avoided also below the
    // level.
    candidate.own_ms += settings_.rate_wait_factor * Ms(RateWait(**slot, now)) +
                        FailurePenaltyMs(**slot, now);
    bool version_unknown = request.resumable && !(*slot)->version_stored;
    if ((*slot)->load.suspect(now) || (*slot)->load.full(now) ||
        version_unknown)
      candidate.base_ms += kLastResortPenaltyMs;
  }
  auto [index, level_ms] = balance::ChooseByLevel(candidates, placement.unseen,
                                                  kTieThresholdMs, random_);
  placement.slot = *slots[index];
  placement.candidates = static_cast<int>(slots.size());
  placement.prefill_tokens = prefills[index];
  placement.least_prefill_tokens = context.least_prefill_tokens;
  placement.estimate_ms =
      candidates[index].own_ms + std::max(candidates[index].base_ms, level_ms);
  placement.rate_wait = RateWait(*placement.slot, now);
  placement.open = placement.slot->load.open(now);
  placement.slowness = placement.slot->load.slowness(now);
  placement.relative_time = speed.slowness(placement.slot->server.id, now);
  return placement;
}

bool Placer::MayTake(const ServerSlot& slot,
                     const PlacementRequest& request,
                     base::TimePoint now) {
  const auto& excluded = request.excluded;
  if (request.apart && slot.load.suspects(now) > 0)
    return false;
  return slot.accepts_requests() && HasVersion(slot, request) &&
         std::find(excluded.begin(), excluded.end(), slot.server.id) ==
             excluded.end();
}

void Placer::OnPromptSent(const ServerSlot& slot,
                          const Service& service,
                          const PromptChain& chain) {
  if (!service.engine || chain.links.empty())
    return;
  auto [found, added] =
      prompt_indexes_.try_emplace(slot.server.id, service.engine->kv_capacity);
  found->second.Touch(chain);
}

void Placer::RemoveServer(const std::string& id) {
  prompt_indexes_.erase(id);
  for (auto& [service, speed] : speeds_)
    speed.RemoveServer(id);
}

void Placer::OnCompleted(const Placement& placement,
                         const Service& service,
                         const RequestOutput& output,
                         base::TimePoint now) {
  balance::ServiceSpeed& speed = SpeedOf(service);
  const ServerSlot& slot = *placement.slot;
  double slowness = output.reported_slowness.value_or(placement.slowness *
                                                      placement.relative_time);
  // A wait for a place tells nothing of the server's speed.
  bool at_once = placement.open < slot.server.slots;
  if (at_once)
    speed.OnCompleted(Ms(output.elapsed) / slowness, now);
  if (!service.engine || output.max_tokens <= 0)
    return;
  speed.OnOutputEnd(static_cast<double>(output.tokens) /
                        static_cast<double>(output.max_tokens),
                    now);
  if (at_once) {
    speed.OnFirstOutput(
        static_cast<double>(placement.prefill_tokens),
        std::max(0.0, Ms(output.first_output) - RoundTripMs(slot)) / slowness,
        now);
  }
  double rest_ms = Ms(output.elapsed - output.first_output);
  auto rest_tokens = static_cast<double>(output.tokens_after_first);
  // The server's own word on its speed goes before what can be measured beside
  // other requests.
  if (output.reported_slowness)
    speed.OnOutput(rest_tokens, rest_ms / slowness, now);
  else
    speed.OnServerOutput(slot.server.id, rest_tokens,
                         rest_ms / placement.slowness, now);
}

balance::ServiceSpeed& Placer::SpeedOf(const Service& service) {
  balance::Speeds priors;
  priors.token_ms = settings_.step_ms;
  priors.first_output_ms = settings_.first_output_ms;
  priors.prefill_ms_per_token = 1 / settings_.prefill_tokens_per_ms;
  priors.output_share = settings_.output_share;
  priors.request_ms = settings_.plain_work_ms;
  return speeds_.try_emplace(service.name, priors).first->second;
}

std::int64_t Placer::PrefillTokens(const ServerSlot& slot,
                                   const PlacementRequest& request) const {
  if (!request.service.engine)
    return 0;
  std::int64_t cached = 0;
  if (auto found = prompt_indexes_.find(slot.server.id);
      found != prompt_indexes_.end())
    cached = found->second.CachedTokens(request.chain);
  return std::max<std::int64_t>(0, request.profile.prompt_tokens - cached);
}

Placer::OpenRequests Placer::EstimateOpen(const ServerSlot& slot,
                                          const Context& context) {
  OpenRequests open;
  double known = slot.load.open(context.now);
  if (known <= 0)
    return open;
  // The gateway's own requests are known exactly.
  double others = known - slot.load.local_open();
  double left =
      balance::OpenAfter(known, slot.server.slots, context.request.news_age,
                         context.speeds.request_ms);
  open.ended = (known - left) * others / known;
  open.left = known - open.ended;
  open.share = open.left / known;
  return open;
}

balance::Candidate Placer::EstimateEngine(const ServerSlot& slot,
                                          const Context& context,
                                          const OpenRequests& open,
                                          std::int64_t prefill_tokens) const {
  const RequestProfile& profile = context.request.profile;
  const balance::Speeds& speeds = context.speeds;
  double slots = std::max(1, slot.server.slots);
  double output =
      speeds.output_share * static_cast<double>(profile.max_output_tokens);
  double decode =
      output * (speeds.token_ms +
                settings_.step_ms_per_request * std::min(open.left + 1, slots));
  double typical_prefill = static_cast<double>(context.least_prefill_tokens) *
                           speeds.prefill_ms_per_token;
  double prefill =
      static_cast<double>(prefill_tokens) * speeds.prefill_ms_per_token;
  double backlog = static_cast<double>(slot.load.prefill_tokens(context.now)) *
                   open.share * speeds.prefill_ms_per_token;
  // Prefill stalls all running requests, and each further request in the batch
  // lengthens the decoding step.
  double delay_to_each =
      typical_prefill + output * settings_.step_ms_per_request;
  // Time for which a typical request holds its place.
  double hold = speeds.first_output_ms + typical_prefill + decode;
  double wait = settings_.queue_wait_factor * hold *
                std::max(0.0, open.left - slots + 1) / slots;
  double slowness = slot.load.slowness(context.now) *
                    context.speed.slowness(slot.server.id, context.now);
  balance::Candidate candidate;
  candidate.base_ms =
      (wait + backlog + hold + open.left * delay_to_each) * slowness;
  candidate.own_ms = (prefill - typical_prefill) * (1 + open.left) * slowness;
  candidate.free_places = std::max(0.0, slots - 1 - open.left);
  candidate.step_ms = std::max(kLeastStepMs, delay_to_each * slowness);
  candidate.full_step_ms = std::max(
      kLeastStepMs,
      (delay_to_each + settings_.queue_wait_factor * hold / slots) * slowness);
  // A small bonus breaks ties between servers without a cached prefix.
  if (&slot == context.preferred)
    candidate.base_ms -= 2 * kTieThresholdMs;
  return candidate;
}

balance::Candidate Placer::EstimatePlain(const ServerSlot& slot,
                                         const Context& context,
                                         const OpenRequests& open) const {
  double slots = std::max(1, slot.server.slots);
  double work = context.speeds.request_ms;
  double wait = work * std::max(0.0, open.left - slots + 1) / slots;
  // A cost proportional to the open requests keeps the servers evenly loaded,
  // also where the work is short against the distance to some of them.
  double spread = settings_.plain_work_ms / slots / 10;
  double slowness = slot.load.slowness(context.now);
  balance::Candidate candidate;
  candidate.base_ms = (wait + work + open.left * spread) * slowness;
  if (&slot == context.preferred)
    candidate.own_ms -= work * (1 - settings_.preferred_work_factor) * slowness;
  candidate.free_places = std::max(0.0, slots - 1 - open.left);
  candidate.step_ms = std::max(kLeastStepMs, spread * slowness);
  candidate.full_step_ms =
      std::max(kLeastStepMs, (spread + work / slots) * slowness);
  return candidate;
}

double Placer::FailurePenaltyMs(const ServerSlot& slot,
                                base::TimePoint now) const {
  double excess =
      slot.load.failure_share(now) - settings_.tolerated_failure_share;
  return std::max(0.0, excess) * settings_.failure_penalty_ms;
}

base::Duration Placer::RateWait(const ServerSlot& slot, base::TimePoint now) {
  if (!slot.rate_limit.accepts_requests())
    return kUnavailableWait;
  return std::max(base::Duration(0), slot.rate_limit.next_send_at() - now);
}

double Placer::RoundTripMs(const ServerSlot& slot) const {
  return slot.server.data_centre == data_centre_
             ? settings_.local_round_trip_ms
             : settings_.remote_round_trip_ms;
}

}  // namespace vanillalever::forwarding
