// The part of a request that concerns the organisation whose key a request
// carries.

#include "vanillalever/base/hash.h"
#include "vanillalever/forwarding/forwarded_request.h"

namespace vanillalever::forwarding {
namespace {

using organisation::Credential;
using organisation::Organisation;

}  // namespace

bool ForwardedRequest::IdentifyOrganisation() {
  if (!config_->requires_keys)
    return true;
  if (profile_.credential.form() == Credential::Form::kMalformed) {
    context_.metrics.unknown_keys.Add();
    SendLocalReply(400, "the request carries several keys");
    return false;
  }
  const Organisation* holder = config_->OrganisationOf(profile_.credential);
  if (route_->anonymous) {
    if (keys_confirmed())
      organisation_ = holder;
    return true;
  }
  if (!keys_confirmed()) {
    RefuseUnconfirmedKey();
    return false;
  }
  if (holder == nullptr) {
    context_.metrics.unknown_keys.Add();
    SendLocalReply(401, profile_.credential.form() == Credential::Form::kAbsent
                            ? "the request carries no key"
                            : "no organisation holds the key");
    return false;
  }
  organisation_ = holder;
  return true;
}

bool ForwardedRequest::KeyStillHeld() {
  if (organisation_ == nullptr)
    return true;
  if (!keys_confirmed()) {
    RefuseUnconfirmedKey();
    return false;
  }
  if (context_.config == config_)
    return true;
  const Organisation* holder =
      context_.config->OrganisationOf(profile_.credential);
  if (holder != nullptr && holder->name == organisation_->name)
    return true;
  context_.metrics.withdrawn_keys.Add();
  if (possible_runs_ > 0 || relaying_)
    Fail(502, "the key was taken away");
  else
    SendLocalReply(401, "the key was taken away");
  return false;
}

bool ForwardedRequest::keys_confirmed() const {
  return context_.revocation.MaySend(context_.config_confirmed_at(),
                                     base::BootClock::now());
}

void ForwardedRequest::RefuseUnconfirmedKey() {
  context_.metrics.unconfirmed_keys.Add();
  // Another gateway may be able to confirm the key at once.
  Refuse(
      "the key cannot be confirmed: the store is unavailable",
      context_.peers.store_lost() ? kNotReadyRetryAfter : kStoppingRetryAfter);
}

int ForwardedRequest::priority() const {
  return organisation_ ? organisation_->priority.value_or(route_->priority)
                       : route_->priority;
}

std::optional<std::string> ForwardedRequest::OrganisationName() const {
  if (!config_->requires_keys)
    return std::nullopt;
  return organisation_ ? organisation_->name : std::string();
}

std::string ForwardedRequest::BudgetKey() const {
  constexpr char kSeparator = '-';
  if (!config_->requires_keys)
    return profile_.program;
  std::string key = organisation_
                        ? base::HexString(base::Hash64(organisation_->name))
                        : std::string();
  return key + kSeparator + profile_.program;
}

}  // namespace vanillalever::forwarding
