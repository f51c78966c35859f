#ifndef VANILLALEVER_FORWARDING_RELAYED_TABLE_H_
#define VANILLALEVER_FORWARDING_RELAYED_TABLE_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "vanillalever/base/counters.h"
#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/shared_table.h"
#include "vanillalever/forwarding/store_path.h"
#include "vanillalever/forwarding/table_codec.h"
#include "vanillalever/http/client.h"
#include "vanillalever/http/exchange.h"

namespace vanillalever::forwarding {

// Gateways through which the store can be called.
class StorePeers {
 public:
  virtual ~StorePeers() = default;
  // Number of other live gateways.
  virtual std::size_t live() const = 0;
  // Addresses "ip:port" of the other gateways that reach the store, as last
  // announced by them.
  virtual std::vector<std::string> StoreAddresses() const = 0;
  // Announces whether this gateway reaches the store.
  virtual void SetStoreReachable(bool reachable) = 0;
};

// SharedTable that calls the store directly, and through another gateway while
// the store does not serve this one. A call may be made on both ways: writes
// are conditional, so that at most one takes effect, and the conflict of the
// other shows the row as written. Changes are awaited directly only. Event
// loop's thread only.
class RelayedTable final : public SharedTable {
 public:
  // Path at which gateways make each other's calls.
  static constexpr const char* kPath = "/v1/table";

  // `max_reply_bytes`: largest size of all replies of other gateways that are
  // being read.
  RelayedTable(http::IoThreads& threads,
               SharedTable& direct,
               std::uint64_t seed,
               base::Counter& relayed_calls,
               std::size_t max_reply_bytes);

  // Call before Start().
  void SetPeers(StorePeers& peers) { peers_ = &peers; }
  // Calls `observer` whenever the store serves this gateway again.
  void SetReturnObserver(std::function<void()> observer) {
    on_return_ = std::move(observer);
  }
  // Starts the calls that find out whether the store responds again.
  void Start();

  void Transact(std::vector<TableWrite> writes,
                std::function<void(TransactionResult)> done) override;
  void ReadRange(TableRange range,
                 std::function<void(ReadResult)> done) override;
  void AwaitChanges(std::string table,
                    std::uint64_t version,
                    base::milliseconds wait,
                    std::function<void(ChangesResult)> done) override;

  base::TimePoint last_large_response() const override {
    return std::max(direct_.last_large_response(),
                    client_.last_large_response());
  }
  base::TimePoint last_slow_response() const override {
    return std::max(direct_.last_slow_response(), client_.last_slow_response());
  }

  // Makes the call of another gateway.
  void Serve(const std::shared_ptr<http::Exchange>& exchange);

 private:
  template <typename Result>
  struct Pending;
  template <typename Result>
  using PendingPtr = std::shared_ptr<Pending<Result>>;

  template <typename Result>
  void Start(const PendingPtr<Result>& call);
  template <typename Result>
  void CallDirectly(const PendingPtr<Result>& call);
  // Returns false if no other gateway reaches the store.
  template <typename Result>
  bool CallThroughPeer(const PendingPtr<Result>& call);
  template <typename Result>
  void RelayWhenOverdue(const PendingPtr<Result>& call);
  template <typename Result>
  void OnResult(const PendingPtr<Result>& call, Result result);
  void AnnounceReachable(std::string_view reason);
  // Records the outcome of a direct call.
  template <typename Result>
  void RecordDirect(const Result& result);
  void Tick();

  http::Client client_;
  boost::asio::io_context& context_;
  SharedTable& direct_;
  StorePeers* peers_ = nullptr;
  std::function<void()> on_return_;
  StorePath path_;
  base::Random random_;
  base::Counter& relayed_calls_;
  boost::asio::steady_timer probe_timer_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_RELAYED_TABLE_H_
