#ifndef VANILLALEVER_LOAD_LEDGER_CHECK_H_
#define VANILLALEVER_LOAD_LEDGER_CHECK_H_

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "run_record.h"

namespace vanillalever::load {

// One execution in a ledger of a fake.
struct LedgerEntry {
  std::string ref;
  // Wall-clock time in microseconds since 1970.
  std::int64_t at_us = 0;
};

// Executions that the fakes recorded.
struct Ledgers {
  std::vector<LedgerEntry> services;
  // Finished requests only.
  std::vector<LedgerEntry> engines;
};

// Result of comparing what callers were told with what was executed.
struct Verdict {
  int programs = 0;
  int finished = 0;
  // Turns that ran before an earlier turn of their program, and answers or
  // history entries that belong to another request.
  int misordered = 0;
  // Non-repeatable calls that ran more than once.
  int doubled = 0;
  // Service calls answered as done that never ran, and answered turns that the
  // history lacks.
  int lost = 0;
  // Calls reported as not run that ran.
  int false_not_run = 0;
  // Non-repeatable calls reported as unknown.
  int unknown = 0;

  bool ok() const {
    return misordered == 0 && doubled == 0 && lost == 0 && false_not_run == 0;
  }
};

// Reads the "executions" of a service or the finished "requests" of an engine.
std::vector<LedgerEntry> ParseServiceLedger(const nlohmann::json& ledger);
std::vector<LedgerEntry> ParseEngineLedger(const nlohmann::json& ledger);

// Sub-agents count as programs. Model calls may run more than once, and an
// engine's ledger may have been lost with its process, so that only their order
// and their answers are checked.
Verdict CheckLedgers(const std::vector<ProgramRecord>& programs,
                     const Ledgers& ledgers);

}  // namespace vanillalever::load

#endif  // VANILLALEVER_LOAD_LEDGER_CHECK_H_
