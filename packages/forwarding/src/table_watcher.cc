#include "vanillalever/forwarding/table_watcher.h"

#include <algorithm>
#include <utility>

#include "vanillalever/base/logging.h"

namespace vanillalever::forwarding {
namespace {

// Rows deleted within this time after an outage of the store may have expired
// during it.
constexpr base::milliseconds kOutageWindow{1000};

}  // namespace

TableWatcher::TableWatcher(boost::asio::io_context& context,
                           SharedTable& table,
                           std::string name,
                           Observer& observer,
                           std::uint64_t seed,
                           TableWatcherSettings settings)
    : timer_(context),
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

void TableWatcher::List() {
  std::uint64_t generation = ++generation_;
  called_at_ = boot_clock_.now();
  table_.List(name_, "", [this, generation](const ReadResult& result) {
    OnListed(result, generation);
  });
}

void TableWatcher::OnListed(const ReadResult& result,
                            std::uint64_t generation) {
  if (generation != generation_)
    return;
  if (result.outcome != StoreOutcome::kDone)
    return OnFailure("list", result.reason);
  OnResponse();
  version_ = result.version;
  listed_ = true;
  observer_.OnRows(result.rows);
  observer_.OnConfirmed(called_at_);
  Await();
}

void TableWatcher::Await() {
  std::uint64_t generation = ++generation_;
  called_at_ = boot_clock_.now();
  table_.AwaitChanges(name_, version_, settings_.max_wait,
                      [this, generation](const ChangesResult& result) {
                        OnChanges(result, generation);
                      });
}

void TableWatcher::OnChanges(const ChangesResult& result,
                             std::uint64_t generation) {
  if (generation != generation_)
    return;
  if (result.history_lost) {
    base::LogEvent(base::LogLevel::kInfo, "store_history_lost",
                   {{"table", name_}, {"version", std::to_string(version_)}});
    OnResponse();
    return List();
  }
  if (result.outcome != StoreOutcome::kDone)
    return OnFailure("changes", result.reason);
  OnResponse();
  version_ = std::max(version_, result.version);
  bool after_outage =
      was_disconnected_ && last_response_ - reconnected_at_ < kOutageWindow;
  for (const TableRow& row : result.rows)
    observer_.OnChange(row, after_outage);
  observer_.OnConfirmed(called_at_);
  Await();
}

void TableWatcher::OnResponse() {
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
  }
  auto delay =
      std::min(settings_.max_retry_delay,
               settings_.first_retry_delay * (1 << std::min(failures_, 8)));
  ++failures_;
  timer_.expires_after(delay / 2 +
                       base::milliseconds(random_.Below(
                           static_cast<std::uint64_t>(delay.count() / 2 + 1))));
  timer_.async_wait(
      [this, generation = ++generation_](boost::system::error_code error) {
        if (error || generation != generation_)
          return;
        if (listed_)
          Await();
        else
          List();
      });
}

}  // namespace vanillalever::forwarding
