#ifndef VANILLALEVER_FORWARDING_TURN_COLLECTOR_H_
#define VANILLALEVER_FORWARDING_TURN_COLLECTOR_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/conversation/turn_index.h"
#include "vanillalever/forwarding/loop_timer.h"
#include "vanillalever/forwarding/route_config.h"
#include "vanillalever/forwarding/shared_table.h"

namespace vanillalever::forwarding {

// Deletes the records of turns that no conversation needs any more. Each part
// of the index has one gateway that watches it and deletes; any other may take
// over at any time, and two at once do no harm: what is deleted follows from
// the index alone. Event loop's thread only.
class TurnCollector {
 public:
  // Whether this gateway is the one to do a task, among those that are live and
  // reach the store; nothing while none reaches it, so that all stays as it is.
  using Responsible =
      std::function<std::optional<bool>(const std::string& task)>;

  TurnCollector(const LoopTimer& timer,
                SharedTable& table,
                Responsible responsible);

  // Takes over how long turns are kept and may last. Without stateful routes
  // nothing is watched.
  void ApplyConfig(const RouteConfig& config);
  // Call periodically.
  void Tick();

  // Number of records in the parts that this gateway watches.
  std::size_t records() const;

 private:
  struct Part {
    std::size_t number = 0;
    bool watched = false;
    // Since when this gateway has been responsible.
    std::optional<base::TimePoint> responsible_since;
    // Incremented when the part is listed anew or given up, so that responses
    // to earlier calls are ignored.
    std::uint64_t generation = 0;
    // Partitions that are still to be listed.
    std::size_t unlisted = 0;
    // Version from which changes are read.
    std::uint64_t version = 0;
    bool call_open = false;
    base::TimePoint next_call{};
    // Entries written before this moment are in the index.
    std::optional<base::TimePoint> known_until;
    conversation::TurnIndex index;
  };

  // Begins or ends to watch parts as their responsible gateways change.
  void AssignParts();
  void Watch(Part& part);
  void Unwatch(Part& part);
  void StartListing(Part& part);
  void ListPartition(Part& part);
  void ReadChanges(Part& part);
  void OnChanges(Part& part, const ChangesResult& result, base::TimePoint sent);
  void ApplyRow(Part& part, const TableRow& row);
  void DeleteExpired(Part& part);
  using Records = std::vector<conversation::TurnIndex::Expired>;
  // Deletes records of one partition with their entries.
  void Delete(Part& part, Records records);
  void OnDeleted(Part& part,
                 const Records& records,
                 const TransactionResult& result);
  // Deletes what is left of a record, where `present` are its rows and its
  // entry.
  void DeletePresent(Part& part,
                     const std::string& id,
                     const std::vector<TableRow>& present);
  void OnDeleteFailed(Part& part,
                      const std::string& id,
                      const std::string& reason);

  const LoopTimer& timer_;
  SharedTable& table_;
  Responsible responsible_;
  // Interval of reading changes; absent without stateful routes.
  std::optional<base::Duration> interval_;
  // See conversation::TurnIndex.
  base::Duration longest_turn_{};
  base::TimePoint next_assignment_{};
  std::vector<Part> parts_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_TURN_COLLECTOR_H_
