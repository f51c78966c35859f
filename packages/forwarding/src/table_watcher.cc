#include "vanillalever/forwarding/table_watcher.h"

#include <algorithm>
#include <utility>

#include "vanillalever/base/logging.h"

namespace vanillalever::forwarding {
namespace {

// Rows deleted within this time after an outage of the store may have expired
// during it.
constexpr base::milliseconds kOutageWindow{1000};
// Listings through other gateways that may be in progress at once: some of
// these gateways may stand still.
constexpr int kMaxRelayedLists = 3;
// A slow response of which nothing has arrived for this long has stopped.
constexpr base::milliseconds kSlowResponsePause{1000};

}  // namespace

TableWatcher::TableWatcher(boost::asio::io_context& context,
                           SharedTable& table,
                           std::string name,
                           Observer& observer,
                           std::uint64_t seed,
                           TableWatcherSettings settings)
    : timer_(context),
      relay_timer_(context),
      table_(table),
      name_(std::move(name)),
      observer_(observer),
      random_(seed),
      settings_(settings) {}

void TableWatcher::Start() {
  List();
}

void TableWatcher::Resync() {
  listed_ = false;
  timer_.cancel();
  List();
}

void TableWatcher::OnStoreReturned() {
  // What arrives may be what this call is to bring; it would begin anew.
  if (connected_ || (call_open_ && slow_response_arrives()))
    return;
  auto most = static_cast<std::uint64_t>(settings_.max_return_delay.count());
  CallAfter(base::milliseconds(random_.Below(most + 1)));
}

void TableWatcher::List() {
  std::uint64_t generation = ++generation_;
  call_open_ = true;
  table_.List(
      name_, "",
      [this, generation, sent = base::BootClock::now()](
          const ReadResult& result) { OnListed(result, generation, sent); });
}

void TableWatcher::OnListed(const ReadResult& result,
                            std::uint64_t generation,
                            base::BootTime sent) {
  if (generation != generation_)
    return;
  call_open_ = false;
  if (result.outcome != StoreOutcome::kDone)
    return OnFailure("list", result.reason);
  OnResponse(sent);
  version_ = result.version;
  listed_ = true;
  observer_.OnRows(result.rows);
  Await();
}

void TableWatcher::Await() {
  std::uint64_t generation = ++generation_;
  base::milliseconds wait =
      connected_ && !view_aged() ? settings_.max_wait : base::milliseconds(0);
  call_open_ = true;
  table_.AwaitChanges(name_, version_, wait,
                      [this, generation, sent = base::BootClock::now()](
                          const ChangesResult& result) {
                        OnChanges(result, generation, sent);
                      });
}

void TableWatcher::OnChanges(const ChangesResult& result,
                             std::uint64_t generation,
                             base::BootTime sent) {
  if (generation != generation_)
    return;
  call_open_ = false;
  if (result.history_lost) {
    base::LogEvent(base::LogLevel::kInfo, "store_history_lost",
                   {{"table", name_}, {"version", std::to_string(version_)}});
    OnReachable();
    return List();
  }
  if (result.outcome != StoreOutcome::kDone)
    return OnFailure("changes", result.reason);
  OnResponse(sent);
  version_ = std::max(version_, result.version);
  bool after_outage =
      was_disconnected_ && last_response_ - reconnected_at_ < kOutageWindow;
  for (const TableRow& row : result.rows)
    observer_.OnChange(row, after_outage);
  Await();
}

bool TableWatcher::view_aged() const {
  return !confirmed_at_ ||
         base::BootClock::now() - *confirmed_at_ > 2 * settings_.max_wait;
}

// A poll shows the rows as they were at some time after it was sent.
void TableWatcher::OnResponse(base::BootTime sent) {
  confirmed_at_ = std::max(confirmed_at_.value_or(sent), sent);
  OnReachable();
}

void TableWatcher::OnReachable() {
  last_response_ = base::TimePoint::clock::now();
  failures_ = 0;
  if (connected_)
    return;
  connected_ = true;
  reconnected_at_ = last_response_;
  base::LogEvent(base::LogLevel::kInfo, "store_regained",
                 {{"table", name_}, {"version", std::to_string(version_)}});
}

void TableWatcher::OnFailure(std::string_view step, const std::string& reason) {
  if (connected_) {
    connected_ = false;
    was_disconnected_ = true;
    base::LogEvent(base::LogLevel::kWarning, "store_lost",
                   {{"table", name_},
                    {"step", std::string(step)},
                    {"reason", reason},
                    {"version", std::to_string(version_)}});
    if (settings_.relayed_list_interval > base::milliseconds(0))
      ListThroughPeers();
  }
  auto delay =
      std::min(settings_.max_retry_delay,
               settings_.first_retry_delay * (1 << std::min(failures_, 8)));
  ++failures_;
  CallAfter(delay / 2 +
            base::milliseconds(random_.Below(
                static_cast<std::uint64_t>(delay.count() / 2 + 1))));
}

void TableWatcher::CallAfter(base::Duration delay) {
  timer_.expires_after(delay);
  timer_.async_wait(
      [this, generation = ++generation_](boost::system::error_code error) {
        if (error || generation != generation_)
          return;
        if (listed_ && !outage_was_long())
          Await();
        else
          List();
      });
}

bool TableWatcher::outage_was_long() const {
  return settings_.list_after_outage && !connected_ &&
         base::TimePoint::clock::now() - last_response_ >=
             *settings_.list_after_outage;
}

bool TableWatcher::may_list_through_peers() const {
  if (!listed_ || relayed_lists_ >= kMaxRelayedLists)
    return false;
  // What arrives slowly would arrive twice as slowly beside another one.
  return relayed_lists_ == 0 || !slow_response_arrives();
}

bool TableWatcher::slow_response_arrives() const {
  return base::TimePoint::clock::now() - table_.last_slow_response() <
         kSlowResponsePause;
}

void TableWatcher::ListThroughPeers() {
  if (may_list_through_peers()) {
    ++relayed_lists_;
    table_.List(
        name_, "",
        [this, sent = base::BootClock::now()](const ReadResult& result) {
          --relayed_lists_;
          if (result.outcome != StoreOutcome::kDone || connected_)
            return;
          confirmed_at_ = std::max(confirmed_at_.value_or(sent), sent);
          observer_.OnRows(result.rows);
        });
  }
  relay_timer_.expires_after(settings_.relayed_list_interval);
  relay_timer_.async_wait([this](boost::system::error_code error) {
    if (!error && !connected_)
      ListThroughPeers();
  });
}

}  // namespace vanillalever::forwarding
