#include "vanillalever/program/record_batch.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "program_fixture.h"
#include "vanillalever/program/program_codec.h"

namespace vanillalever::program {
namespace {

ProgramChange MakeChange(const std::string& key, std::size_t bytes = 10) {
  ProgramChange change;
  change.id = ProgramId::ForRoot("casca", key);
  change.head_key = ProgramCodec::HeadKey(change.id);
  change.expected_version = 4;
  change.writes = {{ProgramCodec::TurnKey(change.id, 1), "turn"},
                   {change.head_key, std::string(bytes, 'x')}};
  return change;
}

// Guards against a retry after a lost response that sends a different
// transaction.
TEST_CASE("the plan does not depend on the order of the additions") {
  RecordBatch forward({}, "token");
  RecordBatch backward({}, "token");
  ProgramChange a = MakeChange("a");
  ProgramChange b = MakeChange("b");
  CHECK(forward.Add({a.id.shard(), 1}, {a}));
  CHECK(forward.Add({b.id.shard(), 2}, {b}));
  CHECK(backward.Add({b.id.shard(), 2}, {b}));
  CHECK(backward.Add({a.id.shard(), 1}, {a}));
  TransactionPlan plan = forward.plan();
  CHECK(plan == backward.plan());
  CHECK(plan.conditions.size() == 4);
  CHECK(plan.conditions[1].key.starts_with("shard/"));
  CHECK(plan.conditions[2].key.starts_with("prog/"));
  CHECK(plan.writes.size() == 4);
  CHECK(std::is_sorted(
      plan.writes.begin(), plan.writes.end(),
      [](const RowWrite& x, const RowWrite& y) { return x.key < y.key; }));
}

// Guards against a transaction that the platform refuses for its size, and
// against a large group that is never committed.
TEST_CASE("a batch is bounded in rows and bytes") {
  RecordBatch rows({.max_rows = 7}, "token");
  CHECK(rows.Add({1, 1}, {MakeChange("a")}));
  CHECK(rows.rows() == 4);
  CHECK(rows.Add({1, 1}, {MakeChange("b")}));
  CHECK_FALSE(rows.Add({1, 1}, {MakeChange("c")}));
  CHECK(rows.rows() == 7);
  RecordBatch bytes({.max_bytes = 1000}, "token");
  CHECK(bytes.Add({1, 1}, {MakeChange("a", 2000)}));
  CHECK_FALSE(bytes.Add({1, 1}, {MakeChange("b")}));
  CHECK(bytes.plan().writes.size() == 2);
}

// Guards against a conflict that is attributed to the wrong shard or program.
TEST_CASE("a conflict names the shard or the program") {
  RecordBatch batch({}, "token");
  ProgramChange a = MakeChange("a");
  CHECK(batch.Add({a.id.shard(), 1}, {a}));
  CHECK(batch.FindConflictSource(a.head_key).program == a.id);
  CHECK(batch.FindConflictSource(RecordBatch::ShardKey(a.id.shard())).shard ==
        a.id.shard());
  ConflictSource none = batch.FindConflictSource("shard/99");
  CHECK_FALSE(none.shard);
  CHECK_FALSE(none.program);
  CHECK(batch.ReadBackKey() == a.head_key);
  CHECK(batch.programs(a.id.shard()) == std::vector<ProgramId>{a.id});
  CHECK(CodeOf([&] { batch.Add({a.id.shard(), 1}, {a}); }) == "internal");
  CHECK(CodeOf([&] {
          batch.Add({a.id.shard(), 2}, {MakeChange("c")});
        }) == "internal");
}

}  // namespace
}  // namespace vanillalever::program
