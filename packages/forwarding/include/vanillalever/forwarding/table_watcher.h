#ifndef VANILLALEVER_FORWARDING_TABLE_WATCHER_H_
#define VANILLALEVER_FORWARDING_TABLE_WATCHER_H_

#include <cstdint>
#include <functional>
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
};

// Watches one table of the store that has no partitions: lists it, then polls
// its changes, and lists it again when changes were missed. Event loop's thread
// only.
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
    // What the observer has seen holds all changes before `confirmed_at`, a
    // time of base::BootClock.
    virtual void OnConfirmed(base::TimePoint) {}
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

  // Whether the last call succeeded.
  bool connected() const { return connected_; }
  // When the store last responded.
  base::TimePoint last_response() const { return last_response_; }

 private:
  void List();
  void Await();
  void OnListed(const ReadResult& result, std::uint64_t generation);
  void OnChanges(const ChangesResult& result, std::uint64_t generation);
  void OnResponse();
  void OnFailure(std::string_view step, const std::string& reason);

  boost::asio::steady_timer timer_;
  SharedTable& table_;
  std::string name_;
  Observer& observer_;
  base::Random random_;
  TableWatcherSettings settings_;
  std::uint64_t version_ = 0;
  bool listed_ = false;
  bool connected_ = false;
  int failures_ = 0;
  base::TimePoint last_response_{};
  base::TimePoint reconnected_at_{};
  bool was_disconnected_ = false;
  // Incremented with each call, so that responses to earlier calls are ignored.
  std::uint64_t generation_ = 0;
  base::BootClock boot_clock_;
  // When the present call was made, a time of `boot_clock_`.
  base::TimePoint called_at_{};
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_TABLE_WATCHER_H_
