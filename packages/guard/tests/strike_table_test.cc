#include "vanillalever/guard/strike_table.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "vanillalever/base/error.h"
#include "vanillalever/base/random.h"
#include "vanillalever/guard/fingerprint.h"
#include "vanillalever/guard/strike_codec.h"

namespace vanillalever::guard {
namespace {

using enum StrikeVerdict;

constexpr base::TimePoint kStart{std::chrono::hours(100)};

std::string CrashingRequest() {
  return RequestFingerprint("models", "chat", "bad");
}

std::string HarmlessRequest() {
  return RequestFingerprint("models", "chat", "good");
}

// In-memory table of the platform with conditional writes.
struct FakeRows {
  std::map<std::string, std::pair<std::string, std::uint64_t>> rows;
  std::uint64_t version = 0;

  bool Write(const StrikeChange& change) {
    std::optional<StrikeRow> row = Read(change.key);
    if ((row ? row->version : 0) != change.expected_version)
      return false;
    ++version;
    if (change.value)
      rows[change.key] = {*change.value, version};
    else
      rows.erase(change.key);
    return true;
  }

  std::optional<StrikeRow> Read(const std::string& key) const {
    if (!rows.contains(key))
      return std::nullopt;
    return StrikeRow{key, rows.at(key).first, rows.at(key).second};
  }

  // Returns the stored record of Bad().
  StrikeRecord Stored() const {
    std::string key = StrikeCodec::Key(CrashingRequest());
    return StrikeCodec::Decode(key, rows.at(key).first);
  }

  std::vector<StrikeRow> List() const {
    std::vector<StrikeRow> list;
    for (const auto& [key, row] : rows)
      list.push_back({key, row.first, row.second});
    return list;
  }
};

// Writes all pending changes and reads rows back after conflicts.
void Flush(StrikeTable& table, FakeRows& rows, base::TimePoint now) {
  for (int round = 0; round < 10; ++round) {
    std::vector<StrikeChange> changes = table.TakeChanges(100);
    if (changes.empty())
      return;
    for (const StrikeChange& change : changes) {
      if (rows.Write(change))
        table.OnWriteApplied(change.fingerprint, rows.version, now);
      else
        table.OnWriteConflict(change.fingerprint, rows.Read(change.key), now);
    }
  }
  FAIL("the changes do not converge");
}

// Guards against a request that is not recognised when sent again, or is taken
// for another one.
TEST_CASE("fingerprints cover pool, operation and body") {
  CHECK(IsFingerprint(CrashingRequest()));
  CHECK(RequestFingerprint("models", "chat", "bad") == CrashingRequest());
  CHECK(RequestFingerprint("model", "schat", "bad") != CrashingRequest());
  CHECK(RequestFingerprint("models", "chat", "bad ") != CrashingRequest());
  CHECK_FALSE(IsFingerprint("ABCDEF"));
}

// Guards against a request that is retried on, and crashes, one backend server
// after another.
TEST_CASE("a suspect runs alone and is quarantined when it crashes again") {
  StrikeTable table({});
  CHECK(table.Evaluate(CrashingRequest(), kStart) == kNormal);
  table.RecordCrash("sidecar-1", {CrashingRequest(), HarmlessRequest()},
                    kStart);
  table.RecordCrash("sidecar-1", {CrashingRequest(), HarmlessRequest()},
                    kStart);
  CHECK(table.Evaluate(CrashingRequest(), kStart) == kRunAlone);
  CHECK(table.Evaluate(HarmlessRequest(), kStart) == kRunAlone);
  CHECK(
      table.AcquireRunAlone(CrashingRequest(), "t1", "10.0.0.1:7000", kStart));
  CHECK_FALSE(
      table.AcquireRunAlone(CrashingRequest(), "t2", "10.0.0.2:7000", kStart));
  CHECK(table.Evaluate(CrashingRequest(), kStart) == kWait);
  CHECK_FALSE(table.run_alone_durable(CrashingRequest(), "t1"));
  FakeRows rows;
  Flush(table, rows, kStart);
  CHECK(table.run_alone_durable(CrashingRequest(), "t1"));
  CHECK_FALSE(table.run_alone_durable(CrashingRequest(), "t2"));
  table.RecordCrash("sidecar-2", {CrashingRequest()}, kStart);
  CHECK(table.Evaluate(CrashingRequest(), kStart) == kQuarantined);
  table.RecordCompletion(CrashingRequest(), kStart);
  CHECK(table.Evaluate(CrashingRequest(), kStart) == kQuarantined);
  // The co-runner completes and is cleared, locally and in the table.
  table.RecordCompletion(HarmlessRequest(), kStart);
  CHECK(table.Evaluate(HarmlessRequest(), kStart) == kNormal);
  table.RecordCrash("sidecar-1", {CrashingRequest(), HarmlessRequest()},
                    kStart);
  CHECK(table.Evaluate(HarmlessRequest(), kStart) == kNormal);
  Flush(table, rows, kStart);
  CHECK(rows.rows.size() == 1);
  CHECK(table.quarantined() == 1);
  CHECK(table.size() == 1);
}

// Guards against a crash-causing request that is never quarantined because it
// always runs together with others.
TEST_CASE("the configured number of strikes quarantines") {
  StrikeTable table({.quarantine_strikes = 3});
  table.RecordCrash("s1", {CrashingRequest(), HarmlessRequest()}, kStart);
  table.RecordCrash("s2", {CrashingRequest(), HarmlessRequest()}, kStart);
  CHECK(table.Evaluate(CrashingRequest(), kStart) == kRunAlone);
  table.RecordCrash("s3", {CrashingRequest(), HarmlessRequest()}, kStart);
  CHECK(table.Evaluate(CrashingRequest(), kStart) == kQuarantined);
  StrikeTable alone({});
  alone.RecordCrash("s1", {CrashingRequest(), CrashingRequest()}, kStart);
  alone.RecordStrike("s1", HarmlessRequest(), false, kStart);
  CHECK(alone.Evaluate(HarmlessRequest(), kStart) == kRunAlone);
  CHECK(alone.Evaluate(CrashingRequest(), kStart) == kQuarantined);
}

// Guards against a permission that is never released, or is released while the
// attempt may still run.
TEST_CASE("the permission to run alone ends with the attempt or its timeout") {
  StrikeSettings settings;
  StrikeTable table(settings);
  FakeRows rows;
  table.RecordCrash("s1", {CrashingRequest(), HarmlessRequest()}, kStart);
  CHECK(table.AcquireRunAlone(CrashingRequest(), "t1", "server", kStart));
  Flush(table, rows, kStart);
  table.ReleaseRunAlone(CrashingRequest(), "t2", kStart);
  CHECK(table.Evaluate(CrashingRequest(), kStart) == kWait);
  base::TimePoint end = kStart + settings.run_alone_timeout;
  CHECK(table.Evaluate(CrashingRequest(), end - base::milliseconds(1)) ==
        kWait);
  CHECK(table.Evaluate(CrashingRequest(), end) == kRunAlone);
  table.ReleaseRunAlone(CrashingRequest(), "t1", kStart);
  CHECK(table.Evaluate(CrashingRequest(), kStart) == kRunAlone);
  Flush(table, rows, kStart);
  CHECK(rows.Stored().alone_token.empty());
}

// Guards against two entries that run one suspect at the same time.
TEST_CASE("only one of two entries gets the permission to run alone") {
  FakeRows rows;
  StrikeTable first({});
  StrikeTable second({});
  first.RecordCrash("s1", {CrashingRequest(), HarmlessRequest()}, kStart);
  Flush(first, rows, kStart);
  second.MergeListing(rows.List(), kStart, kStart);
  CHECK(first.AcquireRunAlone(CrashingRequest(), "t1", "a", kStart));
  CHECK(second.AcquireRunAlone(CrashingRequest(), "t2", "b", kStart));
  Flush(second, rows, kStart);
  Flush(first, rows, kStart);
  CHECK(second.run_alone_durable(CrashingRequest(), "t2"));
  CHECK_FALSE(first.run_alone_durable(CrashingRequest(), "t1"));
  CHECK(first.Evaluate(CrashingRequest(), kStart) == kWait);
}

// Guards against a damaged row that permanently prevents strikes of its request
// from being stored.
TEST_CASE("a malformed row is replaced") {
  FakeRows rows;
  StrikeTable table({});
  rows.version = 7;
  rows.rows[StrikeCodec::Key(CrashingRequest())] = {"{", 7};
  table.RecordCrash("s1", {CrashingRequest(), HarmlessRequest()}, kStart);
  Flush(table, rows, kStart);
  CHECK(rows.Stored().crashes.size() == 1);
}

// Guards against strikes that are lost when two entries write, and against rows
// that never expire.
TEST_CASE("rows are merged, and expire when they have not changed") {
  FakeRows rows;
  StrikeSettings settings;
  StrikeTable first(settings);
  StrikeTable second(settings);
  first.RecordCrash("s1", {CrashingRequest(), HarmlessRequest()}, kStart);
  second.RecordCrash("s2", {CrashingRequest(), HarmlessRequest()}, kStart);
  Flush(first, rows, kStart);
  Flush(second, rows, kStart);
  CHECK(rows.Stored().crashes.size() == 2);
  // A listing requested before the write may be older and is ignored.
  second.MergeListing({}, kStart - base::seconds(1), kStart);
  CHECK(second.size() == 2);
  std::vector<StrikeRow> listing = rows.List();
  listing.push_back({"strike/x", "{}", 1});
  listing.push_back({StrikeCodec::Key(std::string(32, '0')), "[]", 1});
  base::TimePoint later = kStart + base::seconds(1);
  CHECK(first.MergeListing(listing, later, later) == 2);
  first.Expire(kStart + settings.expiry);
  CHECK(first.size() == 2);
  first.Expire(later + settings.expiry);
  CHECK(first.size() == 0);
  Flush(first, rows, later);
  CHECK(rows.rows.empty());
  base::TimePoint last = later + base::seconds(1);
  second.MergeListing(rows.List(), last, last);
  CHECK(second.size() == 0);
}

// Guards against entries that stay inconsistent after lost, conflicting and
// delayed writes: once the faults end, both views equal the rows, and a request
// that crashed a server alone is quarantined.
TEST_CASE("random reports of two entries converge") {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    CAPTURE(seed);
    base::Random random(seed);
    FakeRows rows;
    StrikeTable tables[2] = {StrikeTable({}), StrikeTable({})};
    base::TimePoint now = kStart;
    bool crashed_alone = false;
    for (int step = 0; step < 60; ++step) {
      now += base::seconds(1);
      StrikeTable& table = tables[random.Below(2)];
      std::string token = "t" + std::to_string(step);
      switch (random.Below(6)) {
        case 0:
          table.RecordCrash("s" + std::to_string(random.Below(30)),
                            {CrashingRequest(), HarmlessRequest()}, now);
          break;
        case 1:
          table.RecordCompletion(
              random.Below(2) == 0 ? CrashingRequest() : HarmlessRequest(),
              now);
          break;
        case 2:
          if (table.AcquireRunAlone(CrashingRequest(), token, "server", now) &&
              random.Below(2) == 0)
            table.ReleaseRunAlone(CrashingRequest(), token, now);
          break;
        case 3:
          if (random.Below(20) == 0) {
            table.RecordCrash("alone" + token, {CrashingRequest()}, now);
            crashed_alone = true;
          }
          break;
        case 4:
          table.MergeListing(rows.List(), now, now);
          break;
        default:
          Flush(table, rows, now);
      }
    }
    for (int round = 0; round < 3; ++round) {
      for (StrikeTable& table : tables) {
        now += base::seconds(1);
        Flush(table, rows, now);
        now += base::seconds(1);
        table.MergeListing(rows.List(), now, now);
      }
    }
    for (const std::string& fingerprint :
         {CrashingRequest(), HarmlessRequest()})
      REQUIRE(tables[0].Evaluate(fingerprint, now) ==
              tables[1].Evaluate(fingerprint, now));
    REQUIRE(tables[0].size() == rows.rows.size());
    REQUIRE(tables[1].size() == rows.rows.size());
    if (crashed_alone)
      REQUIRE(tables[0].Evaluate(CrashingRequest(), now) == kQuarantined);
  }
}

// Guards against a damaged row that crashes the process or is decoded in part.
TEST_CASE("mutated strike rows are refused or read consistently") {
  std::string key = StrikeCodec::Key(CrashingRequest());
  StrikeRecord record{{"s1", "s2"}, false, "t1", "10.0.0.1:7000"};
  std::string text = StrikeCodec::Encode(record);
  CHECK(StrikeCodec::Decode(key, text) == record);
  CHECK(StrikeCodec::ParseKey(key) == CrashingRequest());
  CHECK_THROWS_AS(StrikeCodec::ParseKey("strike/"), base::Error);
  for (
      const char* row :
      {"", "{}", "[]", "null",
       R"({"format":1,"crashes":[],"quarantined":true,"alone_token":"","alone_server":""})",
       R"({"format":2,"crashes":["a"],"quarantined":true,"alone_token":"","alone_server":""})",
       R"({"format":1,"crashes":["a"],"quarantined":1,"alone_token":"","alone_server":""})",
       R"({"format":1,"crashes":["a"],"quarantined":true,"alone_token":"","more":""})"})
    CHECK_THROWS_AS(StrikeCodec::Decode(key, row), base::Error);
  for (std::uint64_t seed = 1; seed <= 20'000; ++seed) {
    base::Random random(seed);
    std::string mutated = text;
    for (std::uint64_t n = 1 + random.Below(3); n > 0; --n) {
      std::size_t at = random.Below(mutated.size());
      if (random.Below(2) == 0)
        mutated[at] = static_cast<char>(random.Below(256));
      else
        mutated.erase(at, 1);
    }
    try {
      StrikeRecord read = StrikeCodec::Decode(key, mutated);
      REQUIRE(StrikeCodec::Decode(key, StrikeCodec::Encode(read)) == read);
    } catch (const base::Error&) {
    }
  }
}

}  // namespace
}  // namespace vanillalever::guard
