#ifndef VANILLALEVER_FORWARDING_FORWARDED_REQUEST_H_
#define VANILLALEVER_FORWARDING_FORWARDED_REQUEST_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "vanillalever/forwarding/caller_session.h"
#include "vanillalever/forwarding/event_framer.h"
#include "vanillalever/forwarding/forwarding_context.h"

namespace vanillalever::forwarding {

// One attempt of a caller from its arrival to the end of its answer: route,
// budget, placement, sends, relay. Event loop's thread only.
class ForwardedRequest final
    : public RequestInProgress,
      public ResponseHandler,
      public std::enable_shared_from_this<ForwardedRequest> {
 public:
  ForwardedRequest(ForwardingContext& context,
                   CallerRequest request,
                   std::shared_ptr<ResponseSink> sink);
  ~ForwardedRequest() override;

  void Start();

  void OnCallerLeft() override;

  void OnResponseHead(int status,
                      const HttpFields& fields,
                      const ResponseMetadata& facts) override;
  void OnResponseBody(std::string_view data) override;
  void OnResponseEnd() override;
  void OnConnectionFailed(const std::string& reason, bool sent) override;

 private:
  // How the head of an answer is treated.
  enum class Answer { kNone, kRefusal, kWhole, kStream };

  bool TakeRoute();
  void AskBudget();
  void OnBudget(BudgetAnswer answer);
  void Place();
  // No server can take the request now: waits a little, or refuses.
  void WaitForServer();
  void Send(const Placement& placement);
  std::string RequestText(const ServerSlot& slot) const;
  bool must_not_repeat() const;
  // Takes the request off its server's load; closes or keeps the connection.
  void EndSend(bool keep_connection);
  void OnSendFailed(SendFailure failure, const std::string& reason);
  void OnTimeout();

  // The present send has shown whether its server works.
  void NoteOutcome(bool failed);
  void NoteFirstOutput();
  void CountAnswer();
  void RelayStart();
  void Refuse(std::string_view reason, base::Duration retry_after);
  void AnswerOwn(int status,
                 std::string_view reason,
                 std::optional<base::Duration> retry_after = std::nullopt);
  // The outcome at a server is unknown.
  void GiveUp(int status, std::string_view reason);
  void Finish(std::string_view outcome, std::string_view reason);
  void LogOutcome(std::string_view outcome, std::string_view reason) const;
  base::Duration time_left() const;

  ForwardingContext& context_;
  CallerRequest request_;
  std::shared_ptr<ResponseSink> sink_;
  RequestProfile profile_;
  PromptChain chain_;
  std::shared_ptr<const RouteConfig> config_;
  const Route* route_ = nullptr;
  const Service* service_ = nullptr;
  base::TimePoint arrived_{};
  base::TimePoint deadline_{};
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer wait_timer_;

  bool holds_budget_ = false;
  std::shared_ptr<ServerConnection> connection_;
  ServerSlotPtr slot_;
  // Decision that led to the latest send.
  Placement placement_;
  // When it was sent, and when its first output arrived.
  base::TimePoint sent_at_{};
  std::optional<base::TimePoint> first_output_;
  // Load that the server reported with its answer.
  std::optional<LoadReport> reported_;
  // Prompt tokens that the present server has yet to compute.
  std::int64_t prefill_tokens_ = 0;
  // A send is open and counts in its server's load.
  bool sending_ = false;
  // The present send uses a connection that was kept.
  bool kept_connection_ = false;
  std::vector<std::string> excluded_;
  // Sends after which a server may have run the request.
  int runs_ = 0;
  int sends_ = 0;
  int same_server_tries_ = 0;
  int waits_ = 0;

  Answer answer_ = Answer::kNone;
  int status_ = 0;
  HttpFields answer_fields_;
  std::string body_;
  EventFramer framer_;
  // The caller has the head of a stream.
  bool relaying_ = false;
  bool done_ = false;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_FORWARDED_REQUEST_H_
