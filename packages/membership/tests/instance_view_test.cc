#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "vanillalever/membership/instance_view.h"
#include "vanillalever/membership/subset_picker.h"

namespace vanillalever::membership {
namespace {

using base::seconds;
using base::TimePoint;

constexpr TimePoint kStart(std::chrono::hours(1));

ListedInstance Listed(const std::string& address, bool leaving = false) {
  return {address, "dc", "models", leaving};
}

// Guards against new work for a server that has reported that it is leaving,
// while the lagging list still shows it as live.
TEST_CASE("a report of leaving takes effect immediately and permanently") {
  InstanceView view{InstanceViewSettings()};
  view.OnListRead({Listed("s1")}, kStart, kStart);
  CHECK(view.AcceptsWork("s1", kStart));
  view.OnReport({"s1", "i1", true}, kStart, kStart);
  view.OnListRead({Listed("s1")}, kStart + seconds(1), kStart + seconds(1));
  CHECK(view.state("s1", kStart + seconds(1)) == InstanceState::kLeaving);
  // A report from before the sidecar was leaving, received late.
  view.OnReport({"s1", "i1", false}, kStart + seconds(2), kStart + seconds(2));
  CHECK_FALSE(view.AcceptsWork("s1", kStart + seconds(2)));
  view.OnReport({"s1", "i2", false}, kStart + seconds(3), kStart + seconds(3));
  CHECK(view.AcceptsWork("s1", kStart + seconds(3)));
  // A late report of the replaced incarnation.
  view.OnReport({"s1", "i1", true}, kStart + seconds(4), kStart + seconds(4));
  CHECK(view.AcceptsWork("s1", kStart + seconds(4)));
}

// Guards against a list entry about an earlier incarnation that excludes a new
// one, and against ignoring the list before the sidecar has learned that it
// must leave.
TEST_CASE("a listed leaving state overrides reports for a limited time") {
  InstanceView view{InstanceViewSettings()};
  view.OnReport({"s1", "i1", false}, kStart, kStart);
  TimePoint now = kStart + seconds(1);
  view.OnListRead({Listed("s1", true)}, now, now);
  view.OnReport({"s1", "i1", false}, now + seconds(1), now + seconds(1));
  CHECK_FALSE(view.AcceptsWork("s1", now + seconds(1)));
  view.OnReport({"s1", "i1", false}, now + seconds(3), now + seconds(3));
  CHECK(view.AcceptsWork("s1", now + seconds(3)));
  InstanceView fresh{InstanceViewSettings()};
  fresh.OnListRead({Listed("s1", true)}, kStart, kStart);
  CHECK_FALSE(fresh.AcceptsWork("s1", kStart));
  fresh.OnReport({"s1", "i2", false}, now, now);
  CHECK(fresh.AcceptsWork("s1", now));
}

// Guards against reporting work as `unknown` when its sidecar is only paused or
// missing from one list.
TEST_CASE("missing reports alone do not prove that a sidecar has ended") {
  InstanceView view{InstanceViewSettings()};
  view.OnListRead({Listed("s1"), Listed("s2")}, kStart, kStart);
  view.OnReport({"s1", "i1", false}, kStart, kStart);
  TimePoint late = kStart + seconds(300);
  CHECK(view.state("s1", late) == InstanceState::kDead);
  CHECK_FALSE(view.IncarnationEnded("s1", "i1", late));
  view.OnListRead({}, late - seconds(290), late - seconds(290));
  CHECK_FALSE(view.IncarnationEnded("s1", "i1", kStart + seconds(20)));
  CHECK(view.IncarnationEnded("s1", "i1", late));
  CHECK_FALSE(view.IncarnationEnded("unheard of", "i1", late));
  view.OnReport({"s1", "i2", false}, late, late);
  CHECK(view.IncarnationEnded("s1", "i1", late));
  CHECK_FALSE(view.IncarnationEnded("s1", "i2", late));
  CHECK(view.incarnation("s1") == "i2");
  CHECK(view.live("models", late).size() == 1);
  view.Prune(late + seconds(400));
  CHECK_FALSE(view.incarnation("s1").has_value());
}

// Guards against an outdated list response that replaces a newer one.
TEST_CASE("list responses are applied in the order of their requests") {
  InstanceView view{InstanceViewSettings()};
  view.OnListRead({Listed("s1", true)}, kStart + seconds(2),
                  kStart + seconds(2));
  view.OnListRead({Listed("s1")}, kStart, kStart + seconds(3));
  CHECK(view.state("s1", kStart + seconds(3)) == InstanceState::kLeaving);
}

std::vector<PeerLocation> Peers(const std::string& prefix, int count) {
  std::vector<PeerLocation> peers;
  peers.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    peers.push_back({prefix + std::to_string(i), "dc" + std::to_string(i % 3)});
  return peers;
}

// Guards against sidecars in the subsets of no entry or of too many, and
// against subsets that depend on the order of the lists.
TEST_CASE("subsets are bounded, balanced and cover every sidecar") {
  SubsetSettings settings;
  SubsetPicker picker(settings);
  std::vector<PeerLocation> entries = Peers("e", 60);
  std::vector<PeerLocation> sidecars = Peers("s", 240);
  std::map<std::string, int> uses;
  for (const PeerLocation& entry : entries) {
    std::vector<std::string> subset =
        picker.Pick(entry.name, entries, sidecars);
    CHECK(subset.size() == settings.size);
    CHECK(std::set<std::string>(subset.begin(), subset.end()).size() ==
          subset.size());
    for (const std::string& name : subset)
      ++uses[name];
  }
  CHECK(uses.size() == sidecars.size());
  for (const auto& [name, count] : uses)
    CHECK((count >= 3 && count <= 10));  // the mean is 6
  std::vector<PeerLocation> reversed(sidecars.rbegin(), sidecars.rend());
  CHECK(picker.Pick("e7", entries, sidecars) ==
        picker.Pick("e7", entries, reversed));
}

// Guards against sidecars that receive no work because no entry runs in their
// data centre.
TEST_CASE("sidecars of a data centre without entries are covered") {
  SubsetPicker picker{SubsetSettings()};
  std::vector<PeerLocation> entries{{"e1", "dc0"}, {"e2", "dc1"}};
  std::vector<PeerLocation> sidecars = Peers("s", 30);
  std::set<std::string> covered;
  for (const PeerLocation& entry : entries) {
    for (const std::string& name : picker.Pick(entry.name, entries, sidecars))
      covered.insert(name);
  }
  CHECK(covered.size() == 30);
  CHECK(picker.Pick("stranger", entries, sidecars).empty());
}

}  // namespace
}  // namespace vanillalever::membership
