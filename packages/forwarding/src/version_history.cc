#include "vanillalever/forwarding/version_history.h"

#include <algorithm>

namespace vanillalever::forwarding {

VersionKnowledge JudgeVersions(bool row_read,
                               bool store_lost,
                               bool reached_by_silent_peer) {
  if (row_read)
    return VersionKnowledge::kCurrent;
  if (!store_lost)
    return VersionKnowledge::kUnconfirmed;
  // Without the store no gateway learns of a server of another version.
  return reached_by_silent_peer ? VersionKnowledge::kOutdated
                                : VersionKnowledge::kCurrent;
}

VersionHistory::VersionHistory(VersionHistorySettings settings)
    : settings_(settings) {}

void VersionHistory::Merge(const ServedVersions& stored) {
  for (const auto& [version, left_at_ms] : stored) {
    auto [found, added] = versions_.try_emplace(version, left_at_ms);
    if (added)
      continue;
    bool serves = found->second == 0 || left_at_ms == 0;
    found->second = serves ? 0 : std::max(found->second, left_at_ms);
  }
}

bool VersionHistory::Update(const std::set<std::string>& registered,
                            std::int64_t now_ms) {
  ServedVersions before = versions_;
  for (const std::string& version : registered)
    versions_[version] = 0;
  for (auto& [version, left_at_ms] : versions_) {
    if (left_at_ms == 0 && !registered.contains(version))
      left_at_ms = now_ms;
  }
  std::erase_if(versions_, [&](const auto& entry) {
    return Expired(entry.second, now_ms);
  });
  return versions_ != before;
}

std::optional<std::string> VersionHistory::sole_version(
    std::int64_t now_ms) const {
  std::optional<std::string> sole;
  for (const auto& [version, left_at_ms] : versions_) {
    if (Expired(left_at_ms, now_ms))
      continue;
    if (sole)
      return std::nullopt;
    sole = version;
  }
  return sole;
}

bool VersionHistory::Expired(std::int64_t left_at_ms,
                             std::int64_t now_ms) const {
  return left_at_ms != 0 &&
         now_ms - left_at_ms > base::milliseconds(settings_.retention).count();
}

}  // namespace vanillalever::forwarding
