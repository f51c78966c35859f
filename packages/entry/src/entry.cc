#include "vanillalever/entry/entry.h"

#include <thread>
#include <utility>

#include "admin_api.h"
#include "entry_context.h"
#include "http_reply.h"
#include "program_api.h"
#include "recovery.h"
#include "release_service.h"
#include "vanillalever/base/logging.h"
#include "vanillalever/base/timer_service.h"
#include "vanillalever/http/json_body.h"
#include "vanillalever/http/server.h"
#include "vanillalever/platform/http_platform_store.h"
#include "vanillalever/protocol/rpc_server.h"

namespace vanillalever::entry {
namespace {

constexpr int kIoThreads = 2;
constexpr std::size_t kWorkerThreads = 4;
constexpr base::Duration kMembershipInterval = base::milliseconds(100);
constexpr base::Duration kInstancePollInterval = base::seconds(1);
constexpr base::Duration kStrikeInterval = base::milliseconds(100);
constexpr base::Duration kReleaseInterval = base::milliseconds(200);
constexpr base::Duration kAcknowledgeInterval = base::milliseconds(100);
constexpr base::Duration kDrainPollInterval = base::milliseconds(20);
// Part of the drain limit that is reserved for answering what it interrupts.
constexpr base::Duration kAbortTime = base::seconds(1);

// The shards of an entry that stops are usually taken over within this time.
constexpr base::milliseconds kStopRetry{1000};

base::Duration TimeUntil(base::TimePoint end) {
  return std::max<base::Duration>(end - std::chrono::steady_clock::now(),
                                  base::milliseconds(1));
}

platform::HttpPlatformSettings PlatformSettings(const EntrySettings& settings) {
  platform::HttpPlatformSettings platform;
  platform.addresses = settings.platform;
  return platform;
}

http::ServerSettings HttpSettings(const EntrySettings& settings,
                                  std::uint16_t port) {
  http::ServerSettings http;
  http.host = settings.host;
  http.port = port;
  http.max_body_bytes = settings.max_body_bytes;
  http.memory.total_bytes = settings.max_held_bytes;
  return http;
}

}  // namespace

class EntryImpl final : public protocol::NodeHandler {
 public:
  explicit EntryImpl(const EntrySettings& settings);
  ~EntryImpl() override;

  std::string http_address() const { return http_server_->address(); }
  std::string admin_address() const { return admin_server_->address(); }
  std::string rpc_address() const {
    return settings_.host + ":" + std::to_string(rpc_server_->port());
  }
  bool Drain(base::Duration limit);
  void AbortRequests(base::TimePoint end);

  // protocol::NodeHandler:
  void OnForward(
      protocol::ForwardRequest request,
      protocol::Responder<protocol::ForwardResult> responder) override;
  void OnAdopt(const std::vector<std::uint32_t>& shards) override;

 private:
  void AddCallerRoutes();
  void AddStatusRoutes();
  void ServeCaller(const std::shared_ptr<http::Exchange>& exchange);
  bool IsReady() const;
  std::string RenderMetrics();
  void StartTimers();
  void RefreshServers();

  const EntrySettings settings_;
  base::CounterRegistry counters_;
  platform::HttpPlatformStore store_;
  base::TimerService timers_;
  http::IoThreads threads_{kIoThreads};
  WorkerPool workers_{kWorkerThreads};
  protocol::RpcLoop loop_;
  ShardHost shards_;
  ConfigService config_;
  Committer committer_;
  MembershipService membership_;
  ServerDirectory servers_;
  Settler settler_;
  StrikeService strikes_;
  TurnWaiters waiters_;
  Acknowledger acknowledger_;
  EntryContext context_;
  Recovery recovery_;
  ReleaseService releases_;
  ProgramApi programs_;
  AdminApi admin_;
  http::Router caller_router_;
  http::Router admin_router_;
  std::unique_ptr<http::Server> http_server_;
  std::unique_ptr<http::Server> admin_server_;
  std::unique_ptr<protocol::RpcServer> rpc_server_;
  std::unique_ptr<PeriodicThread> membership_thread_;
  std::unique_ptr<PeriodicThread> config_thread_;
  std::unique_ptr<PeriodicThread> instance_thread_;
  std::unique_ptr<PeriodicThread> strike_thread_;
  std::vector<base::TimerService::Subscription> timer_subscriptions_;
};

EntryImpl::EntryImpl(const EntrySettings& settings)
    : settings_(settings),
      store_(PlatformSettings(settings)),
      config_(store_, settings.config_poll_interval, counters_),
      committer_(shards_, store_, settings.group_commit_window, counters_),
      membership_(store_, shards_, settings.lease, counters_),
      servers_(loop_,
               settings.shared_key,
               settings.data_centre,
               settings.subset_size,
               config_,
               counters_),
      settler_(threads_.context(), servers_),
      strikes_(store_, counters_),
      acknowledger_(servers_),
      context_{settings_, counters_, store_,     threads_,     workers_,
               shards_,   config_,   committer_, membership_,  servers_,
               settler_,  strikes_,  waiters_,   acknowledger_},
      recovery_(context_),
      releases_(context_),
      programs_(context_, recovery_, loop_),
      admin_(context_, programs_) {
  AddCallerRoutes();
  AddStatusRoutes();
  admin_.AddRoutes(admin_router_);
  rpc_server_ = std::make_unique<protocol::RpcServer>(
      loop_,
      protocol::RpcServerSettings{settings.host, settings.rpc_port,
                                  settings.shared_key},
      *this, counters_);
  membership_.SetAddress(rpc_address(), settings.data_centre);
  membership_.SetTakenOverCallback(
      [this](const membership::ShardRow& row) { recovery_.LoadShard(row); });
  membership_.SetHandedOverCallback(
      [this](const std::string& address,
             const std::vector<std::uint32_t>& shards) {
        if (auto client = servers_.ClientFor(address))
          client->Adopt(shards, base::seconds(1),
                        [](const protocol::Outcome<protocol::Empty>&) {});
      });
  http_server_ = std::make_unique<http::Server>(
      threads_, HttpSettings(settings, settings.http_port), caller_router_);
  admin_server_ = std::make_unique<http::Server>(
      threads_, HttpSettings(settings, settings.admin_port), admin_router_);
  StartTimers();
}

EntryImpl::~EntryImpl() {
  timer_subscriptions_.clear();
  strikes_.Stop();
  membership_thread_.reset();
  config_thread_.reset();
  instance_thread_.reset();
  strike_thread_.reset();
  http_server_.reset();
  admin_server_.reset();
  rpc_server_.reset();
  programs_.Stop();
  servers_.Stop();
  committer_.Stop();
  workers_.Stop();
  threads_.Stop();
}

void EntryImpl::StartTimers() {
  config_thread_ = std::make_unique<PeriodicThread>(
      settings_.config_poll_interval, [this] { config_.Poll(); });
  instance_thread_ = std::make_unique<PeriodicThread>(
      kInstancePollInterval, [this] { servers_.ReadInstances(store_); });
  membership_thread_ = std::make_unique<PeriodicThread>(
      kMembershipInterval, [this] { membership_.Step(); });
  strike_thread_ = std::make_unique<PeriodicThread>(
      kStrikeInterval, [this] { strikes_.Step(); });
  auto add_timer = [this](base::Duration interval, auto task) {
    timer_subscriptions_.push_back(
        timers_.Every(interval, [task](base::TimePoint) { task(); }));
  };
  add_timer(settings_.report_interval, [this] {
    RefreshServers();
    servers_.ExchangeReports(3 * settings_.report_interval);
  });
  add_timer(kReleaseInterval, [this] { releases_.Step(); });
  add_timer(kAcknowledgeInterval, [this] { acknowledger_.Flush(); });
}

void EntryImpl::RefreshServers() {
  std::string self = membership_.incarnation();
  std::vector<membership::PeerLocation> peers;
  bool self_listed = false;
  for (const membership::EntryRow& row : membership_.entries()) {
    peers.push_back({row.incarnation, row.data_centre});
    self_listed = self_listed || row.incarnation == self;
  }
  if (!self_listed)
    peers.push_back({self, settings_.data_centre});
  servers_.Refresh(self, peers);
}

void EntryImpl::AddCallerRoutes() {
  auto serve = [this](const std::shared_ptr<http::Exchange>& exchange) {
    ServeCaller(exchange);
  };
  caller_router_.Add("POST", "/v1/programs", serve);
  caller_router_.Add("GET", "/v1/programs/{id}", serve);
  caller_router_.Add("GET", "/v1/programs/{id}/history", serve);
  caller_router_.Add("POST", "/v1/programs/{id}/calls", serve);
  caller_router_.Add("POST", "/v1/programs/{id}/cancel", serve);
  caller_router_.Add("POST", "/v1/programs/{id}/end", serve);
}

void EntryImpl::ServeCaller(const std::shared_ptr<http::Exchange>& exchange) {
  const http::Request& request = exchange->request();
  // Reading the configuration may block on a refresh, so it does not run on an
  // I/O thread.
  workers_.Post([this, exchange, &request] {
    try {
      ConfigView config = config_.Current();
      auto organisation = config.tokens->Verify(request.bearer_token());
      if (!organisation) {
        throw base::NotRunError(base::ErrorCode::kUnauthenticated,
                                base::Step::kAuthenticate,
                                "the bearer token is missing or unknown");
      }
      bool stream = false;
      if (request.path.ends_with("/calls")) {
        auto body = http::ParseJsonObject(request.body);
        stream = body.contains("stream") && body["stream"] == true;
      }
      CallerRequest caller;
      caller.organisation = *organisation;
      caller.method = request.method;
      caller.path = request.path;
      caller.body = request.body;
      programs_.Handle(std::move(caller),
                       std::make_shared<HttpReply>(exchange, stream));
    } catch (const base::Error& error) {
      exchange->SendError(error.info());
    }
  });
}

bool EntryImpl::IsReady() const {
  return config_.Peek().body != nullptr && membership_.lease_held() &&
         !membership_.has_left();
}

std::string EntryImpl::RenderMetrics() {
  std::int64_t programs = 0;
  std::int64_t dropped = 0;
  std::vector<ShardPtr> shards = shards_.all();
  for (const ShardPtr& shard : shards) {
    programs += static_cast<std::int64_t>(shard->size());
    dropped += static_cast<std::int64_t>(shard->dropped_answers());
  }
  counters_.gauge("vl_entry_shards", "Shards owned.")
      .Set(static_cast<std::int64_t>(shards.size()));
  counters_.gauge("vl_entry_programs", "Programs in memory.").Set(programs);
  counters_
      .gauge("vl_entry_dropped_answers",
             "Answers of owned shards that matched no open attempt.")
      .Set(dropped);
  counters_
      .gauge("vl_entry_uncommitted_programs",
             "Programs with changes that are not durable.")
      .Set(static_cast<std::int64_t>(committer_.uncommitted()));
  return counters_.Render();
}

void EntryImpl::AddStatusRoutes() {
  auto add_route = [this](const char* path, auto fill_response) {
    caller_router_.Add("GET", path, [fill_response](const auto& exchange) {
      http::Response response;
      response.content_type = "text/plain; version=0.0.4";
      fill_response(response);
      exchange->Send(std::move(response));
    });
  };
  add_route("/healthz",
            [](http::Response& response) { response.body = "ok\n"; });
  add_route("/readyz", [this](http::Response& response) {
    bool ready = IsReady();
    response.status = ready ? 200 : 503;
    response.body = ready ? "ready\n" : "not ready\n";
  });
  add_route("/metrics", [this](http::Response& response) {
    response.body = RenderMetrics();
  });
}

void EntryImpl::OnForward(
    protocol::ForwardRequest request,
    protocol::Responder<protocol::ForwardResult> responder) {
  auto reply = std::make_shared<ForwardReply>(std::move(responder));
  workers_.Post([this, request = std::move(request), reply] {
    CallerRequest caller;
    caller.organisation = request.organisation;
    caller.method = request.method;
    caller.path = request.path;
    caller.body = request.body;
    caller.hops = request.hops;
    programs_.Handle(std::move(caller), reply);
  });
}

void EntryImpl::OnAdopt(const std::vector<std::uint32_t>& /*shards*/) {
  membership_.RequestScan();
  membership_thread_->Wake();
}

bool EntryImpl::Drain(base::Duration limit) {
  base::LogEvent(base::LogLevel::kInfo, "drain_started", {});
  auto end = std::chrono::steady_clock::now() + limit;
  auto abort_at = end - std::min<base::Duration>(kAbortTime, limit / 4);
  membership_.BeginLeaving();
  membership_thread_->Wake();
  while (!membership_.has_left() && std::chrono::steady_clock::now() < abort_at)
    std::this_thread::sleep_for(kDrainPollInterval);
  // Up to this point, requests for shards that were handed over are forwarded
  // to their new owners.
  http_server_->StopAccepting();
  admin_server_->StopAccepting();
  bool idle = http_server_->WaitUntilIdle(TimeUntil(abort_at));
  idle = admin_server_->WaitUntilIdle(TimeUntil(abort_at)) && idle;
  if (!idle)
    AbortRequests(end);
  return idle && membership_.has_left();
}

// Answers the requests that the end of the process interrupts. Calls that run
// at a server go on; their turns are settled by the next owner of their shard.
void EntryImpl::AbortRequests(base::TimePoint end) {
  base::ErrorInfo error;
  error.code = base::ErrorCode::kUnavailable;
  error.message = "the entry stops; repeat the request at another one";
  error.step = base::Step::kAnswer;
  error.ran = base::ExecutionStatus::kUnknown;
  error.retry_after = kStopRetry;
  base::LogEvent(
      base::LogLevel::kWarning, "requests_interrupted",
      {{"step", std::string(base::kStepNames.name(error.step))},
       {"callers", std::to_string(http_server_->requests_in_flight())},
       {"operators", std::to_string(admin_server_->requests_in_flight())}});
  for (http::Server* server : {http_server_.get(), admin_server_.get()})
    server->AbortRequests(error);
  for (http::Server* server : {http_server_.get(), admin_server_.get()})
    server->WaitUntilIdle(TimeUntil(end));
}

Entry::Entry(const EntrySettings& settings)
    : impl_(std::make_unique<EntryImpl>(settings)) {}

Entry::~Entry() = default;

std::string Entry::http_address() const {
  return impl_->http_address();
}

std::string Entry::admin_address() const {
  return impl_->admin_address();
}

std::string Entry::rpc_address() const {
  return impl_->rpc_address();
}

bool Entry::Drain(base::Duration limit) {
  return impl_->Drain(limit);
}

}  // namespace vanillalever::entry
