#include "vanillalever/forwarding/relayed_table.h"

#include <type_traits>
#include <utility>

#include "vanillalever/base/logging.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;

constexpr milliseconds kConnectTimeout{200};
// Longer than the other gateway's own call takes until its response begins.
constexpr milliseconds kRelayTimeout{900};
// A table without partitions may hold large rows, such as the configuration,
// and the other gateway reads all of it before its reply begins.
constexpr milliseconds kRelayedListTimeout{5000};
constexpr http::ResponsePatience kReplyPatience{
    .stall = milliseconds(1000),
    .total = milliseconds(20000),
    .behind_slow = milliseconds(3000),
};
constexpr milliseconds kTickInterval{50};
constexpr int kOk = 200;
// Any row will do; this one does not exist.
constexpr const char* kProbeTable = "gateways";
constexpr const char* kProbeKey = "probe";

bool Answered(StoreOutcome outcome) {
  return outcome == StoreOutcome::kDone || outcome == StoreOutcome::kConflict;
}

TransactionResult DecodeReply(std::string_view bytes, TransactionResult*) {
  return DecodeTransactionReply(bytes);
}

ReadResult DecodeReply(std::string_view bytes, ReadResult*) {
  return DecodeReadReply(bytes);
}

// Result of a call whose response from the other gateway is missing.
template <typename Result>
Result FailedRelay(const http::ClientResult& answer) {
  Result result;
  bool sent =
      !answer.error || answer.error->ran != base::ExecutionStatus::kNotRun;
  bool writes = std::is_same_v<Result, TransactionResult>;
  result.outcome =
      sent && writes ? StoreOutcome::kUnknown : StoreOutcome::kNotDone;
  result.reason = answer.error ? base::Describe(*answer.error)
                               : "status " + std::to_string(answer.status);
  return result;
}

}  // namespace

template <typename Result>
struct RelayedTable::Pending {
  TableCall call;
  std::function<void(Result)> done;
  // Ways on which a response is outstanding.
  int open = 0;
  bool relayed = false;
  bool finished = false;
  // A way failed without it being known whether the write took effect.
  bool unknown = false;
  std::string reason;
};

RelayedTable::RelayedTable(http::IoThreads& threads,
                           SharedTable& direct,
                           std::uint64_t seed,
                           base::Counter& relayed_calls,
                           std::size_t max_reply_bytes)
    : client_(threads,
              {.connect_timeout = kConnectTimeout,
               .max_body_bytes = max_reply_bytes,
               .max_total_bytes = max_reply_bytes}),
      context_(threads.context()),
      direct_(direct),
      random_(seed),
      relayed_calls_(relayed_calls),
      probe_timer_(threads.context()) {}

void RelayedTable::Start() {
  Tick();
}

void RelayedTable::Transact(std::vector<TableWrite> writes,
                            std::function<void(TransactionResult)> done) {
  auto call = std::make_shared<Pending<TransactionResult>>();
  call->call = std::move(writes);
  call->done = std::move(done);
  Start(call);
}

void RelayedTable::ReadRange(TableRange range,
                             std::function<void(ReadResult)> done) {
  auto call = std::make_shared<Pending<ReadResult>>();
  call->call = std::move(range);
  call->done = std::move(done);
  Start(call);
}

void RelayedTable::AwaitChanges(std::string table,
                                std::uint64_t version,
                                base::milliseconds wait,
                                std::function<void(ChangesResult)> done) {
  direct_.AwaitChanges(std::move(table), version, wait,
                       [this, sent = base::TimePoint::clock::now(),
                        done = std::move(done)](const ChangesResult& result) {
                         if (result.history_lost || Answered(result.outcome))
                           path_.OnPollResponse(sent,
                                                base::TimePoint::clock::now());
                         else
                           RecordDirect(result);
                         done(result);
                       });
}

template <typename Result>
void RelayedTable::Start(const PendingPtr<Result>& call) {
  if (!path_.reachable() && CallThroughPeer(call))
    return;
  CallDirectly(call);
  RelayWhenOverdue(call);
}

template <typename Result>
void RelayedTable::CallDirectly(const PendingPtr<Result>& call) {
  ++call->open;
  path_.OnCall(base::TimePoint::clock::now());
  auto done = [this, call](Result result) {
    path_.OnCallEnded();
    RecordDirect(result);
    OnResult(call, std::move(result));
  };
  if constexpr (std::is_same_v<Result, TransactionResult>)
    direct_.Transact(std::get<std::vector<TableWrite>>(call->call),
                     std::move(done));
  else
    direct_.ReadRange(std::get<TableRange>(call->call), std::move(done));
}

template <typename Result>
bool RelayedTable::CallThroughPeer(const PendingPtr<Result>& call) {
  if (call->relayed || peers_ == nullptr)
    return false;
  std::vector<std::string> addresses = peers_->StoreAddresses();
  if (addresses.empty())
    return false;
  call->relayed = true;
  ++call->open;
  relayed_calls_.Add();
  http::ClientRequest request;
  request.address = addresses[random_.Below(addresses.size())];
  request.method = "POST";
  request.target = kPath;
  request.content_type = "application/octet-stream";
  request.body = EncodeTableCall(call->call);
  auto* range = std::get_if<TableRange>(&call->call);
  bool lists = range != nullptr && range->partition.empty() &&
               range->from.empty() && range->to.empty();
  request.timeout = lists ? kRelayedListTimeout : kRelayTimeout;
  request.patience = kReplyPatience;
  client_.Send(
      std::move(request), [this, call](const http::ClientResult& answer) {
        bool replied = !answer.error && answer.status == kOk;
        Result result =
            replied ? DecodeReply(answer.body, static_cast<Result*>(nullptr))
                    : FailedRelay<Result>(answer);
        // The other gateway may have made the call for the first copy.
        if (answer.sent_twice && std::is_same_v<Result, TransactionResult> &&
            result.outcome == StoreOutcome::kNotDone)
          result.outcome = StoreOutcome::kUnknown;
        OnResult(call, std::move(result));
      });
  return true;
}

template <typename Result>
void RelayedTable::RelayWhenOverdue(const PendingPtr<Result>& call) {
  auto sent = base::TimePoint::clock::now();
  auto timer = std::make_shared<boost::asio::steady_timer>(
      context_, path_.settings().patience);
  timer->async_wait([this, call, sent, timer](boost::system::error_code error) {
    if (error || call->finished)
      return;
    path_.OnLargeResponse(direct_.last_large_response());
    if (path_.Overdue(sent, base::TimePoint::clock::now()))
      CallThroughPeer(call);
  });
}

template <typename Result>
void RelayedTable::OnResult(const PendingPtr<Result>& call, Result result) {
  --call->open;
  if (call->finished)
    return;
  if (!Answered(result.outcome)) {
    call->unknown |= result.outcome == StoreOutcome::kUnknown;
    call->reason = result.reason;
    // The other way may still succeed.
    bool elsewhere = !result.throttled || !path_.reachable();
    if ((elsewhere && CallThroughPeer(call)) || call->open > 0)
      return;
    result.outcome =
        call->unknown ? StoreOutcome::kUnknown : StoreOutcome::kNotDone;
  }
  call->finished = true;
  std::exchange(call->done, nullptr)(std::move(result));
}

template <typename Result>
void RelayedTable::RecordDirect(const Result& result) {
  bool reached = path_.reachable();
  if (Answered(result.outcome))
    path_.OnResponse(base::TimePoint::clock::now());
  else if (result.throttled)
    path_.OnThrottled(base::TimePoint::clock::now());
  else
    path_.OnFailure();
  if (reached != path_.reachable())
    AnnounceReachable(result.reason);
}

void RelayedTable::AnnounceReachable(std::string_view reason) {
  base::LogEvent(base::LogLevel::kWarning, "store_path",
                 {{"reachable", path_.reachable() ? "true" : "false"},
                  {"reason", std::string(path_.reachable() ? "" : reason)}});
  if (peers_ != nullptr)
    peers_->SetStoreReachable(path_.reachable());
  if (path_.reachable() && on_return_)
    on_return_();
}

void RelayedTable::Tick() {
  path_.OnLargeResponse(direct_.last_large_response());
  if (path_.TakeSilence(base::TimePoint::clock::now()))
    AnnounceReachable("no response");
  auto now = base::TimePoint::clock::now();
  std::size_t others = peers_ != nullptr ? peers_->live() : 0;
  if (path_.TakeProbe(now) ||
      (others > 0 && path_.IdleCheckDue(now, others + 1))) {
    path_.OnCall(now);
    direct_.Read({kProbeTable, "", kProbeKey},
                 [this](const ReadResult& result) {
                   path_.OnCallEnded();
                   RecordDirect(result);
                 });
  }
  probe_timer_.expires_after(kTickInterval);
  probe_timer_.async_wait([this](boost::system::error_code error) {
    if (!error)
      Tick();
  });
}

void RelayedTable::Serve(const std::shared_ptr<http::Exchange>& exchange) {
  auto reply = [this, exchange](const auto& result) {
    path_.OnCallEnded();
    RecordDirect(result);
    http::Response response;
    response.content_type = "application/octet-stream";
    response.body = EncodeTableReply(result);
    exchange->Send(std::move(response));
  };
  auto call = DecodeTableCall(exchange->request().body);
  if (!call) {
    base::LogEvent(base::LogLevel::kWarning, "relayed_call_malformed",
                   {{"peer", exchange->request().peer}});
    http::Response response;
    response.status = 400;
    return exchange->Send(std::move(response));
  }
  path_.OnCall(base::TimePoint::clock::now());
  if (auto* range = std::get_if<TableRange>(&*call))
    direct_.ReadRange(std::move(*range), reply);
  else
    direct_.Transact(std::move(std::get<std::vector<TableWrite>>(*call)),
                     reply);
}

}  // namespace vanillalever::forwarding
