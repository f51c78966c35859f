#include <utility>

#include "entry_model.h"
#include "vanillalever/guard/strike_codec.h"
#include "world.h"

namespace vanillalever::faultmatrix {

namespace {

constexpr std::size_t kMaxChanges = 8;
constexpr Duration kRetry = milliseconds(300);

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
  TimePoint now = world_.simulator().now();
  if (!reply.crash.empty()) {
    strikes_.RecordCrash(reply.crash, reply.running, now);
    WriteStrikes();
  } else if (!reply.refused && !reply.result.error) {
    strikes_.RecordCompletion(reply.fingerprint, now);
  }
}

void EntryModel::ReleaseRunAlone(const CallKey& key, const std::string& token) {
  auto call = calls_.find(key);
  if (call == calls_.end() || call->second.alone_token != token)
    return;
  call->second.alone_token.clear();
  strikes_.ReleaseRunAlone(Fingerprint(call->second.request), token,
                           world_.simulator().now());
  WriteStrikes();
}

bool EntryModel::AloneReady(const CallKey& key,
                            const std::string& token) const {
  auto call = calls_.find(key);
  if (call == calls_.end() || call->second.alone_token != token)
    return true;
  return strikes_.run_alone_durable(Fingerprint(call->second.request), token);
}

void EntryModel::WriteStrikes() {
  for (const guard::StrikeChange& change : strikes_.TakeChanges(kMaxChanges)) {
    program::TransactionPlan plan;
    plan.token = NewToken();
    plan.conditions = {{change.key, change.expected_version}};
    plan.writes = {{change.key, change.value}};
    world_.platform().Transact(
        host_, plan,
        [this, change, token = plan.token](const TransactionResult& result) {
          if (!result.applied) {
            ReadBackStrike(change, token);
            return;
          }
          strikes_.OnWriteApplied(change.fingerprint, result.version,
                                  world_.simulator().now());
        },
        [this, change, token = plan.token](bool) {
          ReadBackStrike(change, token);
        });
  }
}

void EntryModel::ReadBackStrike(const guard::StrikeChange& change,
                                const std::string& token) {
  world_.platform().Read(
      host_, change.key,
      [this, change, token](const std::vector<TableRow>& rows) {
        TimePoint now = world_.simulator().now();
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
        host_.After(kRetry,
                    [this, change, token] { ReadBackStrike(change, token); });
      });
}

void EntryModel::PollStrikes() {
  TimePoint sent = world_.simulator().now();
  world_.platform().Read(
      host_, std::string(guard::StrikeCodec::kPrefix),
      [this, sent](const std::vector<TableRow>& rows) {
        std::vector<guard::StrikeRow> strikes;
        strikes.reserve(rows.size());
        for (const TableRow& row : rows)
          strikes.push_back({row.key, row.value, row.version});
        strikes_.MergeListing(strikes, sent, world_.simulator().now());
      },
      [](bool) {});
  WriteStrikes();
}

}  // namespace vanillalever::faultmatrix
