#ifndef VANILLALEVER_CTL_ENTRY_CLIENT_H_
#define VANILLALEVER_CTL_ENTRY_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "vanillalever/base/error.h"
#include "vanillalever/config/admin_codec.h"
#include "vanillalever/ctl/admin_channel.h"
#include "vanillalever/ctl/exit_code.h"

namespace vanillalever::ctl {

// Outcome of a validate or apply request.
struct ChangeOutcome {
  // The entry's response; nullopt if the request failed or the response is
  // malformed.
  std::optional<config::ChangeResponse> response;
  // Set if there is no response, or if the response does not say whether the
  // change was applied.
  std::optional<base::ErrorInfo> failure;
};

// Client of an entry's admin API. The read functions throw base::Error.
class EntryClient {
 public:
  explicit EntryClient(AdminChannel& channel) : channel_(channel) {}

  // `version` selects an earlier version; nullopt the current one.
  config::ConfigResponse Config(std::optional<std::int64_t> version);
  std::vector<config::ConfigVersion> History();
  config::AdminStatus Status();
  // State of a program as JSON text.
  std::string Program(const std::string& id);

  ChangeOutcome Validate(const config::ChangeSet& change);
  ChangeOutcome Apply(const config::ChangeSet& change);

 private:
  // Body of a successful response.
  std::string Get(const std::string& target);
  ChangeOutcome Post(const std::string& target,
                     const config::ChangeSet& change);

  AdminChannel& channel_;
};

// Exit code for an error reported by the entry or the connection.
ExitCode ExitCodeOf(const base::ErrorInfo& error);

}  // namespace vanillalever::ctl

#endif  // VANILLALEVER_CTL_ENTRY_CLIENT_H_
