#ifndef VANILLALEVER_ADMISSION_ADMISSION_CONTROL_H_
#define VANILLALEVER_ADMISSION_ADMISSION_CONTROL_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "vanillalever/admission/admission_policy.h"
#include "vanillalever/admission/begun_programs.h"
#include "vanillalever/admission/service_load.h"
#include "vanillalever/admission/service_times.h"
#include "vanillalever/admission/smoothed_wait.h"

namespace vanillalever::admission {

// A request as its gateway sees it.
struct OfferedRequest {
  std::string_view service;
  // Identifies the program; the same for all its requests at all gateways.
  std::uint64_t program_hash = 0;
  // Identifies the conversation within the program; zero if it is not known.
  std::uint64_t conversation_hash = 0;
  // The request itself shows that servers have worked for its program.
  bool follows_earlier_work = false;
  // Zero is the highest priority.
  int priority = 0;
  // Objective of the response, and the caller's time left.
  base::Duration goal{0};
  base::Duration time_left{0};
  // Expected wait beside that for a slot.
  base::Duration other_wait{0};
};

// What one gateway knows beside the servers' load when it admits requests: the
// time that services take, the programs that have begun, and which priorities
// compete. Not thread-safe.
class AdmissionControl {
 public:
  explicit AdmissionControl(AdmissionSettings settings = {});

  // Nothing is refused while slots are free and no other wait is expected.
  AdmissionDecision Decide(const OfferedRequest& request,
                           const ServiceLoad& load,
                           base::TimePoint now,
                           base::Random& random);

  // A server has begun to work for the program or conversation, through this or
  // another gateway.
  void OnBegun(std::uint64_t hash, base::TimePoint now);
  // See ServiceTimes::Record().
  void OnCompleted(std::string_view service,
                   base::Duration duration,
                   int open,
                   int slots);

  const ServiceTimes& service_times() const { return service_times_; }

 private:
  // Most urgent priority of a service's requests.
  struct Urgency {
    int priority = 0;
    base::TimePoint seen_at{};
  };

  // Whether a more urgent request came lately. Remembers this one's priority.
  bool IsLessUrgent(const OfferedRequest& request, base::TimePoint now);

  AdmissionPolicy policy_;
  ServiceTimes service_times_;
  BegunPrograms begun_;
  std::map<std::string, Urgency, std::less<>> most_urgent_;
  std::map<std::string, SmoothedWait, std::less<>> waits_;
};

}  // namespace vanillalever::admission

#endif  // VANILLALEVER_ADMISSION_ADMISSION_CONTROL_H_
