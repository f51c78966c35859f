#ifndef VANILLALEVER_FORWARDING_FORWARDED_REQUEST_H_
#define VANILLALEVER_FORWARDING_FORWARDED_REQUEST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "vanillalever/forwarding/caller_session.h"
#include "vanillalever/forwarding/event_framer.h"
#include "vanillalever/forwarding/forwarding_context.h"
#include "vanillalever/forwarding/server_request.h"

namespace vanillalever::forwarding {

// One request of a caller from its arrival to the end of its response: routing,
// budget reservation, placement, sends and relay. Event loop thread only.
class ForwardedRequest final
    : public ActiveRequest,
      public ResponseHandler,
      public std::enable_shared_from_this<ForwardedRequest> {
 public:
  ForwardedRequest(ForwardingContext& context,
                   CallerRequest request,
                   std::shared_ptr<ResponseSink> sink);
  ~ForwardedRequest() override;

  void Start();
  // Refuses the request instead.
  void Reject(std::string_view reason);

  void OnCallerDisconnected(std::string_view reason) override;
  void OnEnding(std::string_view reason) override;
  void OnOutputDrained() override;

  void OnResponseHead(int status,
                      const HttpFields& fields,
                      const ResponseMetadata& metadata) override;
  void OnResponseBody(std::string_view data) override;
  void OnResponseEnd() override;
  void OnConnectionFailed(const std::string& reason, bool sent) override;

 private:
  // Fraction of the time limit that a request waits before it is refused.
  static constexpr double kMaxWaitShare = 0.35;
  // Retry-After while no configuration is known or the store is unavailable.
  static constexpr base::milliseconds kNotReadyRetryAfter{500};
  // Retry-After of a stream that cannot go on: its caller may start it anew.
  static constexpr base::milliseconds kNotResumableRetryAfter{50};
  // Retry-After of a stopping gateway: another one can take the request.
  static constexpr base::milliseconds kStoppingRetryAfter{50};
  // Retry-After while no server takes the request, and its jitter.
  static constexpr base::milliseconds kRetryAfter{250};
  static constexpr std::uint64_t kRetryAfterJitterMs = 250;

  // Content type of streams.
  static constexpr std::string_view kEventStream = "text/event-stream";

  // Time between two checks whether servers that interrupted the request have
  // crashed.
  static constexpr base::milliseconds kCrashCheckDelay{10};

  // How the current response is processed.
  enum class ResponseMode { kNone, kRefusal, kBuffered, kRelayed, kStreamed };

  // The declared length of a response that is relayed while it arrives, because
  // it is larger than what is buffered.
  std::optional<std::uint64_t> LengthToRelay(const HttpFields& fields) const;
  // A part of a body that consists of no events.
  void OnPlainBody(std::string_view data);
  void RelayBody(std::string_view data);
  void FinishBody();

  bool ResolveRoute();
  // The following four refuse the request and return false if it may not go
  // on. Finds the organisation of the request's key.
  bool IdentifyOrganisation();
  // Whether the organisation still holds the request's key, as far as this
  // gateway may rely on its configuration.
  bool KeyStillHeld();
  // Priority of the request, zero being the highest: that of its organisation,
  // or of its route if the organisation states none.
  int priority() const;
  bool keys_confirmed() const;
  void RefuseUnconfirmedKey();
  // What servers and records state as the organisation; see
  // ServerRequestOptions.
  std::optional<std::string> OrganisationName() const;
  // Programs of different organisations may have the same id.
  std::string BudgetKey() const;
  // Whether the servers can complete the request in time.
  bool AdmitUnderLoad();
  // The same for all requests of a program at all gateways.
  std::uint64_t program_hash() const;
  // Time that the request waits for its writes to the shared table.
  base::Duration StoreWait() const;
  // Records how long the current server took for the request.
  void RecordServiceTime();
  // Counts the request toward the allotment of its organisation.
  bool TakeAllotment();
  // The request has not run, and will not.
  void ReturnAllotment();
  // Looks up the version that began the stream, if the caller takes one up.
  void FindOrigin();
  void OnOrigin(OriginLookup outcome, const std::string& version);
  // The first event of the response has arrived.
  void RecordOrigin();
  // Whether a server is registered at which the request may run.
  bool VersionServes() const;
  void RefuseReplacedVersion();
  bool may_be_resumed() const;
  // Looks up the turn that the request continues, on a stateful route.
  void FindPreviousTurn();
  void OnPreviousTurn(TurnLookup outcome, const conversation::TurnPtr& turn);
  void ReserveBudget();
  void OnBudgetResult(BudgetOutcome outcome);
  void Place();
  // No server is available: places the request again after a delay, or refuses
  // it.
  void WaitForServer();
  // Sends the request at once, or when its server takes it by the rate that the
  // server states, or refuses it.
  void SendWhenTaken(const Placement& placement);
  // Sends the request again to the server that may have run it, after a delay.
  void RetrySameServer();
  void SendAgain(const Placement& placement);
  // A request to the server counts toward the rate that the server states.
  void CountTowardRate(ServerSlot& slot);
  // Runs `action` after the delay, unless the request has ended by then.
  void WaitThen(base::Duration delay,
                std::function<void(ForwardedRequest&)> action);
  void Send(const Placement& placement);
  // The server has completed a turn of a conversation: makes it durable, then
  // ends the response.
  void RecordTurn();
  void FinishStream();
  ServerRequest MakeRequest(const ServerSlot& slot) const;
  bool must_not_repeat() const;
  // Removes the request from its server's load, and closes the connection or
  // returns it to the pool.
  void EndSend(bool keep_connection);
  void OnSendFailed(SendFailure failure, const std::string& reason);
  // The response is whole for the transport, but not for the caller.
  void OnBrokenOff(const std::string& reason);
  bool ends_inside_event() const;
  // Whether a successful response with these fields may be joined to the events
  // that the caller has. A server can respond with an error of another type.
  bool GoesOnWithStream(const HttpFields& fields) const;
  // Whether the response ended with its connection before it brought an event.
  // It may have been cut then, also if it was to go on with a stream.
  bool ends_before_first_event() const;
  // Whether the server is asked for the last event again: if the stream ended
  // with that event, the repeated one shows that the response is whole.
  bool repeats_last_event() const;
  // Id of the event before the last one relayed; empty if it is not known.
  const std::string& EventBeforeLast() const;
  // Id of the event after which the next server goes on; empty at the start.
  const std::string& ResumePoint() const;
  void OnTimeout();
  // Ends the request without a server's response.
  void EndUnanswered(std::string_view reason);

  // Records what the server's response says about its request rate.
  void RecordStatedLimit(int status, const ResponseMetadata& metadata);
  // The server has said in its response that it leaves.
  void MarkLeaving();
  // The server's response must not be passed on.
  void RejectResponse(std::string_view reason);
  // Records in the server's load whether the current send failed.
  void RecordOutcome(bool failed);
  void RecordFirstOutput();
  void RecordResponse();
  // Feeds the times of a whole response to placement.
  void RecordSpeed();
  void StartRelay();
  void Refuse(std::string_view reason, base::Duration retry_after);
  void SendLocalReply(int status,
                      std::string_view reason,
                      std::optional<base::Duration> retry_after = std::nullopt);
  // Ends the request with an unknown outcome at a server.
  void Fail(int status, std::string_view reason);
  void Finish(std::string_view outcome, std::string_view reason);
  void LogOutcome(std::string_view outcome, std::string_view reason) const;
  base::Duration time_left() const;
  // Identifies the request's content: the same for all attempts of a caller.
  const std::string& fingerprint();
  // The same as a number, which is faster to compute.
  std::uint64_t content_hash() const;
  // How the request may be sent on, if it was at work in crashes of servers.
  guard::Admission Admit();
  // Tells the other gateways of a send that was at work in several crashes.
  void MarkSuspect();
  void UnmarkSuspect();
  // The current send ends without a whole response.
  void RecordInterruption(Interruption kind);
  // A server has sent a whole response.
  void RecordCompletion();
  // Refuses the request, or runs `action` after a delay, if it must not be sent
  // on now. Returns whether it did.
  bool HoldBack(guard::Admission admission,
                std::function<void(ForwardedRequest&)> action);
  // Places the request again, as a trial, after a random delay.
  void WaitForTrial();
  // Until then the request waits for a server or for its conversation; the rest
  // of its time limit is left for another attempt of the caller.
  base::TimePoint wait_limit() const;

  ForwardingContext& context_;
  // Shared with the sends, which write from it.
  std::shared_ptr<const CallerRequest> request_;
  std::shared_ptr<ResponseSink> sink_;
  RequestProfile profile_;
  PromptChain chain_;
  std::shared_ptr<const RouteConfig> config_;
  const Route* route_ = nullptr;
  // Null if the request needs no key.
  const organisation::Organisation* organisation_ = nullptr;
  // The request counts toward the allotment of its organisation.
  bool counted_ = false;
  const Service* service_ = nullptr;
  // Computed when first needed; see fingerprint().
  std::string fingerprint_;
  base::TimePoint arrived_at_{};
  base::TimePoint deadline_{};
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer wait_timer_;

  // Turn that this one continues, on a stateful route.
  conversation::TurnPtr previous_turn_;
  // On a stateful route, for what is recorded in the end.
  std::optional<conversation::TurnMemory::Reservation> turn_room_;
  bool budget_reserved_ = false;
  std::shared_ptr<ServerConnection> connection_;
  ServerSlotPtr slot_;
  // Placement of the latest send.
  Placement placement_;
  // Times of the latest send and of its first output.
  base::TimePoint sent_at_{};
  std::optional<base::TimePoint> first_output_;
  // Events that had arrived with the first output.
  std::int64_t first_output_events_ = 0;
  // See ends_before_first_event(), of any send.
  bool ended_without_event_ = false;
  // Software version of the server that sent the stream's first event, to this
  // or an earlier attempt; the stream goes on nowhere else.
  std::optional<std::string> stream_version_;
  // Load that the server reported in its response.
  std::optional<LoadReport> reported_;
  // Limit that the server stated in its response, in requests a second.
  std::optional<double> stated_limit_;
  // Prompt tokens that the current server has yet to prefill.
  std::int64_t prefill_tokens_ = 0;
  // The current send counts in its server's load.
  bool send_open_ = false;
  // The current send was announced as that of a suspect request.
  bool suspect_send_ = false;
  // The random delay before a trial is over.
  bool trial_due_ = false;
  // The current send is the only one of this request.
  bool trial_send_ = false;
  // The current send uses a connection from the pool.
  bool reused_connection_ = false;
  std::vector<std::string> excluded_;
  // Sends after which a server may have run the request.
  int possible_runs_ = 0;
  int sends_ = 0;
  int same_server_attempts_ = 0;
  int waits_ = 0;
  // Time spent waiting for servers that limit their requests.
  base::Duration rate_waited_{0};

  ResponseMode response_mode_ = ResponseMode::kNone;
  int status_ = 0;
  HttpFields response_fields_;
  std::string body_;
  // See LengthToRelay().
  std::optional<std::uint64_t> relayed_length_;
  EventFramer framer_;
  // The head of a response that is still arriving has been sent to the caller.
  bool relaying_ = false;
  bool done_ = false;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_FORWARDED_REQUEST_H_
