#ifndef VANILLALEVER_GUARD_SUSPECT_POLICY_H_
#define VANILLALEVER_GUARD_SUSPECT_POLICY_H_

#include <cstddef>

#include "vanillalever/base/clock.h"

namespace vanillalever::guard {

// How a request may be sent on that was at work when servers crashed.
enum class Admission {
  kNormal,
  // Only to a server where no other such request is at work, so that another
  // one's crash is not counted against it.
  kApart,
  // As kApart, and one copy of the request at a time: it was at work in many
  // crashes, but another request may have caused them.
  kTrial,
  // Not before it is known whether servers have crashed, or a trial has ended.
  kWait,
  // Not at all: it is taken to crash servers.
  kRefuse,
};

// What is known of a request's crashes.
struct SuspectState {
  // Runs of servers that ended while the request was at work there.
  std::size_t crashes = 0;
  // Those of them in which another request may have been sent to the server
  // later, so that it may be the cause.
  std::size_t doubtful = 0;
  // Runs that interrupted it and are being checked.
  std::size_t unresolved = 0;
  // The last crash has become known long enough ago for other gateways to have
  // told what was at work there.
  bool settled = true;
  // A copy of the request is at work as a trial, at any gateway.
  bool on_trial = false;
  bool quarantined = false;
};

// Bounds the servers that one request can crash, for a load in which few
// requests crash every server that begins to run them, and many more were at
// work in the same crashes. Stateless.
class SuspectPolicy {
 public:
  // Crashes from which on a request runs apart from others like it.
  static constexpr std::size_t kApartCrashes = 2;
  // Crashes that are not doubtful after which a request is refused.
  static constexpr std::size_t kMaxCrashes = 3;
  // Crashes after which a request is refused, doubtful ones included.
  static constexpr std::size_t kMaxTrialCrashes = 5;
  // How long a crash must be known before it decides: a lost report of another
  // gateway is repeated within this time.
  static constexpr base::milliseconds kSettleTime{150};
  // Longest random delay before a trial, so that gateways with copies of the
  // request learn of each other's trials.
  static constexpr base::milliseconds kTrialJitter{60};
  // How long after its start, or after it was announced last, a trial of
  // another gateway counts: until its outcome is known.
  static constexpr base::milliseconds kTrialLifetime{250};

  Admission Decide(const SuspectState& state) const;
};

}  // namespace vanillalever::guard

#endif  // VANILLALEVER_GUARD_SUSPECT_POLICY_H_
