#ifndef VANILLALEVER_FORWARDING_CRASH_MONITOR_H_
#define VANILLALEVER_FORWARDING_CRASH_MONITOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/counters.h"
#include "vanillalever/forwarding/server_registry.h"
#include "vanillalever/forwarding/strike_peers.h"
#include "vanillalever/forwarding/strike_store.h"
#include "vanillalever/guard/crash_attribution.h"
#include "vanillalever/guard/crash_order.h"
#include "vanillalever/guard/recent_completions.h"
#include "vanillalever/guard/strike_table.h"
#include "vanillalever/guard/suspect_policy.h"

namespace vanillalever::forwarding {

// Why a send ended without a whole response.
enum class Interruption {
  kConnectionLost,  // the server's end of the connection was closed or reset
  kAbandoned,       // the time limit passed, or the caller left
};

// Finds requests that crash servers, together with the other gateways, and
// tells how they may be sent on. A server that interrupts a request is checked
// by a connection attempt: one that refuses it has ended. Event loop's thread
// only.
class CrashMonitor final : public StrikeHandler {
 public:
  // Time without a crash after which a request is forgotten.
  static constexpr base::seconds kExpiry{900};

  CrashMonitor(boost::asio::io_context& context,
               SharedTable& table,
               StrikePeers& peers,
               base::Counter& crashes);

  // Whether any request is suspect; else Admit() and Clear() need not be
  // called.
  bool watching() const;
  guard::Admission Admit(const std::string& fingerprint) const;

  // A copy of the request is sent as a trial, or that send has ended.
  void BeginTrial(const std::string& fingerprint);
  void EndTrial(const std::string& fingerprint);

  // A server has sent a whole response to the request; `request` is the hash of
  // its content.
  void OnCompleted(std::uint64_t request);
  bool CompletedLately(std::uint64_t request) const;
  // The request does not crash servers.
  void Clear(const std::string& fingerprint);

  void OnInterrupted(const ServerSlot& slot,
                     const guard::InterruptedRequest& request,
                     Interruption kind);
  // The server responded to a request that was sent at `sent_at`.
  void OnAlive(const ServerSlot& slot, base::TimePoint sent_at);
  // The server's run has ended: it refuses connections, another server has its
  // address, or its registration was replaced or has lapsed.
  void OnServerEnded(const ServerSlot& slot);

  void OnPeerStrike(const StrikeReport& report) override;

  // Call several times a second.
  void Tick();

 private:
  struct Probe;

  // Names one run of the server among all gateways.
  static std::string RunName(const BackendServer& server);
  // Checks whether the server still accepts connections.
  void StartProbe(const std::string& run,
                  const std::string& server,
                  const std::string& address);
  void Connect(const std::string& run, const std::shared_ptr<Probe>& probe);
  void OnProbed(const std::string& run, boost::system::error_code error);
  void OnRunEnded(const std::string& run, const std::string& server);
  void RecordStrike(const std::string& run,
                    const std::string& server,
                    const guard::InterruptedRequest& request);
  // Sends the reports to the other gateways, now and repeatedly.
  void Report(StrikeReport report);
  void RepeatReports(base::TimePoint now);
  // Tells the other gateways which trials have not ended, and forgets theirs.
  void UpdateTrials(base::TimePoint now);

  struct OwnReport {
    StrikeReport report;
    base::TimePoint reported_at{};
  };

  boost::asio::io_context& context_;
  StrikePeers& peers_;
  base::Counter& crashes_;
  guard::CrashAttribution attribution_;
  guard::CrashOrder order_;
  guard::RecentCompletions completions_;
  guard::SuspectPolicy policy_;
  // Requests that this gateway has sent as trials.
  std::set<std::string> trials_;
  // When other gateways last told of theirs.
  std::map<std::string, base::TimePoint> peer_trials_;
  guard::StrikeTable strikes_;
  StrikeStore store_;
  // Servers that are being checked, by run.
  std::map<std::string, std::shared_ptr<Probe>> probes_;
  std::vector<OwnReport> reports_;
  // Next of `reports_` to be repeated.
  std::size_t next_report_ = 0;
  base::TimePoint next_repeat_{};
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_CRASH_MONITOR_H_
