#include "ledger_check.h"

#include <algorithm>
#include <map>

namespace vanillalever::load {
namespace {

// Executions of one reference.
struct Executions {
  int count = 0;
  std::int64_t first_us = 0;
};

using ByRef = std::map<std::string, Executions>;

ByRef Group(const std::vector<LedgerEntry>& entries) {
  ByRef grouped;
  for (const LedgerEntry& entry : entries) {
    Executions& executions = grouped[entry.ref];
    executions.first_us = executions.count == 0
                              ? entry.at_us
                              : std::min(executions.first_us, entry.at_us);
    ++executions.count;
  }
  return grouped;
}

Executions Find(const ByRef& grouped, const std::string& ref) {
  auto found = grouped.find(ref);
  return found == grouped.end() ? Executions{} : found->second;
}

void CheckTurn(const TurnRecord& turn,
               const Executions& executions,
               Verdict& verdict) {
  if (turn.outcome == TurnOutcome::kDone && !turn.own_answer)
    ++verdict.misordered;
  if (turn.model)
    return;
  if (!turn.repeatable && executions.count > 1)
    ++verdict.doubled;
  if (!turn.repeatable && turn.outcome == TurnOutcome::kUnknown)
    ++verdict.unknown;
  if (turn.outcome == TurnOutcome::kDone && executions.count == 0)
    ++verdict.lost;
  if (turn.outcome == TurnOutcome::kNotRun && executions.count > 0)
    ++verdict.false_not_run;
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

Verdict CheckLedgers(const std::vector<ProgramRecord>& programs,
                     const Ledgers& ledgers) {
  const ByRef services = Group(ledgers.services);
  const ByRef engines = Group(ledgers.engines);
  Verdict verdict;
  for (const ProgramRecord& program : programs) {
    ++verdict.programs;
    verdict.finished += program.finished ? 1 : 0;
    verdict.lost += program.history_missing;
    verdict.misordered += program.history_misordered;
    std::int64_t latest_us = 0;
    for (const TurnRecord& turn : program.turns) {
      Executions executions = Find(turn.model ? engines : services, turn.ref);
      CheckTurn(turn, executions, verdict);
      if (executions.count == 0)
        continue;
      if (executions.first_us < latest_us)
        ++verdict.misordered;
      latest_us = std::max(latest_us, executions.first_us);
    }
  }
  return verdict;
}

}  // namespace vanillalever::load
