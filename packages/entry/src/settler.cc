#include "settler.h"

#include <memory>

#include <boost/asio/steady_timer.hpp>

namespace vanillalever::entry {
namespace {

constexpr base::Duration kAskTimeout = base::seconds(2);
constexpr base::Duration kAskInterval = base::milliseconds(100);

// One settlement under way.
class Settlement : public std::enable_shared_from_this<Settlement> {
 public:
  Settlement(boost::asio::io_context& context,
             ServerDirectory& servers,
             const program::AttemptTarget& target,
             protocol::SettleRequest request,
             base::TimePoint end,
             Settler::Callback callback)
      : timer_(context),
        servers_(servers),
        target_(target),
        request_(std::move(request)),
        end_(end),
        callback_(std::move(callback)) {}

  void Ask() {
    if (servers_.Gone(target_.server, target_.sidecar_incarnation))
      return Finish(SettleKind::kLost);
    auto client = servers_.Client(target_.server);
    if (!client)
      return Finish(SettleKind::kShardLost);
    client->Settle(request_, kAskTimeout,
                   [self = shared_from_this()](
                       protocol::Outcome<protocol::SettleReply> outcome) {
                     self->OnReply(std::move(outcome));
                   });
  }

 private:
  void OnReply(protocol::Outcome<protocol::SettleReply> outcome) {
    if (outcome.error)
      return AskLater();
    protocol::SettleReply& reply = outcome.value;
    if (reply.sidecar_incarnation != target_.sidecar_incarnation)
      return Finish(SettleKind::kLost);
    switch (reply.state) {
      case protocol::SettleState::kDone:
        return Finish(SettleKind::kResult, std::move(reply.result));
      case protocol::SettleState::kRevoked:
        return Finish(SettleKind::kNotRun);
      case protocol::SettleState::kFenced:
        return Finish(SettleKind::kShardLost);
      case protocol::SettleState::kRunning:
        return AskLater();
    }
  }

  void AskLater() {
    if (std::chrono::steady_clock::now() > end_)
      return Finish(SettleKind::kLost);
    timer_.expires_after(kAskInterval);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code error) {
          if (!error)
            self->Ask();
        });
  }

  void Finish(SettleKind kind, protocol::ExecuteResult result = {}) {
    callback_({kind, std::move(result)});
  }

  boost::asio::steady_timer timer_;
  ServerDirectory& servers_;
  const program::AttemptTarget target_;
  const protocol::SettleRequest request_;
  const base::TimePoint end_;
  const Settler::Callback callback_;
};

}  // namespace

void Settler::Settle(const program::Attempt& attempt,
                     std::uint32_t shard,
                     std::uint64_t fence,
                     base::TimePoint end,
                     Callback callback) {
  protocol::SettleRequest request;
  request.work_token = attempt.target.work_token;
  request.shard = shard;
  request.fence = fence;
  std::make_shared<Settlement>(context_, servers_, attempt.target,
                               std::move(request), end, std::move(callback))
      ->Ask();
}

}  // namespace vanillalever::entry
