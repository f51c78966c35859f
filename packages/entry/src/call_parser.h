#ifndef VANILLALEVER_ENTRY_SRC_CALL_PARSER_H_
#define VANILLALEVER_ENTRY_SRC_CALL_PARSER_H_

#include <nlohmann/json.hpp>

#include "call_plan.h"
#include "caller_reply.h"
#include "config_service.h"
#include "shard_host.h"

namespace vanillalever::entry {

// Parses and validates callers' requests, and fills in defaults and limits from
// the configuration. Throws base::Error (not run) for every request that it
// rejects. Thread-safe.
class CallParser {
 public:
  explicit CallParser(ConfigService& config) : config_(config) {}

  program::CreateRequest ParseCreate(const CallerRequest& request);

  // The program must be in memory.
  CallPlan ParseCall(const ShardPtr& shard,
                     const program::ProgramId& id,
                     const CallerRequest& request);

 private:
  void ResolveLimits(const config::ConfigSet& set,
                     const config::ProgramClass& program_class,
                     const nlohmann::json& body,
                     CallPlan& plan);

  ConfigService& config_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_CALL_PARSER_H_
