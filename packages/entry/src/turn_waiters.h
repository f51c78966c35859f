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

// Callers that wait for the end of a turn: the one that opened it and those
// that repeated it. Thread-safe.
class TurnWaiters {
 public:
  void Add(const program::ProgramId& program,
           std::uint32_t turn,
           ReplyPtr reply);

  // Sends text to every caller of the turn.
  void Token(const program::ProgramId& program,
             std::uint32_t turn,
             const std::string& text);

  // Ends the wait of every caller of the turn.
  void Finish(const program::ProgramId& program,
              std::uint32_t turn,
              int status,
              const std::string& body);
  void Fail(const program::ProgramId& program,
            std::uint32_t turn,
            const base::ErrorInfo& info);

 private:
  using Key = std::pair<std::string, std::uint32_t>;

  std::vector<ReplyPtr> Take(const program::ProgramId& program,
                             std::uint32_t turn);

  std::mutex mutex_;
  std::map<Key, std::vector<ReplyPtr>> waiting_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_TURN_WAITERS_H_
