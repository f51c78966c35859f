#include <functional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "sample_objects.h"
#include "vanillalever/config/config_set.h"

namespace vanillalever::config {
namespace {

// An invalid set and the expected error.
struct InvalidSet {
  std::function<void(ConfigSet&)> edit;
  std::string object;
  std::string field;
  std::string expected;
};

// Modifies one object of a set.
template <typename T>
std::function<void(ConfigSet&)> Edit(const std::string& name,
                                     std::function<void(T&)> edit) {
  return [name, edit](ConfigSet& set) {
    T object = *set.Find<T>(name);
    edit(object);
    set.Put(object);
  };
}

std::function<void(ConfigSet&)> EditPool(const std::string& name,
                                         std::function<void(Pool&)> edit) {
  return Edit<Pool>(name, std::move(edit));
}

std::function<void(ConfigSet&)> EditClass(
    std::function<void(ProgramClass&)> edit) {
  return Edit<ProgramClass>("check", std::move(edit));
}

std::function<void(ConfigSet&)> Drop(const std::string& id) {
  return
      [id](ConfigSet& set) { REQUIRE(set.Remove(ParseObjectId(id).value())); };
}

std::function<void(ConfigSet&)> Add(const Object& object) {
  return [object](ConfigSet& set) { set.Put(object); };
}

// Reserves shares for the two priorities of pool/desk.
std::function<void(ConfigSet&)> EditReservedShares(double urgent, double rest) {
  return [urgent, rest](ConfigSet& set) {
    ProgramClass other = *set.Find<ProgramClass>("check");
    other.name = "other";
    other.priority = "rest";
    other.pools = {"desk"};
    set.Put(other);
    Edit<Priority>("urgent",
                   [urgent](auto& p) { p.reserved_share = urgent; })(set);
    Edit<Priority>("rest", [rest](auto& p) { p.reserved_share = rest; })(set);
  };
}

Pool OtherDesk(const std::string& place) {
  Pool pool = *SampleSet().Find<Pool>("desk");
  pool.name = "other";
  pool.place = place;
  return pool;
}

// One case per validation rule of a whole set that a single edit can violate.
std::vector<InvalidSet> InvalidSets() {
  using std::chrono::milliseconds;
  return {
      {Edit<Organisation>("north", [](auto& o) { o.budget = "none"; }),
       "organisation/north", "budget", "found no budget/none"},
      {Edit<Organisation>("north", [](auto& o) { o.budget = "small"; }),
       "organisation/north", "budget", "of scope organisation"},
      {Edit<Organisation>("north", [](auto& o) { o.classes = {"x"}; }),
       "organisation/north", "classes[0]", "found no program_class/x"},
      {Add(Organisation{"south", {HashToken("t2")}, {"check"}, "total"}),
       "organisation/south", "classes[0]", "found one of organisation/north"},
      {Add(Organisation{"south", {HashToken("token")}, {}, "total"}),
       "organisation/south", "token_hashes[0]", "of organisation/north"},
      {Drop("priority/urgent"), "program_class/check", "priority",
       "found no priority/urgent"},
      {Drop("budget/small"), "program_class/check", "default_budget",
       "found no budget/small"},
      {Drop("pool/desk"), "program_class/check", "pools[1]",
       "found no pool/desk"},
      {EditClass([](auto& c) { c.pools.clear(); }), "program_class/check",
       "pools", "at least one pool"},
      {EditClass([](auto& c) { c.expected_tokens = 501; }),
       "program_class/check", "expected_tokens", "limits.spend_tokens, 500"},
      {EditClass([](auto& c) { c.default_deadline = milliseconds(5001); }),
       "program_class/check", "default_deadline_ms", "limits.elapsed_ms"},
      {Edit<Budget>("small", [](auto& b) { b.tokens = 501; }),
       "program_class/check", "default_budget", "limits.spend_tokens, 500"},
      {Edit<Budget>("total", [](auto& b) { b.tokens = 199; }),
       "program_class/check", "default_budget",
       "the organisation's budget, 199, found 200 in budget/small"},
      // The organisation's own list would contradict the edited class as well.
      {[](ConfigSet& set) {
         Edit<Organisation>("north", [](auto& o) { o.classes = {}; })(set);
         EditClass([](auto& c) { c.organisation = "south"; })(set);
       },
       "program_class/check", "organisation", "found no organisation/south"},
      {EditPool("engines",
                [](auto& p) {
                  p.reachable_without_sidecar = true;
                  p.checks_sender = true;
                }),
       "pool/engines", "reachable_without_sidecar", "fencing tokens"},
      {EditPool("engines",
                [](auto& p) {
                  p.reachable_without_sidecar = true;
                  p.checks_fencing = true;
                }),
       "pool/engines", "reachable_without_sidecar", "the sender"},
      {EditPool("engines", [](auto& p) { p.service = "s"; }), "pool/engines",
       "servers", "found both"},
      {EditPool("desk", [](auto& p) { p.service = ""; }), "pool/desk",
       "servers", "found neither"},
      {EditPool("engines", [](auto& p) { p.expected_servers = 2; }),
       "pool/engines", "expected_servers", "no such field"},
      {EditPool("desk", [](auto& p) { p.place = "moon"; }), "pool/desk",
       "place", "found no place/moon"},
      {EditPool("engines", [](auto& p) { p.servers[0].data_centre = "z"; }),
       "pool/engines", "servers[0].data_centre", "a data centre of"},
      {EditPool("engines",
                [](auto& p) { p.servers[1].address = "10.0.0.1:80"; }),
       "pool/engines", "servers[1].address", "listed only once"},
      {EditPool("desk", [](auto& p) { p.operations[1].name = "read"; }),
       "pool/desk", "operations[1].name", "found read"},
      {EditPool("engines", [](auto& p) { p.model = ""; }), "pool/engines",
       "model", "a model name"},
      {EditPool("engines", [](auto& p) { p.max_tokens_per_call = 0; }),
       "pool/engines", "max_tokens_per_call", "at least 1"},
      {EditPool("desk", [](auto& p) { p.model = "m"; }), "pool/desk", "model",
       "no such field"},
      {EditPool("desk", [](auto& p) { p.max_tokens_per_call = 1; }),
       "pool/desk", "max_tokens_per_call", "no such field"},
      {Add(OtherDesk("coast")), "pool/other", "service", "of pool/desk"},
      {EditReservedShares(1, 0), "priority/rest", "reserved_share",
       "reserve every slot of pool/desk"},
      {Add(Place{"hill", "east", {"b"}, {}, 0}), "place/hill",
       "data_centres[0]", "of place/coast"},
      {Edit<Place>("coast", [](auto& p) { p.distances[0].from = "z"; }),
       "place/coast", "distances[0].from", "of this place, found z"},
      {Edit<Place>("coast", [](auto& p) { p.distances[0].to = "z"; }),
       "place/coast", "distances[0].to", "found z"},
      {Edit<Place>("coast", [](auto& p) { p.distances[0].to = "a"; }),
       "place/coast", "distances[0].to", "another data centre"},
      {Edit<Place>("coast",
                   [](auto& p) {
                     p.distances.push_back({"b", "a", 2});
                   }),
       "place/coast", "distances[1]", "one distance for each pair"},
  };
}

// Guards against rejecting a valid configuration.
TEST_CASE("a consistent set is valid") {
  CHECK_THAT(Text(SampleSet().Validate()), Catch::Equals(""));
  CHECK_THAT(Text(ConfigSet().Validate()), Catch::Equals(""));
}

// Guards against a contradiction that takes effect or is reported without its
// location.
TEST_CASE("each contradiction names object, field and what was expected") {
  for (const InvalidSet& bad : InvalidSets()) {
    ConfigSet set = SampleSet();
    bad.edit(set);
    INFO(bad.object << " " << bad.field << " " << bad.expected);
    ConfigErrors errors = set.Validate();
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].object == bad.object);
    CHECK(errors[0].field == bad.field);
    CHECK_THAT(errors[0].expected, Catch::Contains(bad.expected));
  }
}

// Guards against reporting only the first error, so that operators fix one per
// attempt.
TEST_CASE("all contradictions of a set are reported") {
  ConfigSet set = SampleSet();
  Drop("place/coast")(set);
  Drop("budget/total")(set);
  EditReservedShares(0.25, 0.9)(set);
  std::vector<std::string> locations;
  for (const ConfigError& error : set.Validate())
    locations.push_back(error.object + " " + error.field);
  CHECK(locations == std::vector<std::string>{
                         "organisation/north budget", "pool/desk place",
                         "pool/engines place", "priority/rest reserved_share",
                         "priority/urgent reserved_share"});
}

// Guards against rejecting engines that check fencing tokens and senders
// themselves.
TEST_CASE("a pool that checks fencing tokens and senders may be reachable") {
  ConfigSet set = SampleSet();
  EditPool("engines", [](Pool& pool) {
    pool.reachable_without_sidecar = true;
    pool.checks_fencing = true;
    pool.checks_sender = true;
  })(set);
  CHECK_THAT(Text(set.Validate()), Catch::Equals(""));
}

// Guards against coupling the priorities of organisations that share no pool:
// shares are summed per pool, and ranks may be equal.
TEST_CASE("priorities of different pools do not limit each other") {
  ConfigSet set = SampleSet();
  EditReservedShares(0.9, 0)(set);
  Edit<ProgramClass>("check", [](auto& c) { c.pools = {"engines"}; })(set);
  Edit<Priority>("rest", [](auto& p) {
    p.reserved_share = 0.9;
    p.rank = 0;
  })(set);
  CHECK_THAT(Text(set.Validate()), Catch::Equals(""));
}

// Guards against one of two objects of the same name silently replacing the
// other.
TEST_CASE("two objects of the same kind and name are an error") {
  std::vector<Object> objects = SampleSet().Objects();
  objects.emplace_back(Budget{"small", BudgetScope::kProgram, 7});
  BuiltSet built = BuildSet(objects);
  REQUIRE(built.errors.size() == 1);
  CHECK(built.errors[0].object == "budget/small");
  CHECK(built.errors[0].field == "name");
}

// Guards against a set whose hash depends on the order of its files.
TEST_CASE("the body hash depends on the objects only") {
  std::vector<Object> objects = SampleSet().Objects();
  std::vector<Object> reversed(objects.rbegin(), objects.rend());
  CHECK(BuildSet(reversed).set.BodyHash() == SampleSet().BodyHash());
  ConfigSet other = SampleSet();
  Edit<Budget>("small", [](auto& b) { ++b.tokens; })(other);
  CHECK(other.BodyHash() != SampleSet().BodyHash());
}

// Guards against distances that apply in one direction only.
TEST_CASE("distances are symmetric") {
  const ConfigSet set = SampleSet();
  const Place& place = *set.Find<Place>("coast");
  CHECK(place.distance("b", "a") == 1.5);
  CHECK(place.distance("a", "a") == 0.0);
  CHECK_FALSE(place.distance("a", "z").has_value());
}

}  // namespace
}  // namespace vanillalever::config
