#include "strike_service.h"

#include <thread>

#include "vanillalever/base/logging.h"
#include "vanillalever/base/random.h"
#include "vanillalever/guard/strike_codec.h"

namespace vanillalever::entry {
namespace {

constexpr std::size_t kMaxChangesPerStep = 64;
constexpr base::Duration kReadInterval = base::seconds(2);
constexpr base::Duration kReadRetryInterval = base::milliseconds(200);
constexpr base::Duration kWriteTimeout = base::seconds(3);

}  // namespace

StrikeService::StrikeService(platform::PlatformStore& store,
                             base::CounterRegistry& counters)
    : store_(store),
      commit_(store,
              clock_,
              [](base::Duration pause) { std::this_thread::sleep_for(pause); }),
      table_({}),
      strike_records_(
          counters.gauge("vl_entry_strike_records",
                         "Requests suspected of crashing servers.")),
      quarantined_requests_(
          counters.gauge("vl_entry_quarantined_requests",
                         "Requests refused because they crash "
                         "servers.")) {}

void StrikeService::Step() {
  table_.Expire(clock_.now());
  for (const guard::StrikeChange& change :
       table_.TakeChanges(kMaxChangesPerStep))
    WriteChange(change);
  if (clock_.now() - last_read_ > kReadInterval)
    ReadAll();
  strike_records_.Set(static_cast<std::int64_t>(table_.size()));
  quarantined_requests_.Set(static_cast<std::int64_t>(table_.quarantined()));
}

void StrikeService::WriteChange(const guard::StrikeChange& change) {
  platform::Transaction transaction;
  transaction.token = base::RandomId();
  transaction.conditions = {{change.key, change.expected_version}};
  transaction.writes = {{change.key, change.value}};
  // A deletion leaves no row that holds its token, so ReliableCommit cannot
  // verify it; the row that remains, if any, decides an unknown result.
  if (change.value) {
    auto result = commit_.Run(transaction, clock_.now() + kWriteTimeout);
    if (result.outcome == platform::CommitOutcome::kApplied)
      return table_.OnWriteApplied(change.fingerprint, result.version,
                                   clock_.now());
  } else {
    try {
      auto result = store_.Commit(transaction);
      if (result.applied)
        return table_.OnWriteApplied(change.fingerprint, result.version,
                                     clock_.now());
    } catch (const base::Error&) {
      // Result unknown; decided by the row below.
    }
  }
  std::optional<guard::StrikeRow> row = ReadBack(change.key);
  if (!stopping_)
    table_.OnWriteConflict(change.fingerprint, row, clock_.now());
}

// Retries until the platform answers: the change's result is unknown until
// then.
std::optional<guard::StrikeRow> StrikeService::ReadBack(
    const std::string& key) {
  while (!stopping_) {
    try {
      auto row = store_.Read(key);
      if (!row)
        return std::nullopt;
      return guard::StrikeRow{row->key, row->value, row->version};
    } catch (const base::Error&) {
      std::this_thread::sleep_for(kReadRetryInterval);
    }
  }
  return std::nullopt;
}

void StrikeService::ReadAll() {
  base::TimePoint requested = clock_.now();
  try {
    std::vector<guard::StrikeRow> rows;
    for (const platform::Row& row :
         store_.Scan(std::string(guard::StrikeCodec::kPrefix)))
      rows.push_back({row.key, row.value, row.version});
    table_.MergeListing(rows, requested, clock_.now());
    last_read_ = requested;
  } catch (const base::Error&) {
    // Local strikes remain in force until the next successful read.
  }
}

}  // namespace vanillalever::entry
