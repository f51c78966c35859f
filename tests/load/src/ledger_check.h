#ifndef VANILLALEVER_LOAD_LEDGER_CHECK_H_
#define VANILLALEVER_LOAD_LEDGER_CHECK_H_

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "run_record.h"

namespace vanillalever::load {

// One execution in the ledger of a test double.
struct LedgerEntry {
  std::string ref;
  // Wall-clock time in microseconds since 1970.
  std::int64_t at_us = 0;
};

// Executions recorded by the test doubles.
struct Ledgers {
  std::vector<LedgerEntry> services;
  // Finished requests only.
  std::vector<LedgerEntry> engines;
};

// Result of comparing the outcomes reported to callers with the ledgers.
struct LedgerCheckResult {
  int programs = 0;
  int finished = 0;
  // Turns that ran before an earlier turn of their program, and responses or
  // history entries that belong to another request.
  int misordered = 0;
  // Non-repeatable calls that ran more than once.
  int doubled = 0;
  // Service calls reported as done that never ran, and turns missing from the
  // history.
  int lost = 0;
  // Calls reported as not run that ran.
  int false_not_run = 0;
  // Non-repeatable calls reported as unknown.
  int unknown = 0;

  bool ok() const {
    return misordered == 0 && doubled == 0 && lost == 0 && false_not_run == 0;
  }
};

// Parse the "executions" of a service and the finished "requests" of an engine.
std::vector<LedgerEntry> ParseServiceLedger(const nlohmann::json& ledger);
std::vector<LedgerEntry> ParseEngineLedger(const nlohmann::json& ledger);

// Sub-agents count as programs. Only the order and the responses of model calls
// are checked, because they may run more than once, and because an engine's
// ledger is lost when its process crashes.
LedgerCheckResult CheckLedgers(const std::vector<ProgramRecord>& programs,
                               const Ledgers& ledgers);

}  // namespace vanillalever::load

#endif  // VANILLALEVER_LOAD_LEDGER_CHECK_H_
