#ifndef VANILLALEVER_CTL_OUTCOME_READER_H_
#define VANILLALEVER_CTL_OUTCOME_READER_H_

#include <optional>
#include <string>

#include "vanillalever/config/config_version.h"
#include "vanillalever/ctl/admin_channel.h"
#include "vanillalever/ctl/ctl_settings.h"

namespace vanillalever::ctl {

// Determines from the history whether a change whose response was lost was
// applied, so that an applied change is not reported as failed.
class OutcomeReader {
 public:
  OutcomeReader(AdminChannel& channel, const CtlSettings& settings)
      : channel_(channel), settings_(settings) {}

  // Reads the history until it contains the change or the timeout expires.
  // Failed reads are retried.
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
