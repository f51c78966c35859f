#ifndef VANILLALEVER_ADMISSION_ADMISSION_POLICY_H_
#define VANILLALEVER_ADMISSION_ADMISSION_POLICY_H_

#include <cstdint>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/random.h"

namespace vanillalever::admission {

// Parameters of AdmissionPolicy, as shares of what a request can bear.
struct AdmissionSettings {
  // Expected wait up to which every program may begin, and from which on none
  // of the most urgent kind does. In between their share falls linearly.
  double free_wait = 0;
  double longest_wait = 1.0;
  // The same limit for programs of less urgent kinds.
  double longest_wait_less_urgent = 0.8;
  // Least admitted share of a less urgent kind, as a part of the most urgent
  // kind's share, so that no kind is starved by another.
  double least_part = 0.25;
  // Share of its time limit that a request can bear to wait if its objective is
  // shorter: what a longer queue delays is late for its program.
  double bearable_share = 0.15;
  // Time left that a request needs, as a multiple of its expected time: what
  // takes longer than the others would be thrown away otherwise.
  double needed_time = 2;
  // Share of its time left up to which a caller honours a delay.
  double honoured_share = 0.33;
  base::milliseconds min_retry_after{250};
};

// A request before its server is chosen.
struct AdmissionRequest {
  // Identifies the program: the same at all gateways and for all attempts.
  std::uint64_t program_hash = 0;
  // Servers have worked for its program, or may have run the request itself.
  bool begun = false;
  // A more urgent kind of request competes for the service.
  bool less_urgent = false;
  // Objective of the response, and the caller's time left.
  base::Duration goal{0};
  base::Duration time_left{0};
  // Expected wait until the response begins.
  base::Duration wait{0};
  // Mean time that a request occupies a slot; zero if unknown.
  base::Duration service_time{0};
};

// Verdict on one request.
struct AdmissionDecision {
  bool admitted = true;
  // Delay before the caller's next attempt; zero if admitted.
  base::milliseconds retry_after{0};
};

// Decides which requests are offered to the servers of a service. Intended for
// a demand of several times what the servers complete: programs that have begun
// go on, because what was computed for them would be wasted, and as many begin
// as the servers can complete in time. The decision follows the estimated load
// alone, so it ends with its cause. Programs are chosen by hash: all gateways
// choose the same ones, whatever their size and however often they return.
// Stateless.
class AdmissionPolicy {
 public:
  explicit AdmissionPolicy(AdmissionSettings settings = {});

  AdmissionDecision Decide(const AdmissionRequest& request,
                           base::Random& random) const;

 private:
  // Share of the programs that may begin.
  double AdmittedShare(const AdmissionRequest& request) const;

  AdmissionSettings settings_;
};

}  // namespace vanillalever::admission

#endif  // VANILLALEVER_ADMISSION_ADMISSION_POLICY_H_
