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

// Consistent snapshot of the configuration in force.
struct ConfigView {
  std::shared_ptr<const config::ConfigBody> body;
  std::shared_ptr<const config::TokenVerifier> tokens;
  // Encoded body, as sent to sidecars.
  std::shared_ptr<const std::string> encoded_body;
};

// Reads, publishes and applies configuration versions. Thread-safe. Functions
// documented as blocking wait for the platform.
class ConfigService {
 public:
  ConfigService(platform::PlatformStore& store,
                base::Duration poll_interval,
                base::CounterRegistry& counters);

  // The version in force. Throws kUnavailable (not run) while none is known.
  // Blocks on a refresh if the last poll is so old that the process must have
  // been paused; it could otherwise act on a superseded version.
  ConfigView Current();
  // The version in force, or an empty view. Never blocks.
  ConfigView Peek() const;

  // Reads the head row and, if it is newer, the body. Blocks.
  void Poll();

  // Validates a change against its base and the current version. Blocks.
  config::ChangeResponse Validate(const config::ChangeSet& change);
  // Validates, commits and publishes a change. Blocks. Throws kUnavailable if
  // the result is not certain; repeating the change with the same token finds a
  // version that was applied.
  config::ChangeResponse Apply(const config::ChangeSet& change);
  // The latest versions in the audit trail, oldest first. Blocks.
  std::vector<config::ConfigVersion> History();
  // One version with its objects. Blocks. Throws kNotFound if it does not
  // exist.
  config::ConfigBody Version(std::int64_t number);

 private:
  // Decoded head row with its row version.
  struct Head {
    config::ConfigHead head;
    std::uint64_t row_version = 0;
  };

  Head ReadHead();
  std::shared_ptr<const config::ConfigBody> ReadBody(std::int64_t number);
  std::optional<std::int64_t> FindAppliedVersion(
      const config::ChangeSet& change,
      std::int64_t current);
  config::ChangeResult Merge(const config::ChangeSet& change,
                             std::int64_t current);
  void Publish(std::shared_ptr<const config::ConfigBody> body);

  platform::PlatformStore& store_;
  base::SteadyClock clock_;
  platform::ReliableCommit commit_;
  const base::Duration poll_interval_;
  base::Counter& version_gauge_;
  base::Counter& applied_changes_;
  base::Counter& refused_changes_;
  mutable std::mutex mutex_;
  std::mutex poll_mutex_;
  ConfigView view_;
  base::TimePoint last_poll_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_CONFIG_SERVICE_H_
