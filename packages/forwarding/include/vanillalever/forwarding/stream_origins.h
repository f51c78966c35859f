#ifndef VANILLALEVER_FORWARDING_STREAM_ORIGINS_H_
#define VANILLALEVER_FORWARDING_STREAM_ORIGINS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "vanillalever/base/name_table.h"
#include "vanillalever/forwarding/server_registry.h"
#include "vanillalever/forwarding/shared_table.h"
#include "vanillalever/forwarding/store_view.h"
#include "vanillalever/forwarding/stream_record.h"
#include "vanillalever/forwarding/version_history.h"

namespace vanillalever::forwarding {

// Result of looking up where a stream began.
enum class OriginLookup {
  kKnown,
  kUnknown,  // several versions serve, and no gateway has recorded it
  // The store did not respond in time, or this gateway is cut off.
  kUnavailable,
};

inline constexpr base::NameTable<OriginLookup, 3> kOriginLookupNames({
    "known",
    "unknown",
    "unavailable",
});

// Software versions that began the streams which callers may take up again at
// any gateway. While one version serves, that is the answer for all streams,
// and nothing is stored but which versions served recently. While several
// serve, the origin of each stream is written to the shared table at its first
// event. Streams begin at a new version only after it is stored, so that the
// stored versions are complete. Event loop's thread only.
class StreamOrigins {
 public:
  // `version` is set on kKnown.
  using FindCallback =
      std::function<void(OriginLookup, const std::string& version)>;

  // `store`: whether any gateway reaches it.
  StreamOrigins(boost::asio::io_context& context,
                SharedTable& table,
                ServerRegistry& registry,
                const StoreView& store);

  // Number of live gateways, this one included: together they leave most of the
  // store's rate to other calls.
  void SetLiveGateways(std::size_t count) { live_gateways_ = count; }

  // The registered servers have changed, or were listed for the first time.
  void OnServersChanged();
  // The first event of a stream has arrived. Its record is not written after
  // `give_up`.
  void Record(const std::string& request_id,
              StreamOrigin origin,
              base::TimePoint give_up);
  // Looks up the version that began the stream of a caller's earlier attempt at
  // the service. The callback may run inside the call.
  void Find(const std::string& service,
            const std::string& request_id,
            base::TimePoint give_up,
            FindCallback done);
  // Repeats failed calls and forgets old streams. Call several times a second.
  void Tick();
  // Deletes records of old streams. Call about once a second.
  void DeleteExpired();

 private:
  // Versions that serve one service, and their row in the shared table.
  struct ServiceState {
    VersionHistory history;
    // Value of the row, as last read or written.
    ServedVersions stored;
    std::uint64_t row_version = 0;
    // The row has been read.
    bool known = false;
    bool busy = false;
    // The history differs from the row.
    bool changed = false;
  };
  struct RecentStream {
    StreamOrigin origin;
    base::TimePoint began_at{};
    base::TimePoint give_up{};
    bool recorded = false;
  };
  struct OwnRecord {
    std::string request_id;
    std::uint64_t version = 0;
    base::TimePoint expires_at{};
  };
  struct Lookup {
    std::string service;
    std::string request_id;
    base::TimePoint give_up{};
    FindCallback done;
    int reads = 0;
    // It is decided whether one version is the answer.
    bool confirmed = false;
  };

  void ReadVersions(const std::string& service);
  void OnVersionsRead(const std::string& service, const ReadResult& result);
  // Takes over what a read of the service's row has found.
  void ApplyRead(const std::string& service, const ReadResult& result);
  // Takes over the stored versions from the value of the service's row.
  void ApplyStored(const std::string& service, const TableRow& row);
  void WriteVersions(const std::string& service);
  void OnVersionsWritten(const std::string& service,
                         const ServedVersions& written,
                         const WriteResult& result);
  // Compares the stored versions with those of the registered servers.
  void ApplyRegistered(const std::string& service);
  std::optional<std::string> SoleVersion(const std::string& service) const;
  void WriteOrigin(const std::string& request_id, RecentStream& stream);
  void ScheduleWrite();
  // Writes the origins that have gathered in one transaction.
  void WriteOrigins();
  void OnOriginsWritten(const std::vector<std::string>& request_ids,
                        const TransactionResult& result);
  // Records the streams that began while one version served.
  void RecordRecent(const std::string& service);
  // Reads which versions serve, as another gateway may have seen a new one
  // first.
  void ConfirmSole(const std::shared_ptr<Lookup>& lookup);
  // Ends that step as soon as the versions known here are judged. `row_read`:
  // the stored versions have just been read.
  void JudgeSole(const std::shared_ptr<Lookup>& lookup, bool row_read);
  void After(base::Duration delay, std::function<void()> action);
  void ReadOrigin(const std::shared_ptr<Lookup>& lookup);
  void OnOriginRead(const std::shared_ptr<Lookup>& lookup,
                    const ReadResult& result);

  boost::asio::io_context& context_;
  SharedTable& table_;
  ServerRegistry& registry_;
  const StoreView& store_;
  boost::asio::steady_timer write_timer_;
  std::size_t live_gateways_ = 1;
  // Attempts whose origins the next transaction writes.
  std::vector<std::string> unwritten_;
  bool write_scheduled_ = false;
  // The store refused the last transaction, or did not respond.
  bool store_overloaded_ = false;
  std::map<std::string, ServiceState> services_;
  // Streams that began at this gateway, by the caller's attempt.
  std::unordered_map<std::string, RecentStream> recent_;
  // Attempts in the order of their first events.
  std::deque<std::string> recent_order_;
  std::deque<OwnRecord> own_records_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_STREAM_ORIGINS_H_
