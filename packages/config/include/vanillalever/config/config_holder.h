#ifndef VANILLALEVER_CONFIG_CONFIG_HOLDER_H_
#define VANILLALEVER_CONFIG_CONFIG_HOLDER_H_

#include <cstdint>
#include <memory>
#include <mutex>

#include "vanillalever/config/config_version.h"

namespace vanillalever::config {

// Result of ConfigHolder::Offer.
enum class OfferResult {
  kAccepted,   // the offered version is now current
  kUnchanged,  // the offered version is already current
  kOlder,      // rejected: a higher version is current
  kMismatch,  // rejected: the current version has this number but other objects
};

// Configuration in effect in this process. Thread-safe. Never reverts to a
// lower version.
class ConfigHolder {
 public:
  // Makes `body` current unless it is lower than the current version.
  OfferResult Offer(std::shared_ptr<const ConfigBody> body);

  // Current version; nullptr until the first one is accepted. A process without
  // a configuration serves no requests.
  std::shared_ptr<const ConfigBody> current() const;

  // Number of the current version; zero until the first one is accepted.
  std::int64_t number() const;

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const ConfigBody> current_;
};

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_CONFIG_HOLDER_H_
