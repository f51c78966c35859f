#ifndef VANILLALEVER_ENTRY_SRC_PROGRAM_API_H_
#define VANILLALEVER_ENTRY_SRC_PROGRAM_API_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

#include "call_parser.h"
#include "call_runner.h"
#include "caller_reply.h"
#include "entry_context.h"
#include "recovery.h"

namespace vanillalever::entry {

// Serves callers' requests about programs: here if this entry owns the
// program's shard, else through the owner. Thread-safe.
class ProgramApi {
 public:
  ProgramApi(EntryContext& context,
             Recovery& recovery,
             protocol::RpcLoop& loop);

  // Answers the request, now or later.
  void Handle(CallerRequest request, const ReplyPtr& reply);

  // Drops the clients for other entries.
  void Stop();

 private:
  using Json = nlohmann::json;
  using Task = std::function<void()>;

  // Request for a program, after its path was read.
  struct Target {
    program::ProgramId id;
    // Last part of the path: "", "calls", "history", "cancel" or "end".
    std::string action;
  };

  static bool IsCreate(const CallerRequest& request);
  static Target ParsePath(const CallerRequest& request);
  void Route(const CallerRequest& request, const ReplyPtr& reply);
  void Serve(const ShardPtr& shard,
             const CallerRequest& request,
             const ReplyPtr& reply);
  // Runs `task` on a worker thread; errors go to the reply.
  void Block(const ReplyPtr& reply, Task task);

  static void LimitChildBudget(const ShardPtr& shard,
                               program::CreateRequest& create);
  void Create(const ShardPtr& shard,
              const program::CreateRequest& create,
              const ReplyPtr& reply);

  void Call(const ShardPtr& shard,
            const program::ProgramId& id,
            const CallerRequest& request,
            const ReplyPtr& reply);
  void Admit(const ShardPtr& shard, CallPlan plan, const ReplyPtr& reply);
  void AnswerFromHistory(const CallPlan& plan, const ReplyPtr& reply);
  void CheckCapacity() const;

  void Show(const ShardPtr& shard,
            const program::ProgramId& id,
            const ReplyPtr& reply);
  void History(const ShardPtr& shard,
               const program::ProgramId& id,
               const ReplyPtr& reply);
  void Cancel(const ShardPtr& shard,
              const program::ProgramId& id,
              const ReplyPtr& reply);
  void End(const ShardPtr& shard,
           const program::ProgramId& id,
           const ReplyPtr& reply);
  void ReplyWhenDurable(const ShardPtr& shard,
                        const program::ProgramId& id,
                        std::uint64_t revision,
                        int status,
                        const ReplyPtr& reply);

  void Forward(std::uint32_t shard,
               const CallerRequest& request,
               const ReplyPtr& reply);
  std::shared_ptr<protocol::NodeClient> EntryClient(const std::string& address);

  EntryContext& context_;
  Recovery& recovery_;
  protocol::RpcLoop& loop_;
  CallParser parser_;
  base::Counter& calls_;
  base::Counter& repeats_;
  base::Counter& forwarded_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<protocol::NodeClient>> clients_;
};

// State of a program as JSON.
nlohmann::json ProgramJson(const program::Program& program);

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_PROGRAM_API_H_
