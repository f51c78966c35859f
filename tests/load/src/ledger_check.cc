#include "ledger_check.h"

#include <algorithm>
#include <map>

namespace vanillalever::load {
namespace {

// Executions with the same reference.
struct Executions {
  int count = 0;
  std::int64_t first_us = 0;
};

using ExecutionsByRef = std::map<std::string, Executions>;

ExecutionsByRef GroupByRef(const std::vector<LedgerEntry>& entries) {
  ExecutionsByRef grouped;
  for (const LedgerEntry& entry : entries) {
    Executions& executions = grouped[entry.ref];
    executions.first_us = executions.count == 0
                              ? entry.at_us
                              : std::min(executions.first_us, entry.at_us);
    ++executions.count;
  }
  return grouped;
}

Executions FindExecutions(const ExecutionsByRef& grouped,
                          const std::string& ref) {
  auto found = grouped.find(ref);
  return found == grouped.end() ? Executions{} : found->second;
}

void CheckTurn(const TurnRecord& turn,
               const Executions& executions,
               LedgerCheckResult& check) {
  if (turn.outcome == TurnOutcome::kDone && !turn.response_matches)
    ++check.misordered;
  if (turn.model)
    return;
  if (!turn.repeatable && executions.count > 1)
    ++check.doubled;
  if (!turn.repeatable && turn.outcome == TurnOutcome::kUnknown)
    ++check.unknown;
  if (turn.outcome == TurnOutcome::kDone && executions.count == 0)
    ++check.lost;
  if (turn.outcome == TurnOutcome::kNotRun && executions.count > 0)
    ++check.false_not_run;
}

LedgerEntry ParseEntry(const nlohmann::json& entry) {
  return {entry.at("ref"), entry.at("at_us")};
}

}  // namespace

std::vector<LedgerEntry> ParseServiceLedger(const nlohmann::json& ledger) {
  std::vector<LedgerEntry> entries;
  for (const nlohmann::json& entry : ledger.at("executions"))
    entries.push_back(ParseEntry(entry));
  return entries;
}

std::vector<LedgerEntry> ParseEngineLedger(const nlohmann::json& ledger) {
  std::vector<LedgerEntry> entries;
  for (const nlohmann::json& entry : ledger.at("requests")) {
    if (entry.at("state") == "finished")
      entries.push_back(ParseEntry(entry));
  }
  return entries;
}

LedgerCheckResult CheckLedgers(const std::vector<ProgramRecord>& programs,
                               const Ledgers& ledgers) {
  const ExecutionsByRef services = GroupByRef(ledgers.services);
  const ExecutionsByRef engines = GroupByRef(ledgers.engines);
  LedgerCheckResult check;
  for (const ProgramRecord& program : programs) {
    ++check.programs;
    check.finished += program.finished ? 1 : 0;
    check.lost += program.history_missing;
    check.misordered += program.history_misordered;
    std::int64_t latest_us = 0;
    for (const TurnRecord& turn : program.turns) {
      Executions executions =
          FindExecutions(turn.model ? engines : services, turn.ref);
      CheckTurn(turn, executions, check);
      if (executions.count == 0)
        continue;
      if (executions.first_us < latest_us)
        ++check.misordered;
      latest_us = std::max(latest_us, executions.first_us);
    }
  }
  return check;
}

}  // namespace vanillalever::load
