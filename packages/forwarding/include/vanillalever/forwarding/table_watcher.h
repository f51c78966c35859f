#ifndef VANILLALEVER_FORWARDING_TABLE_WATCHER_H_
#define VANILLALEVER_FORWARDING_TABLE_WATCHER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/shared_table.h"

namespace vanillalever::forwarding {

// Settings of TableWatcher.
struct TableWatcherSettings {
  // Longest time that one call waits for changes. A silent connection is
  // noticed soon after it, well within the time in which a change must apply.
  base::milliseconds max_wait{700};
  // Pause after the first failed call; doubles with each further one.
  base::milliseconds first_pause{40};
  base::milliseconds longest_pause{400};
};

// Follows one partition-less table of the store: lists it, then takes its
// changes, and lists it again when changes were missed. Event loop's thread
// only.
class TableWatcher {
 public:
  // Receives what the watcher sees.
  class Observer {
   public:
    virtual ~Observer() = default;
    // All rows of the table.
    virtual void OnRows(const std::vector<TableRow>& rows) = 0;
    // One changed row. `after_gap`: the store was away before, so that a
    // deleted row may come back.
    virtual void OnChange(const TableRow& row, bool after_gap) = 0;
  };

  TableWatcher(boost::asio::io_context& context,
               SharedTable& table,
               std::string name,
               Observer& observer,
               std::uint64_t seed,
               TableWatcherSettings settings = {});

  void Start();
  // Ends the present wait and lists the table again.
  void Resync();

  // Whether the last call succeeded.
  bool connected() const { return connected_; }
  // When the store last answered.
  base::TimePoint last_answer() const { return last_answer_; }

 private:
  void List();
  void Await();
  void OnListed(const ReadResult& result, std::uint64_t turn);
  void OnChanges(const ChangesResult& result, std::uint64_t turn);
  void OnAnswer();
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
  base::TimePoint last_answer_{};
  base::TimePoint regained_{};
  bool lost_before_ = false;
  // Counts restarts, so that answers to calls before one are ignored.
  std::uint64_t turn_ = 0;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_TABLE_WATCHER_H_
