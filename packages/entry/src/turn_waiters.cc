#include "turn_waiters.h"

namespace vanillalever::entry {

void TurnWaiters::Add(const program::ProgramId& program,
                      std::uint32_t turn,
                      ReplyPtr reply) {
  std::lock_guard lock(mutex_);
  waiting_[{program.text(), turn}].push_back(std::move(reply));
}

void TurnWaiters::Token(const program::ProgramId& program,
                        std::uint32_t turn,
                        const std::string& text) {
  std::vector<ReplyPtr> replies;
  {
    std::lock_guard lock(mutex_);
    auto found = waiting_.find({program.text(), turn});
    if (found == waiting_.end())
      return;
    replies = found->second;
  }
  for (const ReplyPtr& reply : replies)
    reply->Token(text);
}

std::vector<ReplyPtr> TurnWaiters::Take(const program::ProgramId& program,
                                        std::uint32_t turn) {
  std::lock_guard lock(mutex_);
  auto entry = waiting_.extract({program.text(), turn});
  return entry.empty() ? std::vector<ReplyPtr>() : std::move(entry.mapped());
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
