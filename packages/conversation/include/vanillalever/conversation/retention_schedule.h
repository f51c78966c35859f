#ifndef VANILLALEVER_CONVERSATION_RETENTION_SCHEDULE_H_
#define VANILLALEVER_CONVERSATION_RETENTION_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/conversation/turn.h"

namespace vanillalever::conversation {

// Decides when the records of turns are deleted and when they are renewed.
//
// The gateway that last wrote a record deletes it, on condition that nobody has
// written it since, and not before three of the record's retention times have
// passed since that write. A gateway that continues a conversation relies on
// all of its records, also on those that it wrote itself: another gateway may
// have taken them over. So while the conversation goes on, each gateway renews
// the records within two retention times of the last moment at which it knew of
// no other writer: it reads the version, and writes the record again if that is
// not its own. Whoever took a record over therefore finds another version when
// it is to delete the record. Does no I/O. Not thread-safe.
class RetentionSchedule {
 public:
  // A record as this gateway last wrote it.
  struct OwnedRecord {
    std::string id;
    std::uint64_t version = 0;
    std::size_t rows = 1;
  };

  // A record to be renewed.
  struct Renewal {
    std::string id;
    // Version at which this gateway last wrote it; zero if another one did.
    std::uint64_t version = 0;
    // Retention time that the record has to state at least. One that states
    // less is written again.
    base::Duration retention{};
  };

  // The turn was recorded as `rows` rows, which state its retention time. The
  // turns before it must be kept for as long from now on.
  void OnRecorded(const TurnPtr& turn,
                  const OwnedRecord& record,
                  base::TimePoint now);

  // Removes and returns the records to be deleted now.
  std::vector<OwnedRecord> TakeExpired(base::TimePoint now);
  // Returns the records to be renewed now. Each is to be followed by one of the
  // four calls below.
  std::vector<Renewal> TakeRenewals(base::TimePoint now);
  // The record still has the version of the renewal.
  void OnUnchanged(const std::string& id);
  // The record was written again and states `retention`.
  void OnRewritten(const OwnedRecord& record,
                   base::Duration retention,
                   base::TimePoint now);
  // The record could not be renewed: the renewal is attempted again. With
  // `taken_by_other`, another gateway has written it since it was read, which
  // renews it as well.
  void OnRenewalFailed(const std::string& id,
                       bool taken_by_other,
                       base::TimePoint now);
  // The record does not exist any more.
  void OnLost(const std::string& id) { kept_.erase(id); }

  // Number of records that this gateway will delete.
  std::size_t owned() const;

 private:
  // A record that this gateway relies on.
  struct Kept {
    // See OwnedRecord; version zero if another gateway last wrote it.
    std::uint64_t version = 0;
    std::size_t rows = 1;
    // Retention time that the record states.
    base::Duration stated{};
    // Longest retention time of the turns that rely on it.
    base::Duration needed{};
    base::TimePoint last_used{};
    // Latest moment from which the record is kept for three retention times.
    base::TimePoint renewed{};
    base::TimePoint expires{};
    // When the record is to be renewed; absent while that is in progress, and
    // if the conversation has not gone on since it was renewed.
    std::optional<base::TimePoint> due;
    // Start of the renewal in progress.
    std::optional<base::TimePoint> renewing;
  };

  // The record is needed for a turn that was recorded now.
  void Use(const std::string& id,
           Kept& kept,
           base::Duration retention,
           base::TimePoint now);
  // Sets when the record is to be renewed, if it is to be.
  void Schedule(const std::string& id, Kept& kept);
  void SetDue(const std::string& id, Kept& kept, base::TimePoint due);
  // The record if it is being renewed, else null: it may have expired
  // meanwhile.
  Kept* FindRenewing(const std::string& id);

  std::unordered_map<std::string, Kept> kept_;
  // Ids by the time at which they may have expired; one entry for each record.
  std::multimap<base::TimePoint, std::string> checks_;
  // Ids by the time of their renewal; those whose time has changed stay behind.
  std::multimap<base::TimePoint, std::string> renewals_;
};

}  // namespace vanillalever::conversation

#endif  // VANILLALEVER_CONVERSATION_RETENTION_SCHEDULE_H_
