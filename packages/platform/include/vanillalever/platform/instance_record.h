#ifndef VANILLALEVER_PLATFORM_INSTANCE_RECORD_H_
#define VANILLALEVER_PLATFORM_INSTANCE_RECORD_H_

#include <string>

#include "vanillalever/base/name_table.h"

namespace vanillalever::platform {

// State of an instance in the platform's list.
enum class InstanceState { kLive, kLeaving };

inline constexpr base::NameTable<InstanceState, 2> kInstanceStateNames({
    "live",
    "leaving",
});

// One entry of the platform's instance list, which lags behind changes.
struct InstanceRecord {
  // "host:port" of the instance.
  std::string address;
  // Service that the instance belongs to, for example "ticket-app".
  std::string service;
  std::string data_centre;
  InstanceState state = InstanceState::kLive;

  friend bool operator==(const InstanceRecord&,
                         const InstanceRecord&) = default;
};

}  // namespace vanillalever::platform

#endif  // VANILLALEVER_PLATFORM_INSTANCE_RECORD_H_
