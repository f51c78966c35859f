#include <catch2/catch.hpp>

#include <cstdint>
#include <iterator>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/stream_record.h"
#include "vanillalever/forwarding/version_history.h"

namespace vanillalever::forwarding {
namespace {

constexpr std::int64_t kStartMs = 1800000000000;
constexpr std::int64_t kRetentionMs = 30000;

TEST_CASE("one version is the origin of all streams") {
  VersionHistory history;
  CHECK_FALSE(history.sole_version(kStartMs));
  CHECK(history.Update({"v1"}, kStartMs));
  CHECK_FALSE(history.Update({"v1"}, kStartMs + 1));
  CHECK(history.sole_version(kStartMs + 1) == "v1");
}

TEST_CASE("a version that has just left still counts") {
  VersionHistory history;
  history.Update({"v1"}, kStartMs);
  CHECK(history.Update({"v1", "v2"}, kStartMs + 1));
  CHECK_FALSE(history.sole_version(kStartMs + 1));
  CHECK(history.Update({"v2"}, kStartMs + 2));
  CHECK_FALSE(history.sole_version(kStartMs + kRetentionMs));
  CHECK(history.sole_version(kStartMs + kRetentionMs + 3) == "v2");
}

TEST_CASE("a gateway that starts after a release learns of the old version") {
  VersionHistory history;
  history.Merge({{"v1", 0}});
  history.Update({"v2"}, kStartMs);
  CHECK_FALSE(history.sole_version(kStartMs));
  CHECK(history.versions().at("v1") == kStartMs);
}

TEST_CASE("a version that has returned serves") {
  VersionHistory history;
  history.Update({"v1"}, kStartMs);
  history.Update({}, kStartMs + 1);
  history.Merge({{"v1", kStartMs - 5}});
  CHECK(history.versions().at("v1") == kStartMs + 1);
  history.Update({"v1"}, kStartMs + 2);
  CHECK(history.versions().at("v1") == 0);
}

TEST_CASE("known versions are complete unless another gateway may know more") {
  constexpr auto kCurrent = VersionKnowledge::kCurrent;
  // A read of the row tells, whatever was announced before.
  for (bool lost : {false, true})
    for (bool silent : {false, true})
      CHECK(JudgeVersions(true, lost, silent) == kCurrent);
  CHECK(JudgeVersions(false, false, false) == VersionKnowledge::kUnconfirmed);
  CHECK(JudgeVersions(false, false, true) == VersionKnowledge::kUnconfirmed);
  CHECK(JudgeVersions(false, true, false) == kCurrent);
  CHECK(JudgeVersions(false, true, true) == VersionKnowledge::kOutdated);
}

TEST_CASE("stored values survive coding, and malformed ones are refused") {
  StreamOrigin origin{"models", "v1.2"};
  CHECK(DecodeStreamOrigin(EncodeStreamOrigin(origin)) == origin);
  ServedVersions versions{{"v1", 0}, {"v2", kStartMs}};
  CHECK(DecodeServedVersions(EncodeServedVersions(versions)) == versions);
  base::Random random(1);
  for (int i = 0; i < 2000; ++i) {
    std::string bytes = EncodeServedVersions(versions);
    bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    bytes.resize(random.Below(bytes.size() + 1));
    // Must neither throw nor read beyond the bytes.
    DecodeServedVersions(bytes);
    DecodeStreamOrigin(bytes);
  }
}

// Gateways that observe the servers late, store the versions together, and are
// killed at any moment, all at once too.
class VersionSchedule {
 public:
  explicit VersionSchedule(std::uint64_t seed) : random_(seed) {
    gateways_.resize(3);
    for (Gateway& gateway : gateways_)
      Restart(gateway);
  }

  void Step() {
    now_ms_ += static_cast<std::int64_t>(random_.Below(4000));
    Gateway& gateway = gateways_[random_.Below(gateways_.size())];
    switch (random_.Below(8)) {
      case 0:
        ChangeServers();
        return;
      case 1:
        Restart(gateway);
        return;
      case 2:
        for (Gateway& each : gateways_)
          Restart(each);
        return;
      case 3:
      case 4:
        Observe(gateway);
        return;
      default:
        Begin(gateway);
        Check(gateway);
    }
  }

  int violations() const { return violations_; }
  int checked() const { return checked_; }

 private:
  struct Gateway {
    VersionHistory history;
    std::set<std::string> registered;
    ServedVersions stored;
    std::uint64_t row_version = 0;
  };
  struct Stream {
    std::string version;
    std::int64_t began_ms = 0;
  };

  void ChangeServers() {
    std::string version = "v" + std::to_string(random_.Below(3));
    if (!servers_.insert(version).second && servers_.size() > 1)
      servers_.erase(version);
  }

  void Restart(Gateway& gateway) {
    gateway = Gateway();
    Read(gateway);
    Observe(gateway);
  }

  void Read(Gateway& gateway) {
    gateway.stored = row_;
    gateway.row_version = row_version_;
    gateway.history.Merge(row_);
  }

  void Observe(Gateway& gateway) {
    gateway.registered = servers_;
    Store(gateway);
  }

  // Writes until the row is what the gateway believes.
  void Store(Gateway& gateway) {
    gateway.history.Update(gateway.registered, now_ms_);
    while (gateway.history.versions() != gateway.stored) {
      if (gateway.row_version == row_version_) {
        row_ = gateway.history.versions();
        ++row_version_;
      }
      Read(gateway);
      gateway.history.Update(gateway.registered, now_ms_);
    }
  }

  // A stream begins at a stored version that the gateway sees.
  void Begin(const Gateway& gateway) {
    const std::set<std::string>& registered = gateway.registered;
    if (registered.empty())
      return;
    auto version = std::next(
        registered.begin(),
        static_cast<std::ptrdiff_t>(random_.Below(registered.size())));
    if (gateway.stored.contains(*version))
      streams_.push_back({*version, now_ms_});
  }

  // A caller takes a stream up at the gateway, which reads the row first.
  void Check(Gateway& gateway) {
    constexpr std::int64_t kLongestStreamMs = 10000;
    Read(gateway);
    Store(gateway);
    std::optional<std::string> sole = gateway.history.sole_version(now_ms_);
    if (!sole)
      return;
    for (const Stream& stream : streams_) {
      if (now_ms_ - stream.began_ms > kLongestStreamMs)
        continue;
      ++checked_;
      violations_ += stream.version == *sole ? 0 : 1;
    }
  }

  base::Random random_;
  std::int64_t now_ms_ = kStartMs;
  std::set<std::string> servers_{"v0"};
  ServedVersions row_;
  std::uint64_t row_version_ = 0;
  std::vector<Gateway> gateways_;
  std::vector<Stream> streams_;
  int violations_ = 0;
  int checked_ = 0;
};

TEST_CASE("no schedule lets a stream go on at another version") {
  int checked = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    VersionSchedule schedule(seed);
    for (int step = 0; step < 300; ++step)
      schedule.Step();
    INFO("seed " << seed);
    CHECK(schedule.violations() == 0);
    checked += schedule.checked();
  }
  CHECK(checked > 1000);
}

}  // namespace
}  // namespace vanillalever::forwarding
