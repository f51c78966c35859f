#ifndef VANILLALEVER_CTL_OUTCOME_READER_H_
#define VANILLALEVER_CTL_OUTCOME_READER_H_

#include <optional>
#include <string>

#include "vanillalever/config/config_version.h"
#include "vanillalever/ctl/admin_channel.h"
#include "vanillalever/ctl/ctl_settings.h"

namespace vanillalever::ctl {

// Finds out whether a change was applied whose answer was lost (rule R2).
class OutcomeReader {
 public:
  OutcomeReader(AdminChannel& channel, const CtlSettings& settings)
      : channel_(channel), settings_(settings) {}

  // Reads the history until it holds the change, at most for the timeout.
  // Failed readings are repeated.
  std::optional<config::ConfigVersion> Find(const std::string& change_token);

 private:
  // One reading.
  std::optional<config::ConfigVersion> ReadOnce(
      const std::string& change_token);

  AdminChannel& channel_;
  const CtlSettings& settings_;
};

}  // namespace vanillalever::ctl

#endif  // VANILLALEVER_CTL_OUTCOME_READER_H_
