#ifndef VANILLALEVER_FORWARDING_TABLE_WATCHER_H_
#define VANILLALEVER_FORWARDING_TABLE_WATCHER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "vanillalever/base/boot_clock.h"
#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/shared_table.h"

namespace vanillalever::forwarding {

// Settings of TableWatcher.
struct TableWatcherSettings {
  // Longest time that one call waits for changes. A dead connection is detected
  // soon after it, well within the time in which a change must apply.
  base::milliseconds max_wait{700};
  // Delay after the first failed call; doubles with each further failure, up to
  // `max_retry_delay`.
  base::milliseconds first_retry_delay{40};
  base::milliseconds max_retry_delay{400};
  // Longest delay of a call after the store has been found to serve this
  // gateway again, so that the gateways do not all call at the same moment.
  base::milliseconds max_return_delay{200};
  // While the store does not serve this gateway, the table is listed through
  // others at this interval; zero: never.
  base::milliseconds relayed_list_interval{0};
  // After an outage of at least this long the table is listed: its changes may
  // contain many versions of a large row, of which only the last one counts.
  std::optional<base::milliseconds> list_after_outage = std::nullopt;
};

// Watches one table of the store that has no partitions: lists it, then polls
// its changes, and lists it again when changes were missed. After a failure the
// calls do not wait for changes until one succeeds, so that the return of the
// store is noticed within the timeout of such a call. Event loop's thread only.
class TableWatcher {
 public:
  // Receives the rows and changes of the table.
  class Observer {
   public:
    virtual ~Observer() = default;
    // All rows of the table.
    virtual void OnRows(const std::vector<TableRow>& rows) = 0;
    // One changed row. `after_outage`: the store was unavailable shortly
    // before, so that a deleted row may be registered again.
    virtual void OnChange(const TableRow& row, bool after_outage) = 0;
  };

  TableWatcher(boost::asio::io_context& context,
               SharedTable& table,
               std::string name,
               Observer& observer,
               std::uint64_t seed,
               TableWatcherSettings settings = {});

  void Start();
  // Cancels the present wait and lists the table again.
  void Resync();
  // The store serves this gateway again, as another call has shown.
  void OnStoreReturned();

  // Whether the last call succeeded.
  bool connected() const { return connected_; }
  // When the store last responded.
  base::TimePoint last_response() const { return last_response_; }
  // Time as of which the rows that the observer knows are those of the store;
  // absent until the first listing.
  std::optional<base::BootTime> confirmed_at() const { return confirmed_at_; }

 private:
  void List();
  void Await();
  void OnListed(const ReadResult& result,
                std::uint64_t generation,
                base::BootTime sent);
  void OnChanges(const ChangesResult& result,
                 std::uint64_t generation,
                 base::BootTime sent);
  void OnResponse(base::BootTime sent);
  // Whether the view is older than polls leave it, for example because the
  // process stood still: then the next call does not wait for changes.
  bool view_aged() const;
  // The store serves this gateway.
  void OnReachable();
  // Whether the store has not served this gateway for so long that the table is
  // better listed.
  bool outage_was_long() const;
  // Lists or awaits again after the delay.
  void CallAfter(base::Duration delay);
  // Begins the listings through other gateways, until the store serves this
  // one again.
  void ListThroughPeers();
  // Whether another such listing is worth beginning beside those in progress.
  bool may_list_through_peers() const;
  // Whether a slow response arrives at present.
  bool slow_response_arrives() const;
  void OnFailure(std::string_view step, const std::string& reason);

  boost::asio::steady_timer timer_;
  boost::asio::steady_timer relay_timer_;
  // Listings through others that are in progress.
  int relayed_lists_ = 0;
  SharedTable& table_;
  std::string name_;
  Observer& observer_;
  base::Random random_;
  TableWatcherSettings settings_;
  std::uint64_t version_ = 0;
  bool listed_ = false;
  bool connected_ = false;
  // A call has no response yet.
  bool call_open_ = false;
  int failures_ = 0;
  base::TimePoint last_response_{};
  std::optional<base::BootTime> confirmed_at_;
  base::TimePoint reconnected_at_{};
  bool was_disconnected_ = false;
  // Incremented with each call, so that responses to earlier calls are ignored.
  std::uint64_t generation_ = 0;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_TABLE_WATCHER_H_
