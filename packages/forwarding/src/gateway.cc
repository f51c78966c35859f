#include "vanillalever/forwarding/gateway.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "vanillalever/base/error.h"
#include "vanillalever/base/logging.h"
#include "vanillalever/forwarding/forwarded_request.h"
#include "vanillalever/http/address.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;
using boost::asio::ip::tcp;

constexpr milliseconds kTickInterval{100};
// Interval between removals of idle connections and inactive programs.
constexpr milliseconds kCleanupInterval{1000};
// Time that callers beyond the limit of connections have to send their requests
// once others wait, and that those have who come later.
constexpr milliseconds kUnusedTime{250};
constexpr milliseconds kMinUnusedTime{20};
// Delay after a failed accept, for example for lack of file descriptors.
constexpr milliseconds kAcceptRetryDelay{50};
// Far longer than the gap between a program's turns, so that a row is not
// deleted while another gateway still uses it.
constexpr base::seconds kBudgetRetention{600};
// Fraction of the bound of keys after which a gateway is not ready at the
// latest, so that a short bound leaves time to serve.
constexpr int kNoticeDivisor = 2;

void LogAcceptError(const boost::system::error_code& error) {
  base::LogEvent(base::LogLevel::kWarning, "accept_failed",
                 {{"reason", error.message()}});
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& io,
                 GatewaySettings settings,
                 const WireCodec& codec,
                 SharedTable& table,
                 base::CounterRegistry& counters,
                 std::uint64_t seed)
    : settings_(std::move(settings)),
      acceptor_(io),
      tick_timer_(io),
      accept_timer_(io),
      metrics_(counters),
      memory_(settings_.memory, counters),
      random_(seed),
      registry_(settings_.registry),
      placer_(settings_.placement, settings_.data_centre, random_.Next()),
      pool_(settings_.pool),
      peers_(io, settings_.peers, table, registry_, random_.Next()),
      loop_timer_(io),
      budgets_(loop_timer_, table, peers_, random_.Next(), settings_.budget),
      conversations_(io, table, random_.Next(), settings_.conversations),
      turn_collector_(
          loop_timer_,
          table,
          [this](const std::string& task) { return ResponsibleFor(task); }),
      origins_(io, table, registry_, peers_),
      crashes_(io, table, peers_, metrics_.requests_in_crashes),
      allotments_(peers_,
                  settings_.allotments,
                  metrics_.allotments,
                  random_.Next()),
      context_{io,
               codec,
               nullptr,
               registry_,
               placer_,
               pool_,
               budgets_,
               conversations_,
               origins_,
               crashes_,
               allotments_,
               peers_,
               metrics_,
               random_,
               RetryPolicy(),
               QueuePolicy(),
               StopPolicy(),
               RecentDurations(),
               admission_,
               table,
               settings_.max_response_bytes,
               std::max(settings_.grace - settings_.stop_margin,
                        settings_.grace / 4)} {
  if (auto bound = settings_.key_revocation) {
    context_.revocation = organisation::RevocationPolicy(
        {.bound = *bound,
         .send_time = settings_.pool.connect_timeout,
         .notice_time =
             std::min(settings_.readiness_notice, *bound / kNoticeDivisor)});
  }
}

Gateway::~Gateway() = default;

void Gateway::Listen() {
  auto endpoint = http::ParseAddress(settings_.listen);
  boost::system::error_code error = boost::asio::error::invalid_argument;
  if (endpoint) {
    acceptor_.open(endpoint->protocol(), error);
    if (!error)
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
      acceptor_.bind(*endpoint, error);
    if (!error)
      acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    throw base::NotRunError(base::ErrorCode::kUnavailable, base::Step::kConnect,
                            "cannot listen: " + error.message(),
                            settings_.listen);
  }
  peers_.SetBudgetHandler(budgets_);
  peers_.SetPromptObserver(*this);
  peers_.SetStrikeHandler(crashes_);
  peers_.SetAllotmentHandler(allotments_);
  peers_.Start();
  Accept();
  Tick();
}

void Gateway::Accept() {
  if (!acceptor_.is_open())
    return;
  // One place is kept free for the connection that waits next.
  if (sessions_.size() >= connection_limit() && !CloseOldestRejected()) {
    accept_paused_ = true;
    accept_timer_.expires_after(kMinUnusedTime);
    accept_timer_.async_wait([this](boost::system::error_code cancelled) {
      if (!cancelled && std::exchange(accept_paused_, false))
        Accept();
    });
    return;
  }
  acceptor_.async_accept(
      [this](boost::system::error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
          return;
        if (error) {
          LogAcceptError(error);
          accept_timer_.expires_after(kAcceptRetryDelay);
          accept_timer_.async_wait([this](boost::system::error_code cancelled) {
            if (!cancelled)
              Accept();
          });
          return;
        }
        Accept();
        StartSession(std::move(socket));
      });
}

void Gateway::StartSession(tcp::socket socket) {
  SessionMode mode = SessionMode::kServe;
  if (sessions_.size() >= settings_.max_sessions) {
    mode = SessionMode::kReject;
    metrics_.rejected_connections.Add();
    base::LogEvent(base::LogLevel::kWarning, "connection_rejected",
                   {{"reason", "the limit of connections is reached"},
                    {"sessions", std::to_string(sessions_.size())}});
  }
  auto session =
      std::make_shared<CallerSession>(std::move(socket), *this, mode);
  sessions_.emplace(session.get(), session);
  if (mode == SessionMode::kReject)
    rejected_.push_back(session.get());
  session->Start();
}

bool Gateway::CloseOldestRejected() {
  constexpr std::string_view kReason = "others wait for a connection";
  auto now = base::TimePoint::clock::now();
  if (!full_since_)
    full_since_ = now;
  if (now - *full_since_ < kUnusedTime)
    return false;
  for (auto close :
       {&CallerSession::CloseIfIdle, &CallerSession::CloseIfUnread}) {
    for (CallerSession* session : rejected_) {
      if (now - session->started_at() < kMinUnusedTime)
        break;
      if (!((*sessions_.at(session)).*close)(kReason))
        continue;
      metrics_.idle_rejections.Add();
      return true;
    }
  }
  return false;
}

bool Gateway::ApplyConfig(std::shared_ptr<const RouteConfig> config) {
  std::uint64_t current_version =
      context_.config ? context_.config->version : 0;
  if (context_.config && config->version <= current_version)
    return config->version == current_version;
  base::LogEvent(
      base::LogLevel::kInfo, "config_applied",
      {{"version", std::to_string(config->version)},
       {"previous", std::to_string(current_version)},
       {"routes", std::to_string(config->routes.size())},
       {"organisations", std::to_string(config->organisations.size())},
       {"keys", std::to_string(config->keys.size())}});
  if (std::size_t ignored = config->keys.ignored_keys(); ignored > 0) {
    base::LogEvent(base::LogLevel::kWarning, "keys_ignored",
                   {{"version", std::to_string(config->version)},
                    {"keys", std::to_string(ignored)},
                    {"reason", "empty, or held by an earlier organisation"}});
  }
  metrics_.organisations.Set(
      static_cast<std::int64_t>(config->organisations.size()));
  metrics_.keys.Set(static_cast<std::int64_t>(config->keys.size()));
  context_.config = std::move(config);
  allotments_.ApplyConfig(*context_.config);
  turn_collector_.ApplyConfig(*context_.config);
  return true;
}

void Gateway::OnServerPut(BackendServer server) {
  if (PutServer(std::move(server)))
    origins_.OnServersChanged();
}

bool Gateway::PutServer(BackendServer server) {
  ServerSlotPtr known = registry_.find(server.id);
  bool changed = !known || known->server.state != server.state ||
                 known->server.address != server.address ||
                 known->server.software_version != server.software_version ||
                 known->server.started_at_ms != server.started_at_ms;
  if (changed) {
    base::LogEvent(
        base::LogLevel::kInfo, "server_changed",
        {{"server", server.id},
         {"address", server.address},
         {"service", server.service},
         {"version", server.software_version},
         {"state",
          server.state == ServerState::kReady ? "ready" : "draining"}});
    pool_.CloseIdle(server.id);
    if (known && known->server.started_at_ms != server.started_at_ms) {
      placer_.RemoveServer(server.id);
      crashes_.OnServerEnded(*known);
    }
  }
  registry_.Put(std::move(server));
  return changed;
}

void Gateway::OnServerRemoved(const std::string& id, bool may_return) {
  base::LogEvent(
      base::LogLevel::kInfo, "server_removed",
      {{"server", id}, {"may_return", may_return ? "true" : "false"}});
  if (may_return)
    return registry_.MarkMissing(id, base::TimePoint::clock::now());
  if (ServerSlotPtr removed = registry_.find(id))
    crashes_.OnServerEnded(*removed);
  registry_.Remove(id);
  pool_.CloseIdle(id);
  placer_.RemoveServer(id);
  origins_.OnServersChanged();
}

void Gateway::OnServersListed(std::vector<BackendServer> servers) {
  base::LogEvent(base::LogLevel::kInfo, "servers_listed",
                 {{"listed", std::to_string(servers.size())},
                  {"known", std::to_string(registry_.size())}});
  servers_known_ = true;
  std::set<std::string> listed;
  for (BackendServer& server : servers) {
    listed.insert(server.id);
    PutServer(std::move(server));
  }
  registry_.MarkUnlistedMissing(listed, base::TimePoint::clock::now());
  origins_.OnServersChanged();
}

void Gateway::OnPeerPrompt(const ServerSlot& slot, const PromptChain& chain) {
  if (!context_.config)
    return;
  if (!chain.links.empty())
    admission_.OnBegun(chain.links.back().key, base::TimePoint::clock::now());
  const auto& services = context_.config->services;
  if (auto service = services.find(slot.server.service);
      service != services.end())
    placer_.OnPromptSent(slot, service->second, chain);
}

bool Gateway::ready() const {
  return context_.config && servers_known_ && !closing();
}

bool Gateway::keys_accepted() const {
  if (!context_.config || !context_.config->requires_keys)
    return true;
  auto confirmed_at = context_.config_confirmed_at();
  auto now = base::BootClock::now();
  // Callers that go elsewhere are served longer only where the store is
  // reached.
  return peers_.store_lost() ? context_.revocation.MaySend(confirmed_at, now)
                             : context_.revocation.MayInvite(confirmed_at, now);
}

void Gateway::CheckKeys() {
  bool accepted = keys_accepted();
  if (std::exchange(keys_accepted_, accepted) == accepted)
    return;
  base::LogEvent(base::LogLevel::kWarning, "keys_unconfirmed",
                 {{"now", accepted ? "false" : "true"}});
}

void Gateway::Tick() {
  // First: an exception must not end the sequence.
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](boost::system::error_code error) {
    if (!error)
      Tick();
  });
  allotments_.Tick();
  auto now = base::TimePoint::clock::now();
  std::vector<std::string> expired = registry_.RemoveExpired(now);
  for (const std::string& id : expired) {
    base::LogEvent(base::LogLevel::kInfo, "server_lapsed", {{"server", id}});
    pool_.CloseIdle(id);
    placer_.RemoveServer(id);
  }
  if (!expired.empty())
    origins_.OnServersChanged();
  origins_.Tick();
  crashes_.Tick();
  turn_collector_.Tick();
  if (now - last_cleanup_ >= kCleanupInterval) {
    last_cleanup_ = now;
    pool_.CloseExpired(now);
    budgets_.Sweep(kBudgetRetention);
    conversations_.Tick();
    metrics_.conversation_bytes.Set(
        static_cast<std::int64_t>(conversations_.bytes_in_memory()));
    metrics_.indexed_turns.Set(
        static_cast<std::int64_t>(turn_collector_.records()));
    origins_.DeleteExpired();
  }
  memory_.Tick(now);
  if (sessions_.size() + 1 < connection_limit())
    full_since_.reset();
  peers_.ShareRates();
  origins_.SetLiveGateways(peers_.live() + 1);
  CheckIsolation();
  CheckKeys();
  budgets_.Tick();
  if (draining_)
    CheckDrained();
}

std::optional<bool> Gateway::ResponsibleFor(const std::string& task) const {
  return draining_ ? false : peers_.LeadsAtStore(task);
}

void Gateway::CheckIsolation() {
  bool isolated = !store_connected_ && peers_.in_minority();
  if (std::exchange(isolated_, isolated) == isolated)
    return;
  base::LogEvent(base::LogLevel::kWarning, "cut_off",
                 {{"now", isolated ? "true" : "false"}});
}

void Gateway::Drain(std::function<void()> done) {
  if (draining_)
    return;
  draining_ = true;
  drain_started_ = base::TimePoint::clock::now();
  context_.stopping_since = drain_started_;
  on_drained_ = std::move(done);
  base::LogEvent(base::LogLevel::kInfo, "drain_started",
                 {{"sessions", std::to_string(sessions_.size())}});
  peers_.Unregister();
  budgets_.OnStopping();
}

void Gateway::CheckDrained() {
  auto elapsed = base::TimePoint::clock::now() - drain_started_;
  if (elapsed < std::min<base::Duration>(settings_.linger, context_.stop_time))
    return;
  // The load balancer has removed this process by now, and a later request
  // could be interrupted by the end of the grace period.
  if (acceptor_.is_open())
    return StopAccepting();
  for (const auto& session : Sessions())
    session->CloseIfIdle("draining");
  if (elapsed >= context_.stop_time && !std::exchange(requests_ended_, true)) {
    for (const auto& session : Sessions())
      session->EndRequest("the gateway is stopping");
  }
  std::size_t busy = sessions_.size();
  bool forced = elapsed >= settings_.grace - settings_.exit_margin;
  if ((busy > 0 && !forced) || !on_drained_)
    return;
  base::LogEvent(
      base::LogLevel::kInfo, "drain_ended",
      {{"busy", std::to_string(busy)}, {"forced", forced ? "true" : "false"}});
  // Logs what the end of the process interrupts.
  for (const auto& session : Sessions())
    session->Close("the process ends");
  std::exchange(on_drained_, nullptr)();
}

void Gateway::StopAccepting() {
  // Connections that wait to be accepted would be reset, though callers may
  // have sent their requests.
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket = acceptor_.accept(error);
    if (!error)
      StartSession(std::move(socket));
  }
  if (error != boost::asio::error::would_block)
    LogAcceptError(error);
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

std::vector<std::shared_ptr<CallerSession>> Gateway::Sessions() const {
  std::vector<std::shared_ptr<CallerSession>> sessions;
  sessions.reserve(sessions_.size());
  for (const auto& [raw, session] : sessions_)
    sessions.push_back(session);
  return sessions;
}

std::shared_ptr<ActiveRequest> Gateway::OnRequest(
    CallerRequest request,
    std::shared_ptr<ResponseSink> sink,
    SessionMode mode) {
  auto forwarded = std::make_shared<ForwardedRequest>(
      context_, std::move(request), std::move(sink));
  bool others_have_ended = sessions_.size() <= settings_.max_sessions;
  if (mode == SessionMode::kServe || others_have_ended)
    forwarded->Start();
  else
    forwarded->Reject("the limit of connections is reached");
  return forwarded;
}

void Gateway::OnSessionEnded(CallerSession* session) {
  sessions_.erase(session);
  std::erase(rejected_, session);
  if (std::exchange(accept_paused_, false))
    Accept();
}

const IngressLimits& Gateway::ingress_limits() const {
  static const IngressLimits defaults;
  return context_.config ? context_.config->limits : defaults;
}

}  // namespace vanillalever::forwarding
