#ifndef VANILLALEVER_ENTRY_SRC_ENTRY_CONTEXT_H_
#define VANILLALEVER_ENTRY_SRC_ENTRY_CONTEXT_H_

#include "acknowledger.h"
#include "committer.h"
#include "config_service.h"
#include "membership_service.h"
#include "server_directory.h"
#include "settler.h"
#include "shard_host.h"
#include "strike_service.h"
#include "turn_waiters.h"
#include "vanillalever/entry/entry_settings.h"
#include "vanillalever/http/io_threads.h"
#include "worker_pool.h"

namespace vanillalever::entry {

// References to the components of an entry. They outlive every call.
struct EntryContext {
  const EntrySettings& settings;
  base::CounterRegistry& counters;
  platform::PlatformStore& store;
  http::IoThreads& threads;
  WorkerPool& workers;
  ShardHost& shards;
  ConfigService& config;
  Committer& committer;
  MembershipService& membership;
  ServerDirectory& servers;
  Settler& settler;
  StrikeService& strikes;
  TurnWaiters& waiters;
  Acknowledger& acknowledger;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_ENTRY_CONTEXT_H_
