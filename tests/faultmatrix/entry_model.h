#ifndef VANILLALEVER_TESTS_FAULTMATRIX_ENTRY_MODEL_H_
#define VANILLALEVER_TESTS_FAULTMATRIX_ENTRY_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_platform.h"
#include "messages.h"
#include "vanillalever/config/config_holder.h"
#include "vanillalever/guard/strike_table.h"
#include "vanillalever/membership/instance_view.h"
#include "vanillalever/membership/lease_observer.h"
#include "vanillalever/membership/lease_term.h"
#include "vanillalever/membership/shard_map.h"
#include "vanillalever/program/program_shard.h"
#include "vanillalever/program/record_batch.h"
#include "vanillalever/scheduling/cache_index.h"

namespace vanillalever::faultmatrix {

class World;

// One run of an entry: wires leases, shard ownership, programs and commits to
// messages and the fake platform.
class EntryModel {
 public:
  using Respond = std::function<void(CallerReply)>;

  EntryModel(World& world, std::string address, std::string incarnation);

  Host& host() { return host_; }
  const std::string& incarnation() const { return self_.incarnation; }
  // Whether the load balancer may send it requests.
  bool accepting() const { return host_.alive() && !stopping_; }
  scheduling::CacheIndex& cache_index() { return cache_index_; }
  const config::ConfigHolder& config() const { return *config_; }

  void Start();
  // Planned stop: hands the shards over, finishes its streams, then exits.
  void Stop();
  void Handle(const CallerRequest& request, const Respond& respond);

 private:
  using ProgramId = program::ProgramId;
  using CallKey = std::pair<ProgramId, std::uint32_t>;

  struct Shard {
    std::unique_ptr<program::ProgramShard> programs;
    std::uint64_t version = 0;
    // Number of the read that recovers it, unique in this entry.
    std::uint64_t recovery = 0;
    // False until all rows are read.
    bool ready = false;
    // No new turns: the shard is about to be handed over.
    bool quiesced = false;
    // Open intents of former owners; their results are dropped afterwards.
    std::set<std::string> former_intents;
    bool former_cleared = false;
  };

  using Shards = std::map<std::uint32_t, Shard>;

  // One turn that was admitted and has not been answered.
  struct CallState {
    CallerRequest request;
    std::vector<Respond> waiting;
    // Attempts made so far; whether the outcome of one is not known.
    int tries = 0;
    bool lost = false;
    // Work token of the attempt that runs alone on its server.
    std::string alone_token;
    bool quarantined = false;
    // Set once the turn was withdrawn: the revision that must be durable.
    std::optional<std::uint64_t> withdrawn;
    // Whether another attempt is scheduled.
    bool retrying = false;
  };

  // A non-repeatable attempt whose outcome a sidecar has to tell.
  struct Settling {
    ProgramId program;
    program::Attempt attempt;
    bool asking = false;
  };

  // Results that a sidecar may drop once the program is durable.
  struct Ack {
    std::string server;
    std::string sidecar_incarnation;
    ProgramId program;
    std::uint64_t revision = 0;
  };

  // --- Requests (entry_calls.cc) ---
  void HandleOwned(const CallerRequest& request,
                   const ProgramId& id,
                   const Respond& respond);
  void Create(const CallerRequest& request, const Respond& respond);
  void Admit(const CallerRequest& request,
             const ProgramId& id,
             const Respond& respond);
  void Join(const CallerRequest& request,
            const CallKey& key,
            const Respond& respond);
  void Refuse(const CallerRequest& request,
              const ProgramId& id,
              const Respond& respond,
              const base::Error& error);
  // Runs a call without the checks of a rule that is switched off.
  void RunUnchecked(const CallerRequest& request,
                    const ProgramId& id,
                    const Respond& respond);
  void ReadHistory(const CallerRequest& request,
                   const ProgramId& id,
                   const Respond& respond);
  void EndProgram(const ProgramId& id, const Respond& respond);
  void Forward(const CallerRequest& request,
               const membership::ShardRow& row,
               const Respond& respond);

  // --- Attempts (entry_attempts.cc) ---
  void StartAttempt(const CallKey& call);
  // The server of a call: one that is believed to hold the program's cache, or
  // a random one. Nothing when no server is live.
  std::optional<std::string> PickServer(const ProgramId& id, bool repeatable);
  void RetryLater(const CallKey& call);
  void GiveUp(const CallKey& call);
  void DispatchIfReady(const ProgramId& id);
  void Dispatch(const ProgramId& id, const program::AttemptKey& key);
  void Send(const ProgramId& id, const program::Attempt& attempt);
  void OnExecuteReply(const program::Attempt& attempt,
                      const ProgramId& sent_for,
                      const ExecuteReply& reply);
  // The attempt may have reached its server, and no answer will come.
  void OnNoAnswer(const ProgramId& id, const program::Attempt& attempt);
  void TakeResult(const ProgramId& id,
                  const program::AttemptKey& key,
                  const execution::WorkResult& result);
  void OnNotRun(const ProgramId& id, const program::AttemptKey& key);
  void OnLost(const ProgramId& id, const program::AttemptKey& key);
  // Answers whatever has become durable.
  void Advance(const ProgramId& id);
  void Reply(const Respond& respond, const CallerReply& reply);
  void SettleTick();
  void Settle(const std::string& token);
  void AckTick();

  // --- Crash-causing requests (entry_strikes.cc) ---
  void OnCrashReport(const ExecuteReply& reply);
  void EndAlone(const CallKey& key, const std::string& token);
  // Whether the attempt may be sent as far as strikes are concerned.
  bool AloneReady(const CallKey& key, const std::string& token) const;
  void WriteStrikes();
  void ReadBackStrike(const guard::StrikeChange& change,
                      const std::string& token);
  void PollStrikes();

  // --- Commits (entry_commits.cc) ---
  void ScheduleCommit();
  void Collect();
  void SendBatch();
  void ReadBack(const std::string& conflict_key);
  // The shard of the batch if it has been held since the batch was collected.
  // One that was lost and taken again knows nothing of the batch.
  Shards::iterator FindBatched(std::uint32_t number);
  void BatchApplied(std::uint64_t version);
  void BatchRejected(const std::string& conflict_key);
  // Tells the waiting callers of a program that their calls did not run, which
  // is what a writer without token read-back would conclude.
  void RefuseAll(const ProgramId& id);

  // --- Membership (entry_membership.cc, entry_polls.cc) ---
  void Tick();
  void Renew();
  void SendRenewal(const program::TransactionPlan& plan,
                   membership::LeaseTerm::Renewal renewal);
  void RenewalReadBack(const program::TransactionPlan& plan,
                       membership::LeaseTerm::Renewal renewal);
  void Renewed(membership::LeaseTerm::Renewal renewal, std::uint64_t version);
  void Restart();
  void Observe();
  void OnShardRows(const std::vector<TableRow>& rows);
  void ActOnPlan();
  void Take(const membership::ShardPlan& plan, std::size_t next);
  void HandOver(const membership::ShardHandover& hand_over);
  void Recover(std::uint32_t shard, const membership::ShardRow& row);
  void FinishRecovery(std::uint32_t shard, const std::vector<TableRow>& rows);
  void DropShard(std::uint32_t shard);
  bool Idle(std::uint32_t shard) const;
  void ClearFormer(std::uint32_t shard);
  void PollInstances();
  void PollReports();
  void ReleaseTick();
  void SendRelease(const ProgramId& id,
                   const program::CacheHolder& holder,
                   std::uint64_t fence);
  void PollConfig();
  void OnConfigHead(std::int64_t number, TimePoint sent);
  void ExitIfDone();

  // Calls the function with a program of an owned shard; false if there is
  // none.
  bool Try(const ProgramId& id,
           const std::function<void(program::Program&)>& function);
  Shard* Owned(const ProgramId& id);
  bool LeaseHeld() const;
  std::string NewToken();

  World& world_;
  Host host_;
  membership::EntryRow self_;
  membership::LeaseTerm lease_;
  membership::LeaseObserver observer_;
  membership::ShardMap map_;
  membership::InstanceView instances_;
  FakePlatform::Instances listed_;
  Shards shards_;
  std::uint64_t recoveries_ = 0;
  std::map<CallKey, CallState> calls_;
  // Creations and ends that wait for a revision to be durable.
  std::multimap<ProgramId, std::pair<std::uint64_t, Respond>> durable_waiting_;
  std::map<std::string, Settling> settling_;
  std::map<std::string, Ack> acks_;
  std::set<std::pair<ProgramId, program::CacheHolder>> released_once_;
  std::optional<program::RecordBatch> batch_;
  // Recoveries of the shards when the batch was collected.
  std::map<std::uint32_t, std::uint64_t> batch_shards_;
  // Whether a response to the present batch may have been lost.
  bool batch_uncertain_ = false;
  bool commit_scheduled_ = false;
  bool renewing_ = false;
  bool observing_ = false;
  bool acting_ = false;
  bool stopping_ = false;
  // Requests of callers and other entries that have no response yet.
  std::size_t open_requests_ = 0;
  // Ticks for which a stopping entry has had nothing to do.
  int idle_ticks_ = 0;
  std::uint64_t tokens_ = 0;
  scheduling::CacheIndex cache_index_;
  guard::StrikeTable strikes_;
  std::unique_ptr<config::ConfigHolder> config_;
  // Whether the version was refreshed since the process last resumed.
  bool config_fresh_ = false;
  TimePoint resumed_at_;
  TimePoint last_tick_;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_ENTRY_MODEL_H_
