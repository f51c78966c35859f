#ifndef VANILLALEVER_ENTRY_SRC_CALL_PARSER_H_
#define VANILLALEVER_ENTRY_SRC_CALL_PARSER_H_

#include <nlohmann/json.hpp>

#include "call_plan.h"
#include "caller_reply.h"
#include "config_service.h"
#include "shard_host.h"

namespace vanillalever::entry {

// Reads callers' requests strictly and completes them from the configuration.
// Every refusal is thrown as base::Error, "not run". Thread-safe.
class CallParser {
 public:
  explicit CallParser(ConfigService& config) : config_(config) {}

  // Request to create a program.
  program::CreateRequest ParseCreate(const CallerRequest& request);

  // Call of a program that is in memory.
  CallPlan ParseCall(const ShardPtr& shard,
                     const program::ProgramId& id,
                     const CallerRequest& request);

 private:
  void FillLimits(const config::ConfigSet& set,
                  const config::ProgramClass& program_class,
                  const nlohmann::json& body,
                  CallPlan& plan);

  ConfigService& config_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_CALL_PARSER_H_
