#ifndef VANILLALEVER_TESTS_FAULTMATRIX_NETWORK_H_
#define VANILLALEVER_TESTS_FAULTMATRIX_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "simulator.h"

namespace vanillalever::faultmatrix {

// What may happen to answers of `execute` calls.
enum class AnswerFault { kNone, kDelayed, kDoubled };

// Requests and responses between hosts, with the faults of a network.
class Network {
 public:
  // Whether a request that failed may have reached the other side.
  using OnFail = std::function<void(bool maybe_delivered)>;

  explicit Network(Simulator& simulator) : simulator_(simulator) {}

  // Sends a request: `handle` runs at `to` and is given a function that sends
  // the response; `on_reply` runs at `from` for every response that arrives,
  // also after the timeout and possibly more than once; `on_fail` runs at most
  // once, at the timeout or when the connection breaks.
  template <typename Response>
  void Call(Host& from,
            Host& to,
            Duration timeout,
            std::function<void(std::function<void(Response)>)> handle,
            std::function<void(Response)> on_reply,
            OnFail on_fail) {
    auto call = Open(from, to, std::move(on_fail));
    if (!call)
      return;
    auto respond = [this, call, on_reply](Response response) {
      Back(call, [call, on_reply, response] {
        call->replied = true;
        on_reply(response);
      });
    };
    Forth(call, timeout,
          [handle = std::move(handle), respond] { handle(respond); });
  }

  // Breaks the connection between two addresses for a time. Both sides notice
  // unless it is half open: then the messages towards `second` still arrive
  // and the responses are lost silently.
  void Cut(const std::string& first,
           const std::string& second,
           Duration time,
           bool half_open);
  // Whether a cut concerns the address.
  bool disturbed(const std::string& address) const;
  // The process has ended: its peers see the connections break.
  void Break(const Host& host);
  // Applies a fault to the next answer between sidecar and entry.
  void FaultNextAnswer(AnswerFault fault) { answer_fault_ = fault; }
  // Marks responses from this address as answers of sidecars.
  void MarkSidecar(const std::string& address) { sidecars_.insert(address); }

 private:
  struct Pending {
    Host& from;
    Host& to;
    OnFail on_fail;
    bool replied = false;
    bool failed = false;
  };
  struct LinkCut {
    TimePoint until;
    bool half_open = false;
  };
  using PendingPtr = std::shared_ptr<Pending>;

  PendingPtr Open(Host& from, Host& to, OnFail on_fail);
  void Forth(const PendingPtr& call,
             Duration timeout,
             std::function<void()> arrive);
  void Back(const PendingPtr& call, std::function<void()> arrive);
  void Fail(const PendingPtr& call, bool maybe_delivered);
  // The cut in force for messages from one address to another, or null.
  const LinkCut* FindCut(const std::string& from, const std::string& to) const;

  Simulator& simulator_;
  std::map<std::pair<std::string, std::string>, LinkCut> cuts_;
  std::vector<std::weak_ptr<Pending>> pending_;
  std::set<std::string> sidecars_;
  AnswerFault answer_fault_ = AnswerFault::kNone;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_NETWORK_H_
