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

// Serves callers' requests about programs: locally if this entry owns the
// program's shard, otherwise by forwarding to the owner. Thread-safe.
class ProgramApi {
 public:
  ProgramApi(EntryContext& context,
             Recovery& recovery,
             protocol::RpcLoop& loop);

  // Handles the request; the reply may be sent later, from another thread.
  void Handle(CallerRequest request, const ReplyPtr& reply);

  // Destroys the clients for other entries.
  void Stop();

 private:
  using Json = nlohmann::json;
  using Task = std::function<void()>;

  // Parsed path of a request for a program.
  struct Target {
    program::ProgramId id;
    // Path component after the id: "", "calls", "history", "cancel" or "end".
    std::string action;
  };

  static bool IsCreate(const CallerRequest& request);
  static Target ParsePath(const CallerRequest& request);
  void Route(const CallerRequest& request, const ReplyPtr& reply);
  void Serve(const ShardPtr& shard,
             const CallerRequest& request,
             const ReplyPtr& reply);
  // Runs `task`, which may block, on a worker thread; exceptions fail the
  // reply.
  void RunBlocking(const ReplyPtr& reply, Task task);

  static void LimitChildBudget(const ShardPtr& shard,
                               program::CreateRequest& create);
  void CreateProgram(const ShardPtr& shard,
                     const program::CreateRequest& create,
                     const ReplyPtr& reply);

  void StartCall(const ShardPtr& shard,
                 const program::ProgramId& id,
                 const CallerRequest& request,
                 const ReplyPtr& reply);
  void Admit(const ShardPtr& shard, CallPlan plan, const ReplyPtr& reply);
  void ReplyFromHistory(const CallPlan& plan, const ReplyPtr& reply);
  void CheckUncommittedLimit() const;

  void ShowProgram(const ShardPtr& shard,
                   const program::ProgramId& id,
                   const ReplyPtr& reply);
  void ShowHistory(const ShardPtr& shard,
                   const program::ProgramId& id,
                   const ReplyPtr& reply);
  void CancelProgram(const ShardPtr& shard,
                     const program::ProgramId& id,
                     const ReplyPtr& reply);
  void EndProgram(const ShardPtr& shard,
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
  std::shared_ptr<protocol::NodeClient> EntryClientFor(
      const std::string& address);

  EntryContext& context_;
  Recovery& recovery_;
  protocol::RpcLoop& loop_;
  CallParser parser_;
  base::Counter& opened_turns_;
  base::Counter& repeated_turns_;
  base::Counter& forwarded_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<protocol::NodeClient>> clients_;
};

// Program state as JSON, as sent to callers.
nlohmann::json ProgramJson(const program::Program& program);

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_PROGRAM_API_H_
