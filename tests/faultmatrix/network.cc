#include "network.h"

namespace vanillalever::faultmatrix {

namespace {

// Time after which the sender notices a refused or broken connection.
constexpr Duration kNoticeBreak = milliseconds(5);

}  // namespace

void Network::Cut(const std::string& first,
                  const std::string& second,
                  Duration time,
                  bool half_open) {
  LinkCut cut{simulator_.now() + time, half_open};
  cuts_[{second, first}] = cut;
  if (half_open)
    return;
  cuts_[{first, second}] = cut;
  for (const auto& weak : pending_) {
    auto call = weak.lock();
    if (!call)
      continue;
    if (FindCut(call->from.address(), call->to.address()) != nullptr ||
        FindCut(call->to.address(), call->from.address()) != nullptr) {
      Fail(call, true);
    }
  }
}

bool Network::disturbed(const std::string& address) const {
  for (const auto& [link, cut] : cuts_) {
    bool concerned = link.first == address || link.second == address;
    if (concerned && simulator_.now() < cut.until)
      return true;
  }
  return false;
}

void Network::Break(const Host& host) {
  std::vector<std::weak_ptr<Pending>> kept;
  for (const auto& weak : pending_) {
    auto call = weak.lock();
    if (!call)
      continue;
    if (&call->to == &host)
      Fail(call, true);
    else
      kept.push_back(weak);
  }
  pending_ = std::move(kept);
}

Network::PendingPtr Network::Open(Host& from, Host& to, OnFail on_fail) {
  // A process that a fault has just ended sends nothing.
  if (!from.alive())
    return nullptr;
  auto call = std::make_shared<Pending>(Pending{from, to, std::move(on_fail)});
  const LinkCut* cut = FindCut(from.address(), to.address());
  if (!to.alive() || (cut != nullptr && !cut->half_open)) {
    Fail(call, false);
    return nullptr;
  }
  pending_.push_back(call);
  return call;
}

void Network::Forth(const PendingPtr& call,
                    Duration timeout,
                    std::function<void()> arrive) {
  call->from.After(timeout, [this, call] { Fail(call, true); });
  if (FindCut(call->from.address(), call->to.address()) != nullptr)
    return;
  call->to.After(simulator_.Between(1, 4), std::move(arrive));
}

void Network::Back(const PendingPtr& call, std::function<void()> arrive) {
  if (FindCut(call->to.address(), call->from.address()) != nullptr)
    return;
  Duration delay = simulator_.Between(1, 4);
  if (sidecars_.count(call->to.address()) > 0) {
    AnswerFault fault = std::exchange(answer_fault_, AnswerFault::kNone);
    if (fault == AnswerFault::kDelayed)
      delay += simulator_.Between(2000, 9000);
    if (fault == AnswerFault::kDoubled)
      call->from.After(delay + simulator_.Between(0, 3000), arrive);
  }
  call->from.After(delay, std::move(arrive));
}

void Network::Fail(const PendingPtr& call, bool maybe_delivered) {
  if (call->replied || std::exchange(call->failed, true))
    return;
  call->from.After(kNoticeBreak, [call, maybe_delivered] {
    if (!call->replied)
      call->on_fail(maybe_delivered);
  });
}

const Network::LinkCut* Network::FindCut(const std::string& from,
                                         const std::string& to) const {
  auto it = cuts_.find({from, to});
  return it != cuts_.end() && simulator_.now() < it->second.until ? &it->second
                                                                  : nullptr;
}

}  // namespace vanillalever::faultmatrix
