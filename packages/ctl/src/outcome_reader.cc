#include "outcome_reader.h"

#include <algorithm>
#include <thread>
#include <vector>

#include "entry_client.h"
#include "vanillalever/base/clock.h"

namespace vanillalever::ctl {

std::optional<config::ConfigVersion> OutcomeReader::Find(
    const std::string& change_token) {
  base::SteadyClock clock;
  base::TimePoint deadline = clock.now() + settings_.timeout;
  for (;;) {
    if (auto version = ReadOnce(change_token))
      return version;
    if (clock.now() + settings_.history_poll_interval >= deadline)
      return std::nullopt;
    std::this_thread::sleep_for(settings_.history_poll_interval);
  }
}

std::optional<config::ConfigVersion> OutcomeReader::ReadOnce(
    const std::string& change_token) {
  std::vector<config::ConfigVersion> versions;
  try {
    versions = EntryClient(channel_).History();
  } catch (const base::Error&) {
    return std::nullopt;
  }
  auto found =
      std::ranges::find(versions, change_token, &config::ConfigVersion::token);
  if (found == versions.end())
    return std::nullopt;
  return *found;
}

}  // namespace vanillalever::ctl
