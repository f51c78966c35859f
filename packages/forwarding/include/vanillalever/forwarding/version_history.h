#ifndef VANILLALEVER_FORWARDING_VERSION_HISTORY_H_
#define VANILLALEVER_FORWARDING_VERSION_HISTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "vanillalever/base/clock.h"

namespace vanillalever::forwarding {

// Software versions of a service and the Unix time in ms at which the last
// server of each left; zero while one is registered.
using ServedVersions = std::map<std::string, std::int64_t>;

// Whether the versions that a gateway knows are all at which a stream can have
// begun.
enum class VersionKnowledge {
  kCurrent,
  // A call to the store may still tell.
  kUnconfirmed,
  // Another gateway may know a version that this one cannot learn of.
  kOutdated,
};

// `row_read`: the stored versions were read after the caller asked.
// `store_lost`, `reached_by_silent_peer`: see StoreView.
VersionKnowledge JudgeVersions(bool row_read,
                               bool store_lost,
                               bool reached_by_silent_peer);

// Settings of VersionHistory.
struct VersionHistorySettings {
  // How long a version that has left counts: longer than a caller tries to
  // complete a stream, and than the clocks of two machines differ.
  base::seconds retention{30};
};

// Software versions that served one service recently, from the registered
// servers and from what the gateways have stored together. Not thread-safe.
class VersionHistory {
 public:
  explicit VersionHistory(VersionHistorySettings settings = {});

  // Adds what the gateways have stored.
  void Merge(const ServedVersions& stored);
  // `registered`: versions of the servers that are registered now. Returns
  // whether what is stored has to change.
  bool Update(const std::set<std::string>& registered, std::int64_t now_ms);

  // The version of every stream that may still be taken up, if there is only
  // one.
  std::optional<std::string> sole_version(std::int64_t now_ms) const;
  const ServedVersions& versions() const { return versions_; }

 private:
  bool Expired(std::int64_t left_at_ms, std::int64_t now_ms) const;

  VersionHistorySettings settings_;
  ServedVersions versions_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_VERSION_HISTORY_H_
