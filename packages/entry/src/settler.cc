#include "settler.h"

#include <memory>

#include <boost/asio/steady_timer.hpp>

namespace vanillalever::entry {
namespace {

constexpr base::Duration kRequestTimeout = base::seconds(2);
constexpr base::Duration kRequestInterval = base::milliseconds(100);

// A settlement in progress. Keeps itself alive until its callback has run.
class Settlement : public std::enable_shared_from_this<Settlement> {
 public:
  Settlement(boost::asio::io_context& context,
             ServerDirectory& servers,
             const program::AttemptTarget& target,
             protocol::SettleRequest request,
             base::TimePoint give_up_at,
             Settler::Callback callback)
      : timer_(context),
        servers_(servers),
        target_(target),
        request_(std::move(request)),
        give_up_at_(give_up_at),
        callback_(std::move(callback)) {}

  void SendRequest() {
    if (servers_.HasEnded(target_.server, target_.sidecar_incarnation))
      return Finish(SettleKind::kUnknown);
    auto client = servers_.ClientFor(target_.server);
    if (!client)
      return Finish(SettleKind::kShardLost);
    client->Settle(request_, kRequestTimeout,
                   [self = shared_from_this()](
                       protocol::Outcome<protocol::SettleReply> outcome) {
                     self->OnReply(std::move(outcome));
                   });
  }

 private:
  void OnReply(protocol::Outcome<protocol::SettleReply> outcome) {
    if (outcome.error)
      return RetryLater();
    protocol::SettleReply& reply = outcome.value;
    if (reply.sidecar_incarnation != target_.sidecar_incarnation)
      return Finish(SettleKind::kUnknown);
    switch (reply.state) {
      case protocol::SettleState::kDone:
        return Finish(SettleKind::kResult, std::move(reply.result));
      case protocol::SettleState::kRevoked:
        return Finish(SettleKind::kNotRun);
      case protocol::SettleState::kFenced:
        return Finish(SettleKind::kShardLost);
      case protocol::SettleState::kRunning:
        return RetryLater();
    }
  }

  void RetryLater() {
    if (std::chrono::steady_clock::now() > give_up_at_)
      return Finish(SettleKind::kUnknown);
    timer_.expires_after(kRequestInterval);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code error) {
          if (!error)
            self->SendRequest();
        });
  }

  void Finish(SettleKind kind, protocol::ExecuteResult result = {}) {
    callback_({kind, std::move(result)});
  }

  boost::asio::steady_timer timer_;
  ServerDirectory& servers_;
  const program::AttemptTarget target_;
  const protocol::SettleRequest request_;
  const base::TimePoint give_up_at_;
  const Settler::Callback callback_;
};

}  // namespace

void Settler::Settle(const program::Attempt& attempt,
                     std::uint32_t shard,
                     std::uint64_t fence,
                     base::TimePoint give_up_at,
                     Callback callback) {
  protocol::SettleRequest request;
  request.work_token = attempt.target.work_token;
  request.shard = shard;
  request.fence = fence;
  std::make_shared<Settlement>(context_, servers_, attempt.target,
                               std::move(request), give_up_at,
                               std::move(callback))
      ->SendRequest();
}

}  // namespace vanillalever::entry
