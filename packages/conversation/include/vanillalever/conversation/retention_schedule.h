#ifndef VANILLALEVER_CONVERSATION_RETENTION_SCHEDULE_H_
#define VANILLALEVER_CONVERSATION_RETENTION_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/conversation/turn.h"

namespace vanillalever::conversation {

// Decides when the records of turns are deleted. The gateway that last wrote a
// record deletes it. A gateway that continues a conversation read from the
// store writes its records again, so that their earlier owner's deletion, which
// is conditional on the version, fails. Does no I/O. Not thread-safe.
class RetentionSchedule {
 public:
  // A record and the version at which it was written.
  struct OwnedRecord {
    std::string id;
    std::uint64_t version = 0;
    std::size_t rows = 1;
  };

  // The turn was recorded as `rows` rows. It and the turns before it must be
  // kept for `retention` from now on.
  void OnRecorded(const TurnPtr& turn,
                  const OwnedRecord& record,
                  base::Duration retention,
                  base::TimePoint now);

  // Removes and returns the records to be deleted now.
  std::vector<OwnedRecord> TakeExpired(base::TimePoint now);
  // Removes and returns the turns whose records are to be written again now.
  std::vector<TurnPtr> TakeTakeovers(base::TimePoint now);
  // The record of a turn from TakeTakeovers() was written again.
  void OnTakenOver(const OwnedRecord& record, base::TimePoint now);
  // The record of a turn from TakeTakeovers() could not be written: it is
  // attempted again, unless another gateway took it over.
  void OnTakeoverFailed(const TurnPtr& turn,
                        bool taken_by_other,
                        base::TimePoint now);

  // Number of records that this gateway will delete.
  std::size_t owned() const { return owned_.size(); }

 private:
  struct Owned {
    OwnedRecord record;
    base::Duration retention{};
    base::TimePoint expires{};
  };
  struct Takeover {
    TurnPtr turn;
    base::Duration retention{};
  };

  std::unordered_map<std::string, Owned> owned_;
  // Ids by the time at which they may have expired.
  std::multimap<base::TimePoint, std::string> checks_;
  // Turns of other gateways that this gateway continued, by id.
  std::unordered_map<std::string, Takeover> takeovers_;
  std::multimap<base::TimePoint, std::string> takeover_times_;
  // Retention times of turns that are being taken over.
  std::unordered_map<std::string, base::Duration> taking_over_;
};

}  // namespace vanillalever::conversation

#endif  // VANILLALEVER_CONVERSATION_RETENTION_SCHEDULE_H_
