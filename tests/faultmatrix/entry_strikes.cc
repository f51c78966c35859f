#include <utility>

#include "cluster.h"
#include "entry_model.h"
#include "vanillalever/guard/strike_codec.h"

namespace vanillalever::faultmatrix {

namespace {

constexpr std::size_t kMaxStrikeWrites = 8;
constexpr Duration kRetryDelay = milliseconds(300);

std::optional<guard::StrikeRow> FindRow(const std::vector<TableRow>& rows,
                                        const std::string& key) {
  for (const TableRow& row : rows) {
    if (row.key == key)
      return guard::StrikeRow{row.key, row.value, row.version};
  }
  return std::nullopt;
}

}  // namespace

void EntryModel::OnCrashReport(const ExecuteReply& reply) {
  TimePoint now = cluster_.simulator().now();
  if (!reply.crash.empty()) {
    strikes_.RecordCrash(reply.crash, reply.running, now);
    WriteStrikes();
  } else if (!reply.refused && !reply.result.error) {
    strikes_.RecordCompletion(reply.fingerprint, now);
  }
}

void EntryModel::ReleaseRunAlone(const CallKey& key, const std::string& token) {
  auto call = calls_.find(key);
  if (call == calls_.end() || call->second.run_alone_token != token)
    return;
  call->second.run_alone_token.clear();
  strikes_.ReleaseRunAlone(Fingerprint(call->second.request), token,
                           cluster_.simulator().now());
  WriteStrikes();
}

bool EntryModel::RunAloneReady(const CallKey& key,
                               const std::string& token) const {
  auto call = calls_.find(key);
  if (call == calls_.end() || call->second.run_alone_token != token)
    return true;
  return strikes_.run_alone_durable(Fingerprint(call->second.request), token);
}

void EntryModel::WriteStrikes() {
  for (const guard::StrikeChange& change :
       strikes_.TakeChanges(kMaxStrikeWrites)) {
    program::TransactionPlan plan;
    plan.token = NewToken();
    plan.conditions = {{change.key, change.expected_version}};
    plan.writes = {{change.key, change.value}};
    cluster_.platform().Transact(
        process_, plan,
        [this, change, token = plan.token](const TransactionResult& result) {
          if (!result.applied) {
            ReadBackStrike(change, token);
            return;
          }
          strikes_.OnWriteApplied(change.fingerprint, result.version,
                                  cluster_.simulator().now());
        },
        [this, change, token = plan.token](bool) {
          ReadBackStrike(change, token);
        });
  }
}

void EntryModel::ReadBackStrike(const guard::StrikeChange& change,
                                const std::string& token) {
  cluster_.platform().Read(
      process_, change.key,
      [this, change, token](const std::vector<TableRow>& rows) {
        TimePoint now = cluster_.simulator().now();
        for (const TableRow& row : rows) {
          if (row.key == change.key && row.token == token) {
            strikes_.OnWriteApplied(change.fingerprint, row.version, now);
            return;
          }
        }
        strikes_.OnWriteConflict(change.fingerprint, FindRow(rows, change.key),
                                 now);
      },
      [this, change, token](bool) {
        process_.Schedule(kRetryDelay, [this, change, token] {
          ReadBackStrike(change, token);
        });
      });
}

void EntryModel::PollStrikes() {
  TimePoint sent = cluster_.simulator().now();
  cluster_.platform().Read(
      process_, std::string(guard::StrikeCodec::kPrefix),
      [this, sent](const std::vector<TableRow>& rows) {
        std::vector<guard::StrikeRow> strikes;
        strikes.reserve(rows.size());
        for (const TableRow& row : rows)
          strikes.push_back({row.key, row.value, row.version});
        strikes_.MergeListing(strikes, sent, cluster_.simulator().now());
      },
      [](bool) {});
  WriteStrikes();
}

}  // namespace vanillalever::faultmatrix
