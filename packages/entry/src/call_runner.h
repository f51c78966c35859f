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

// Runs one open turn: chooses a server, makes the intent durable where the call
// may not be repeated, sends it, settles lost replies, and makes the answer
// durable before the caller gets it. Lives until the turn has ended.
class CallRunner : public std::enable_shared_from_this<CallRunner> {
 public:
  CallRunner(EntryContext& context, ShardPtr shard, CallPlan plan);
  ~CallRunner();

  void Start();

 private:
  enum class Phase {
    kChoosing,    // no attempt is open
    kIntent,      // an attempt waits for its commit
    kRunning,     // an attempt was sent
    kSettling,    // the reply was lost; the sidecar is asked
    kCommitting,  // the turn has ended and is being made durable
    kFinished,
  };

  template <typename Function>
  void Post(Function function);
  template <typename Function>
  void PostAfter(base::Duration delay, Function function);

  void JudgeStrikes();
  void AwaitAlone();
  void Dispatch();
  bool Admitted(const ServerChoice& choice);
  void StartAttempt();
  void Send();
  void OnReply(protocol::Outcome<protocol::ExecuteResult> outcome);
  void OnTransportError(const base::ErrorInfo& error);
  void Settle();
  void OnSettled(SettleOutcome outcome);
  void OnResult(protocol::ExecuteResult result);
  void OnError(const base::ErrorInfo& error);
  void OnNotRun(const base::ErrorInfo& error);
  void OnLost(const base::ErrorInfo& error);
  void EndAsUnknown(const base::ErrorInfo& error);
  void Retry(const base::ErrorInfo& error, bool charged);
  void EndAttempt();
  void FinishTurn(program::TurnOutcome outcome,
                  const std::string& body,
                  const protocol::ExecuteResult& usage);
  void StoreObject(program::Answer answer);
  void Accept(program::Answer answer);
  void AwaitDurable(program::Answer answer);
  void OnDurable(const std::optional<base::ErrorInfo>& error,
                 const program::Answer& answer);
  void Withdraw(base::ErrorInfo error);
  void Fail(const base::ErrorInfo& error);
  void Finished();
  void OnDeadline();
  void OnCommitOverdue();
  // Runs `function`; when the shard is lost, ends the wait of the callers.
  template <typename Function>
  void Guarded(Function function);
  base::TimePoint now() const { return std::chrono::steady_clock::now(); }

  EntryContext& context_;
  const ShardPtr shard_;
  CallPlan plan_;
  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer delay_timer_;
  base::Random random_;
  scheduling::AdmissionControl admission_;

  Phase phase_ = Phase::kChoosing;
  ServerQuery query_;
  std::optional<ServerChoice> choice_;
  program::AttemptKey key_;
  std::uint64_t attempt_revision_ = 0;
  int retries_ = 0;
  int free_retries_ = 0;
  bool admitted_ = false;
  bool alone_ = false;
  std::string alone_token_;
  base::ErrorInfo last_error_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_CALL_RUNNER_H_
