#ifndef VANILLALEVER_ENTRY_SRC_TURN_WAITERS_H_
#define VANILLALEVER_ENTRY_SRC_TURN_WAITERS_H_

#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "caller_reply.h"
#include "vanillalever/program/program_id.h"

namespace vanillalever::entry {

// Callers waiting for the end of a turn: the one that opened it and those that
// repeated it. Thread-safe.
class TurnWaiters {
 public:
  void Add(const program::ProgramId& program,
           std::uint32_t turn,
           ReplyPtr reply);

  // Streams text of an attempt to every caller of the turn. Text of a later
  // attempt replaces that of earlier attempts; text of an earlier attempt is
  // dropped.
  void SendToken(const program::ProgramId& program,
                 std::uint32_t turn,
                 std::uint32_t attempt,
                 const std::string& text);

  // Sends the final reply to every caller of the turn.
  void Finish(const program::ProgramId& program,
              std::uint32_t turn,
              int status,
              const std::string& body);
  void Fail(const program::ProgramId& program,
            std::uint32_t turn,
            const base::ErrorInfo& info);

 private:
  using Key = std::pair<std::string, std::uint32_t>;

  struct Waiting {
    std::vector<ReplyPtr> replies;
    // Text of the current attempt so far, for callers that join later.
    std::string text;
    std::uint32_t attempt = 0;
  };

  std::vector<ReplyPtr> Take(const program::ProgramId& program,
                             std::uint32_t turn);

  std::mutex mutex_;
  std::map<Key, Waiting> waiting_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_TURN_WAITERS_H_
