#ifndef VANILLALEVER_ENTRY_SRC_CALL_RUNNER_H_
#define VANILLALEVER_ENTRY_SRC_CALL_RUNNER_H_

#include <utility>

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "call_plan.h"
#include "entry_context.h"
#include "vanillalever/base/random.h"
#include "vanillalever/scheduling/admission_control.h"

namespace vanillalever::entry {

// Runs one open turn: selects a server, commits the intent first if the call is
// not repeatable, sends the call, settles attempts whose reply was lost, and
// commits the answer before the caller receives it. Keeps itself alive until
// the turn has ended.
class CallRunner : public std::enable_shared_from_this<CallRunner> {
 public:
  CallRunner(EntryContext& context, ShardPtr shard, CallPlan plan);
  ~CallRunner();

  void Start();

 private:
  enum class Phase {
    kSelectingServer,  // no attempt is open
    kIntentPending,    // an attempt waits for its commit or permit
    kRunning,          // an attempt was sent
    kSettling,         // the reply was lost; the sidecar is queried
    kCommitting,       // the turn has ended and is being committed
    kFinished,
  };

  template <typename Function>
  void Post(Function function);
  template <typename Function>
  void PostAfter(base::Duration delay, Function function);

  void CheckStrikes();
  void AwaitRunAlonePermit();
  void Dispatch();
  bool CheckAdmission(const ServerChoice& choice);
  void StartAttempt();
  void Send();
  void OnReply(protocol::Outcome<protocol::ExecuteResult> outcome);
  void OnTransportError(const base::ErrorInfo& error);
  void Settle();
  void OnSettled(SettleOutcome outcome);
  void OnResult(protocol::ExecuteResult result);
  void OnError(const base::ErrorInfo& error);
  void OnNotRun(const base::ErrorInfo& error);
  void OnOutcomeUnknown(const base::ErrorInfo& error);
  void FinishAsUnknown(const base::ErrorInfo& error);
  void Retry(const base::ErrorInfo& error, bool charge_retry_budget);
  void EndRunAlone();
  void FinishTurn(program::TurnOutcome outcome,
                  const std::string& body,
                  const protocol::ExecuteResult& usage);
  void StoreAnswerObject(program::Answer answer);
  void RecordAnswer(program::Answer answer);
  void AwaitCommit(program::Answer answer);
  void OnCommitted(const std::optional<base::ErrorInfo>& error,
                   const program::Answer& answer);
  void RollBackTurn(base::ErrorInfo error);
  void Fail(const base::ErrorInfo& error);
  void Finish();
  void OnDeadline();
  void OnCommitTimeout();
  // Runs `function`. If it throws, for example because the shard was lost,
  // fails the turn's waiting callers.
  template <typename Function>
  void RunOrFail(Function function);
  base::TimePoint now() const { return std::chrono::steady_clock::now(); }

  EntryContext& context_;
  const ShardPtr shard_;
  CallPlan plan_;
  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer delay_timer_;
  base::Random random_;
  scheduling::AdmissionControl admission_;

  Phase phase_ = Phase::kSelectingServer;
  ServerQuery query_;
  std::optional<ServerChoice> server_choice_;
  program::AttemptKey attempt_key_;
  std::uint64_t attempt_revision_ = 0;
  int retries_ = 0;
  int uncharged_retries_ = 0;
  bool admission_checked_ = false;
  bool run_alone_ = false;
  std::string run_alone_token_;
  base::ErrorInfo last_error_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_CALL_RUNNER_H_
