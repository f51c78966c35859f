#ifndef VANILLALEVER_ENTRY_SRC_CONFIG_SERVICE_H_
#define VANILLALEVER_ENTRY_SRC_CONFIG_SERVICE_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/counters.h"
#include "vanillalever/config/admin_codec.h"
#include "vanillalever/config/config_holder.h"
#include "vanillalever/config/token_verifier.h"
#include "vanillalever/platform/reliable_commit.h"

namespace vanillalever::entry {

// Configuration in force, as one consistent view.
struct ConfigView {
  std::shared_ptr<const config::ConfigBody> body;
  std::shared_ptr<const config::TokenVerifier> tokens;
  // Encoded body, as sent to sidecars.
  std::shared_ptr<const std::string> text;
};

// Reads, publishes and applies configuration versions. Thread-safe; the calls
// that are marked so block on the platform.
class ConfigService {
 public:
  ConfigService(platform::PlatformStore& store,
                base::Duration poll_interval,
                base::CounterRegistry& counters);

  // The version in force. Throws kUnavailable (not run) while none is known.
  // Blocks on a refresh when the last one is so old that this process must have
  // been paused: it could otherwise act on a superseded version.
  ConfigView Current();
  // The version in force, or an empty view. Never blocks.
  ConfigView Peek() const;

  // Reads the head row and, if it is newer, the body. Blocks.
  void Poll();

  // Validates a change against its base and the current version. Blocks.
  config::ChangeAnswer Validate(const config::ChangeSet& change);
  // Validates and publishes. Blocks. Throws kUnavailable when the result is not
  // certain; the operator finds it by the change's token.
  config::ChangeAnswer Apply(const config::ChangeSet& change);
  // The latest part of the audit trail, oldest first. Blocks.
  std::vector<config::ConfigVersion> History();
  // One version with its objects. Blocks. Throws kNotFound.
  config::ConfigBody Version(std::int64_t number);

 private:
  // Head row as read.
  struct Head {
    config::ConfigHead head;
    std::uint64_t row_version = 0;
  };

  Head ReadHead();
  std::shared_ptr<const config::ConfigBody> ReadBody(std::int64_t number);
  std::optional<std::int64_t> VersionOf(const config::ChangeSet& change,
                                        std::int64_t current);
  config::ChangeResult Merge(const config::ChangeSet& change,
                             std::int64_t current);
  void Publish(std::shared_ptr<const config::ConfigBody> body);

  platform::PlatformStore& store_;
  base::SteadyClock clock_;
  platform::ReliableCommit commit_;
  const base::Duration poll_interval_;
  base::Counter& version_gauge_;
  base::Counter& applied_;
  base::Counter& refused_;
  mutable std::mutex mutex_;
  std::mutex poll_mutex_;
  ConfigView view_;
  base::TimePoint last_attempt_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_CONFIG_SERVICE_H_
