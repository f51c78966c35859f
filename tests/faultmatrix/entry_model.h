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

class Cluster;

// One run of an entry: connects leases, shard ownership, programs and commits
// to the simulated network and the fake platform.
class EntryModel {
 public:
  using Respond = std::function<void(CallerReply)>;

  EntryModel(Cluster& cluster, std::string address, std::string incarnation);

  Process& process() { return process_; }
  const std::string& incarnation() const { return self_.incarnation; }
  // Whether the load balancer may send it requests.
  bool accepting() const { return process_.alive() && !stopping_; }
  scheduling::CacheIndex& cache_index() { return cache_index_; }
  const config::ConfigHolder& config() const { return *config_; }

  void Start();
  // Planned stop: hands over the shards, completes open requests, then exits.
  void Stop();
  void Handle(const CallerRequest& request, const Respond& respond);

 private:
  using ProgramId = program::ProgramId;
  using CallKey = std::pair<ProgramId, std::uint32_t>;

  struct Shard {
    std::unique_ptr<program::ProgramShard> programs;
    std::uint64_t version = 0;
    // Number of the recovery, unique in this entry.
    std::uint64_t recovery = 0;
    // Whether all rows have been read.
    bool ready = false;
    // Accepts no new turns because the shard is about to be handed over.
    bool quiesced = false;
    // Open intents of previous owners. Once they are settled, the sidecars may
    // drop the results.
    std::set<std::string> previous_owner_intents;
    bool previous_owners_acknowledged = false;
  };

  using Shards = std::map<std::uint32_t, Shard>;

  // An admitted turn that has not been answered.
  struct CallState {
    CallerRequest request;
    std::vector<Respond> waiting;
    // Attempts so far, and whether the outcome of one is unknown.
    int attempts = 0;
    bool outcome_unknown = false;
    // Work token of the attempt that runs alone on its server.
    std::string run_alone_token;
    bool quarantined = false;
    // Revision of the withdrawal, which must be durable before the reply; unset
    // unless the turn was withdrawn.
    std::optional<std::uint64_t> withdrawn;
    // Whether another attempt is scheduled.
    bool retrying = false;
  };

  // A non-repeatable attempt whose outcome must be queried from its sidecar.
  struct PendingSettlement {
    ProgramId program;
    program::Attempt attempt;
    bool query_sent = false;
  };

  // A result that the sidecar may drop once the program's revision is durable.
  struct PendingAcknowledgement {
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
  // Runs a call that a disabled safeguard would have refused.
  void RunWithoutChecks(const CallerRequest& request,
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
  // Chooses a server that holds the program's cache according to the index, or
  // else a random one; nothing if no server is live.
  std::optional<std::string> PickServer(const ProgramId& id, bool repeatable);
  void RetryLater(const CallKey& call);
  void WithdrawTurn(const CallKey& call);
  void DispatchIfReady(const ProgramId& id);
  void Dispatch(const ProgramId& id, const program::AttemptKey& key);
  void Send(const ProgramId& id, const program::Attempt& attempt);
  void OnExecuteReply(const program::Attempt& attempt,
                      const ProgramId& sent_for,
                      const ExecuteReply& reply);
  // The attempt may have reached its server, and no response is expected.
  void OnNoResponse(const ProgramId& id, const program::Attempt& attempt);
  void OnResult(const ProgramId& id,
                const program::AttemptKey& key,
                const execution::WorkResult& result);
  void OnNotRun(const ProgramId& id, const program::AttemptKey& key);
  void OnLost(const ProgramId& id, const program::AttemptKey& key);
  // Replies to the callers whose outcome has become durable.
  void SendDurableReplies(const ProgramId& id);
  void Reply(const Respond& respond, const CallerReply& reply);
  void SettlePending();
  void Settle(const std::string& token);
  void SendAcknowledgements();

  // --- Crash-causing requests (entry_strikes.cc) ---
  void OnCrashReport(const ExecuteReply& reply);
  void ReleaseRunAlone(const CallKey& key, const std::string& token);
  // Whether the strike records allow the attempt to be sent.
  bool RunAloneReady(const CallKey& key, const std::string& token) const;
  void WriteStrikes();
  void ReadBackStrike(const guard::StrikeChange& change,
                      const std::string& token);
  void PollStrikes();

  // --- Commits (entry_commits.cc) ---
  void ScheduleCommit();
  void Collect();
  void SendBatch();
  void ReadBack(const std::string& conflict_key);
  // Finds a shard of the batch if it has been owned since the batch was
  // collected. A shard that was lost and recovered again has no state of the
  // batch.
  Shards::iterator FindBatchedShard(std::uint32_t number);
  void OnBatchApplied(std::uint64_t version);
  void OnBatchRejected(const std::string& conflict_key);
  // Replies "not run" to the waiting callers of a program, as an entry without
  // read-back of commits would do.
  void RejectWaitingCalls(const ProgramId& id);

  // --- Membership (entry_membership.cc, entry_polls.cc) ---
  void Tick();
  void Renew();
  void SendRenewal(const program::TransactionPlan& plan,
                   membership::LeaseTerm::Renewal renewal);
  void ReadBackRenewal(const program::TransactionPlan& plan,
                       membership::LeaseTerm::Renewal renewal);
  void OnRenewed(membership::LeaseTerm::Renewal renewal, std::uint64_t version);
  void Restart();
  void ReadOwnership();
  void OnShardRows(const std::vector<TableRow>& rows);
  void ApplyShardPlan();
  void TakeShards(const membership::ShardPlan& plan, std::size_t next);
  void HandOver(const membership::ShardHandover& hand_over);
  void RecoverShard(std::uint32_t shard, const membership::ShardRow& row);
  void FinishRecovery(std::uint32_t shard, const std::vector<TableRow>& rows);
  void DropShard(std::uint32_t shard);
  bool ShardIdle(std::uint32_t shard) const;
  void AcknowledgePreviousOwners(std::uint32_t shard);
  void PollInstances();
  void PollReports();
  void SendPendingReleases();
  void SendRelease(const ProgramId& id,
                   const program::CacheHolder& holder,
                   std::uint64_t fence);
  void PollConfig();
  void OnConfigHead(std::int64_t number, TimePoint sent);
  void ExitIfDone();

  // Calls the function with a program of an owned shard; returns false if there
  // is none.
  bool WithProgram(const ProgramId& id,
                   const std::function<void(program::Program&)>& function);
  Shard* OwnedShard(const ProgramId& id);
  bool LeaseHeld() const;
  std::string NewToken();

  Cluster& cluster_;
  Process process_;
  membership::EntryRow self_;
  membership::LeaseTerm lease_;
  membership::LeaseObserver observer_;
  membership::ShardMap map_;
  membership::InstanceView instances_;
  FakePlatform::Instances listed_instances_;
  Shards shards_;
  std::uint64_t recoveries_ = 0;
  std::map<CallKey, CallState> calls_;
  // Create and end requests that wait until a revision is durable.
  std::multimap<ProgramId, std::pair<std::uint64_t, Respond>> durable_waiting_;
  std::map<std::string, PendingSettlement> pending_settlements_;
  std::map<std::string, PendingAcknowledgement> pending_acknowledgements_;
  std::set<std::pair<ProgramId, program::CacheHolder>> sent_releases_;
  std::optional<program::RecordBatch> batch_;
  // Recoveries of the shards when the batch was collected.
  std::map<std::uint32_t, std::uint64_t> batch_shards_;
  // Whether a response to the current batch may have been lost.
  bool batch_uncertain_ = false;
  bool commit_scheduled_ = false;
  bool renewing_ = false;
  bool reading_ownership_ = false;
  bool changing_ownership_ = false;
  bool stopping_ = false;
  // Requests of callers and other entries without a response.
  std::size_t open_requests_ = 0;
  // Consecutive ticks for which a stopping entry has been idle.
  int idle_ticks_ = 0;
  std::uint64_t token_count_ = 0;
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
