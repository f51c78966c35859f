#include "turn_waiters.h"

namespace vanillalever::entry {

void TurnWaiters::Add(const program::ProgramId& program,
                      std::uint32_t turn,
                      ReplyPtr reply) {
  std::lock_guard lock(mutex_);
  Waiting& waiting = waiting_[{program.text(), turn}];
  if (!waiting.text.empty())
    reply->SendToken(waiting.text);
  waiting.replies.push_back(std::move(reply));
}

// Replies are called under the lock, so that a caller that joins gets every
// piece once and in order. They only queue the text and don't block.
void TurnWaiters::SendToken(const program::ProgramId& program,
                            std::uint32_t turn,
                            std::uint32_t attempt,
                            const std::string& text) {
  std::lock_guard lock(mutex_);
  auto found = waiting_.find({program.text(), turn});
  if (found == waiting_.end() || attempt < found->second.attempt)
    return;
  Waiting& waiting = found->second;
  bool restarts = attempt > waiting.attempt && !waiting.text.empty();
  waiting.attempt = attempt;
  if (restarts)
    waiting.text.clear();
  waiting.text += text;
  for (const ReplyPtr& reply : waiting.replies) {
    if (restarts)
      reply->SendReset();
    reply->SendToken(text);
  }
}

std::vector<ReplyPtr> TurnWaiters::Take(const program::ProgramId& program,
                                        std::uint32_t turn) {
  std::lock_guard lock(mutex_);
  auto entry = waiting_.extract({program.text(), turn});
  return entry.empty() ? std::vector<ReplyPtr>()
                       : std::move(entry.mapped().replies);
}

void TurnWaiters::Finish(const program::ProgramId& program,
                         std::uint32_t turn,
                         int status,
                         const std::string& body) {
  for (const ReplyPtr& reply : Take(program, turn))
    reply->Finish(status, body);
}

void TurnWaiters::Fail(const program::ProgramId& program,
                       std::uint32_t turn,
                       const base::ErrorInfo& info) {
  for (const ReplyPtr& reply : Take(program, turn))
    reply->Fail(info);
}

}  // namespace vanillalever::entry
