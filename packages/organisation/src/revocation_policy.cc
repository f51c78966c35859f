#include "vanillalever/organisation/revocation_policy.h"

namespace vanillalever::organisation {

bool RevocationPolicy::MaySend(std::optional<base::BootTime> confirmed_at,
                               base::BootTime now) const {
  return Holds(confirmed_at, now + settings_.send_time);
}

bool RevocationPolicy::MayInvite(std::optional<base::BootTime> confirmed_at,
                                 base::BootTime now) const {
  return Holds(confirmed_at, now + settings_.send_time + settings_.notice_time);
}

bool RevocationPolicy::Holds(std::optional<base::BootTime> confirmed_at,
                             base::BootTime until) const {
  if (!settings_.bound)
    return true;
  return confirmed_at && until - *confirmed_at <= *settings_.bound;
}

}  // namespace vanillalever::organisation
