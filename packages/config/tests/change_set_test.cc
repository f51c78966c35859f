#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "sample_objects.h"
#include "vanillalever/config/change_set.h"

namespace vanillalever::config {
namespace {

ChangeSet Change(std::vector<Object> put, std::vector<ObjectId> remove = {}) {
  ChangeSet change;
  change.base_version = 1;
  change.token = "t";
  change.author = "ana";
  change.reason = "test";
  change.put = std::move(put);
  change.remove = std::move(remove);
  return change;
}

Budget SmallBudget(std::int64_t tokens) {
  return {"small", BudgetScope::kProgram, tokens};
}

// Set after a concurrent change was accepted.
ConfigSet SetAfter(const ChangeSet& change) {
  ChangeResult result = Apply(SampleSet(), change);
  REQUIRE(result.accepted());
  return result.set;
}

// Guards against a diff that hides a change from the audit trail.
TEST_CASE("a diff names added, changed and removed objects and fields") {
  Pool desk = *SampleSet().Find<Pool>("desk");
  desk.operations[1].repeatable = true;
  desk.operations.push_back({"list", true, 0, std::chrono::milliseconds(0)});
  desk.checks_sender = true;
  ChangeSet change = Change({desk, Budget{"big", BudgetScope::kProgram, 9}},
                            {{Kind::kPriority, "rest"}});
  Diff diff = Apply(SampleSet(), change).diff;
  REQUIRE(diff.size() == 3);
  CHECK(diff[0] == ObjectDiff{{Kind::kBudget, "big"}, DiffAction::kAdded, {}});
  CHECK(diff[1].id.text() == "pool/desk");
  CHECK(diff[1].action == DiffAction::kChanged);
  CHECK(diff[1].fields ==
        std::vector<FieldChange>{
            {"checks_sender", "false", "true"},
            {"operations[list]", "", R"({"name":"list","repeatable":true})"},
            {"operations[pay].repeatable", "false", "true"}});
  CHECK(diff[2] ==
        ObjectDiff{{Kind::kPriority, "rest"}, DiffAction::kRemoved, {}});
}

// Guards against a reordering that a comparison by name does not detect.
TEST_CASE("a reordering of named elements is reported") {
  Pool desk = *SampleSet().Find<Pool>("desk");
  std::swap(desk.operations[0], desk.operations[1]);
  Diff diff = Apply(SampleSet(), Change({desk})).diff;
  REQUIRE(diff.size() == 1);
  REQUIRE(diff[0].fields.size() == 1);
  CHECK(diff[0].fields[0].path == "operations");
}

// Guards against change sets that contradict themselves or lack an author.
TEST_CASE("the change set itself is validated") {
  ChangeSet change =
      Change({SmallBudget(1), SmallBudget(2)},
             {{Kind::kBudget, "small"}, {Kind::kPool, "missing"}});
  change.author.clear();
  change.reason.clear();
  change.token.clear();
  std::vector<std::string> locations;
  for (const ConfigError& error : Apply(SampleSet(), change).errors)
    locations.push_back(error.object + " " + error.field);
  CHECK(locations == std::vector<std::string>{
                         "change token", "change author", "change reason",
                         "budget/small ", "budget/small ", "pool/missing "});
  CHECK_FALSE(Apply(SampleSet(), Change({})).accepted());
}

// Guards against publishing a set with references to a deleted object.
TEST_CASE("the result of a change is validated as a whole") {
  ChangeResult result =
      Apply(SampleSet(), Change({}, {{Kind::kPlace, "coast"}}));
  CHECK_FALSE(result.accepted());
  CHECK(result.errors.size() == 2);
}

// Guards against the second of two concurrent changes overwriting the first.
TEST_CASE("concurrent changes of one object conflict") {
  ConfigSet current = SetAfter(Change({SmallBudget(150)}));
  for (const ChangeSet& change :
       {Change({SmallBudget(180)}),
        Change({Budget{"big", BudgetScope::kProgram, 9}, SmallBudget(180)})}) {
    ChangeResult result = Rebase(SampleSet(), current, change);
    CHECK_FALSE(result.accepted());
    CHECK(result.conflicts == std::vector<ObjectId>{{Kind::kBudget, "small"}});
    CHECK(result.errors.empty());
  }
}

// Guards against a deleted object that reappears, and against two new objects
// of the same name.
TEST_CASE("concurrent deletions and additions conflict") {
  ConfigSet without = SetAfter(Change({}, {{Kind::kPriority, "rest"}}));
  Priority rest{"rest", 2, 0, std::chrono::milliseconds(5)};
  CHECK(Rebase(SampleSet(), without, Change({rest})).conflicts ==
        std::vector<ObjectId>{{Kind::kPriority, "rest"}});
  CHECK(Rebase(SampleSet(), without, Change({}, {{Kind::kPriority, "rest"}}))
            .conflicts == std::vector<ObjectId>{{Kind::kPriority, "rest"}});
  Budget big{"big", BudgetScope::kProgram, 9};
  ConfigSet with = SetAfter(Change({big}));
  big.tokens = 8;
  CHECK(Rebase(SampleSet(), with, Change({big})).conflicts ==
        std::vector<ObjectId>{{Kind::kBudget, "big"}});
}

// Guards against spurious conflicts, and against a rebased change that reverts
// the concurrent one.
TEST_CASE("concurrent changes of different objects are merged") {
  ConfigSet current = SetAfter(Change({SmallBudget(150)}));
  Priority rest{"rest", 5, 0, std::chrono::milliseconds(5)};
  ChangeResult result = Rebase(SampleSet(), current, Change({rest}));
  REQUIRE(result.accepted());
  CHECK(result.set.Find<Budget>("small")->tokens == 150);
  CHECK(result.set.Find<Priority>("rest")->rank == 5);
  REQUIRE(result.diff.size() == 1);
  CHECK(result.diff[0].id.text() == "priority/rest");
}

// Guards against two changes that are valid separately but contradict each
// other.
TEST_CASE("concurrent changes whose combination is invalid conflict") {
  ConfigSet current = SetAfter(Change({}, {{Kind::kPriority, "rest"}}));
  ProgramClass check = *SampleSet().Find<ProgramClass>("check");
  check.priority = "rest";
  ChangeResult result = Rebase(SampleSet(), current, Change({check}));
  CHECK_FALSE(result.accepted());
  CHECK(result.conflicts ==
        std::vector<ObjectId>{{Kind::kProgramClass, "check"}});
  REQUIRE(result.errors.size() == 1);
  CHECK(result.errors[0].field == "priority");
}

// Guards against attributing an error of this change to a concurrent one.
TEST_CASE("a change that is invalid against its base has no conflicts") {
  ConfigSet current = SetAfter(Change({SmallBudget(150)}));
  ChangeResult result =
      Rebase(SampleSet(), current, Change({}, {{Kind::kPool, "desk"}}));
  CHECK(result.conflicts.empty());
  CHECK(result.errors.size() == 1);
}

}  // namespace
}  // namespace vanillalever::config
