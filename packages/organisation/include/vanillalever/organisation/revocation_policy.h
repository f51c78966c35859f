#ifndef VANILLALEVER_ORGANISATION_REVOCATION_POLICY_H_
#define VANILLALEVER_ORGANISATION_REVOCATION_POLICY_H_

#include <optional>

#include "vanillalever/base/boot_clock.h"
#include "vanillalever/base/clock.h"

namespace vanillalever::organisation {

// Settings of RevocationPolicy.
struct RevocationSettings {
  // Time within which a key that was taken away must have stopped working
  // everywhere; absent if there is no such bound.
  std::optional<base::Duration> bound;
  // Longest way of a request from the decision to its server.
  base::Duration send_time{0};
  // Time that callers need to notice that the gateway is not ready.
  base::Duration notice_time{0};
};

// Decides how long a gateway may accept keys on the word of its view of the
// configuration. The view is current as of its confirmation; a key may have
// been taken away at any moment after it. Does no I/O.
class RevocationPolicy {
 public:
  explicit RevocationPolicy(RevocationSettings settings = {})
      : settings_(settings) {}

  // Whether a request may be sent to a server because the view holds its key.
  // `confirmed_at` is nothing if the view was never confirmed.
  bool MaySend(std::optional<base::BootTime> confirmed_at,
               base::BootTime now) const;

  // Whether new callers should come to this gateway: MaySend() will still hold
  // when the last of those that come now arrive.
  bool MayInvite(std::optional<base::BootTime> confirmed_at,
                 base::BootTime now) const;

 private:
  bool Holds(std::optional<base::BootTime> confirmed_at,
             base::BootTime until) const;

  RevocationSettings settings_;
};

}  // namespace vanillalever::organisation

#endif  // VANILLALEVER_ORGANISATION_REVOCATION_POLICY_H_
