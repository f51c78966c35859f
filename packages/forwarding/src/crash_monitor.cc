#include "vanillalever/forwarding/crash_monitor.h"

#include <algorithm>
#include <utility>

#include <boost/asio/error.hpp>

#include "vanillalever/base/hash.h"
#include "vanillalever/base/logging.h"
#include "vanillalever/forwarding/duration_text.h"
#include "vanillalever/guard/fingerprint.h"
#include "vanillalever/http/address.h"

namespace vanillalever::forwarding {
namespace {

// A process that ends may still accept connections just after it has closed the
// first of its own.
constexpr base::milliseconds kProbeDelay{30};
constexpr base::milliseconds kProbeTimeout{1000};
// Reports are repeated, as datagrams may be lost.
constexpr base::milliseconds kRepeatInterval{300};
constexpr std::size_t kReportsPerMessage = 10;
// The first repetition comes with the next tick.
constexpr base::milliseconds kNewReport{250};
constexpr base::seconds kCompletionRepeats{3};
// Suspect requests in memory at most.
constexpr std::size_t kMaxRecords = 4096;
constexpr std::size_t kMaxRunNameBytes = 64;

guard::StrikeSettings MakeStrikeSettings() {
  guard::StrikeSettings settings;
  settings.quarantine_strikes = guard::SuspectPolicy::kMaxTrialCrashes;
  settings.expiry = CrashMonitor::kExpiry;
  return settings;
}

}  // namespace

struct CrashMonitor::Probe {
  explicit Probe(boost::asio::io_context& context)
      : timer(context), socket(context) {}

  boost::asio::steady_timer timer;
  boost::asio::ip::tcp::socket socket;
  std::string server;
  std::string address;
  base::TimePoint started_at{};
  // The server interrupted another request after the connection attempt began.
  bool again = false;
};

CrashMonitor::CrashMonitor(boost::asio::io_context& context,
                           SharedTable& table,
                           StrikePeers& peers,
                           base::Counter& crashes)
    : context_(context),
      peers_(peers),
      crashes_(crashes),
      strikes_(MakeStrikeSettings()),
      store_(table, strikes_) {}

std::string CrashMonitor::RunName(const BackendServer& server) {
  return base::HexString(
      base::Hash64(server.id + "/" + std::to_string(server.started_at_ms)));
}

bool CrashMonitor::watching() const {
  return !probes_.empty() || strikes_.size() > 0;
}

guard::Admission CrashMonitor::Admit(const std::string& fingerprint) const {
  auto now = base::TimePoint::clock::now();
  guard::StrikeSummary known = strikes_.Summarize(fingerprint);
  guard::SuspectState state;
  state.crashes = known.crashes.size();
  state.doubtful = order_.CountSentLater(known.crashes, fingerprint);
  state.quarantined = known.quarantined;
  state.settled = now - known.changed_at >= guard::SuspectPolicy::kSettleTime;
  auto peer_trial = peer_trials_.find(fingerprint);
  state.on_trial =
      trials_.contains(fingerprint) ||
      (peer_trial != peer_trials_.end() &&
       now - peer_trial->second < guard::SuspectPolicy::kTrialLifetime);
  state.unresolved = static_cast<std::size_t>(std::count_if(
      probes_.begin(), probes_.end(), [this, &fingerprint](const auto& item) {
        return attribution_.Interrupted(item.first, fingerprint);
      }));
  return policy_.Decide(state);
}

void CrashMonitor::BeginTrial(const std::string& fingerprint) {
  trials_.insert(fingerprint);
  base::LogEvent(base::LogLevel::kInfo, "request_on_trial",
                 {{"fingerprint", fingerprint}});
  peers_.SendStrikes({{fingerprint, "", {}, /*trial=*/true}});
}

void CrashMonitor::EndTrial(const std::string& fingerprint) {
  trials_.erase(fingerprint);
}

void CrashMonitor::OnCompleted(std::uint64_t request) {
  completions_.Add(request, base::TimePoint::clock::now());
}

bool CrashMonitor::CompletedLately(std::uint64_t request) const {
  return completions_.Contains(request, base::TimePoint::clock::now());
}

void CrashMonitor::OnInterrupted(const ServerSlot& slot,
                                 const guard::InterruptedRequest& request,
                                 Interruption kind) {
  // A server that announced its end does not crash.
  if (slot.announced_end())
    return;
  std::string run = RunName(slot.server);
  if (attribution_.OnInterrupted(run, request, base::TimePoint::clock::now()))
    return RecordStrike(run, slot.server.id, request);
  if (kind == Interruption::kConnectionLost)
    StartProbe(run, slot.server.id, slot.server.address);
}

void CrashMonitor::StartProbe(const std::string& run,
                              const std::string& server,
                              const std::string& address) {
  auto [found, added] = probes_.try_emplace(run);
  if (!added) {
    found->second->again = found->second->socket.is_open();
    return;
  }
  found->second = std::make_shared<Probe>(context_);
  Probe& probe = *found->second;
  probe.server = server;
  probe.address = address;
  probe.timer.expires_after(kProbeDelay);
  probe.timer.async_wait([this, run, weak = std::weak_ptr(found->second)](
                             boost::system::error_code error) {
    if (auto started = weak.lock(); !error && started)
      Connect(run, started);
  });
}

void CrashMonitor::Connect(const std::string& run,
                           const std::shared_ptr<Probe>& probe) {
  probe->started_at = base::TimePoint::clock::now();
  auto endpoint = http::ParseAddress(probe->address);
  if (!endpoint) {
    probes_.erase(run);
    return;
  }
  auto on_done = [this, run, weak = std::weak_ptr(probe)](
                     boost::system::error_code error) {
    if (error != boost::asio::error::operation_aborted && !weak.expired())
      OnProbed(run, error);
  };
  probe->timer.expires_after(kProbeTimeout);
  probe->timer.async_wait([on_done](boost::system::error_code error) {
    if (!error)
      on_done(boost::asio::error::timed_out);
  });
  probe->socket.async_connect(*endpoint, on_done);
}

void CrashMonitor::OnProbed(const std::string& run,
                            boost::system::error_code error) {
  auto found = probes_.find(run);
  if (found == probes_.end())
    return;
  std::shared_ptr<Probe> probe = std::move(found->second);
  probes_.erase(found);
  if (error == boost::asio::error::connection_refused)
    return OnRunEnded(run, probe->server);
  if (!error)
    attribution_.OnAlive(run, probe->started_at);
  if (probe->again)
    StartProbe(run, probe->server, probe->address);
}

void CrashMonitor::OnAlive(const ServerSlot& slot, base::TimePoint sent_at) {
  if (!attribution_.empty())
    attribution_.OnAlive(RunName(slot.server), sent_at);
}

void CrashMonitor::OnServerEnded(const ServerSlot& slot) {
  if (!slot.announced_end())
    OnRunEnded(RunName(slot.server), slot.server.id);
}

void CrashMonitor::OnRunEnded(const std::string& run,
                              const std::string& server) {
  auto now = base::TimePoint::clock::now();
  for (const auto& request : attribution_.OnRunEnded(run, now))
    RecordStrike(run, server, request);
}

void CrashMonitor::RecordStrike(const std::string& run,
                                const std::string& server,
                                const guard::InterruptedRequest& request) {
  auto now = base::TimePoint::clock::now();
  const std::string& fingerprint = request.fingerprint;
  order_.Add(run, fingerprint, request.at_work, now);
  std::size_t before = strikes_.Summarize(fingerprint).crashes.size();
  if (before == 0 && strikes_.size() >= kMaxRecords) {
    base::LogEvent(base::LogLevel::kWarning, "crash_not_recorded",
                   {{"fingerprint", fingerprint},
                    {"server", server},
                    {"reason", "too many suspect requests"}});
    return;
  }
  strikes_.RecordStrike(run, fingerprint, /*alone=*/false, now);
  std::size_t crashes = strikes_.Summarize(fingerprint).crashes.size();
  if (crashes == before)
    return;
  crashes_.Add();
  bool many = crashes >= guard::SuspectPolicy::kMaxCrashes;
  base::LogEvent(many ? base::LogLevel::kWarning : base::LogLevel::kInfo,
                 "request_in_crash",
                 {{"fingerprint", fingerprint},
                  {"server", server},
                  {"run", run},
                  {"at_work_ms", Ms(request.at_work)},
                  {"crashes", std::to_string(crashes)}});
  Report({fingerprint, run, request.at_work});
  store_.Flush();
}

void CrashMonitor::Clear(const std::string& fingerprint) {
  if (strikes_.Summarize(fingerprint).crashes.empty())
    return;
  auto now = base::TimePoint::clock::now();
  strikes_.RecordCompletion(fingerprint, now);
  if (!strikes_.Summarize(fingerprint).crashes.empty())
    return;
  base::LogEvent(base::LogLevel::kInfo, "request_cleared",
                 {{"fingerprint", fingerprint}});
  Report({fingerprint, "", {}});
  store_.Flush();
}

void CrashMonitor::OnPeerStrike(const StrikeReport& report) {
  if (!guard::IsFingerprint(report.fingerprint) ||
      report.crash.size() > kMaxRunNameBytes)
    return;
  auto now = base::TimePoint::clock::now();
  if (report.trial) {
    peer_trials_[report.fingerprint] = now;
    return;
  }
  if (report.crash.empty())
    return strikes_.RecordCompletion(report.fingerprint, now);
  if (strikes_.size() >= kMaxRecords)
    return;
  strikes_.RecordReported(report.crash, report.fingerprint, now);
  order_.Add(report.crash, report.fingerprint, report.at_work, now);
}

void CrashMonitor::Report(StrikeReport report) {
  peers_.SendStrikes({report});
  reports_.push_back({std::move(report), base::TimePoint::clock::now()});
}

void CrashMonitor::RepeatReports(base::TimePoint now) {
  std::erase_if(reports_, [this, now](const OwnReport& own) {
    if (own.report.crash.empty())
      return now - own.reported_at > kCompletionRepeats;
    return strikes_.Summarize(own.report.fingerprint).crashes.empty();
  });
  std::vector<StrikeReport> batch;
  std::size_t count = std::min(reports_.size(), kReportsPerMessage);
  // The latest ones first, then the others in turn.
  for (std::size_t i = 0; i < count / 2; ++i)
    batch.push_back(reports_[reports_.size() - 1 - i].report);
  for (std::size_t i = count / 2; i < count; ++i)
    batch.push_back(reports_[next_report_++ % reports_.size()].report);
  if (!batch.empty())
    peers_.SendStrikes(batch);
}

void CrashMonitor::UpdateTrials(base::TimePoint now) {
  std::erase_if(peer_trials_, [now](const auto& item) {
    return now - item.second >= guard::SuspectPolicy::kTrialLifetime;
  });
  for (const std::string& fingerprint : trials_)
    peers_.SendStrikes({{fingerprint, "", {}, /*trial=*/true}});
}

void CrashMonitor::Tick() {
  auto now = base::TimePoint::clock::now();
  attribution_.Expire(now);
  strikes_.Expire(now);
  order_.Expire(now - kExpiry);
  UpdateTrials(now);
  store_.Tick();
  bool recent =
      !reports_.empty() && now - reports_.back().reported_at < kNewReport;
  if (now < next_repeat_ && !recent)
    return;
  next_repeat_ = now + kRepeatInterval;
  RepeatReports(now);
}

}  // namespace vanillalever::forwarding
