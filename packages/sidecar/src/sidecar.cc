#include "vanillalever/sidecar/sidecar.h"

#include <thread>
#include <utility>

#include "vanillalever/base/logging.h"
#include "vanillalever/base/random.h"
#include "vanillalever/base/timer_service.h"
#include "vanillalever/config/config_holder.h"
#include "vanillalever/http/server.h"
#include "vanillalever/protocol/rpc_server.h"
#include "work_executor.h"

namespace vanillalever::sidecar {
namespace {

constexpr int kIoThreads = 2;
constexpr base::Duration kDrainPollInterval = base::milliseconds(20);

std::unique_ptr<Backend> MakeBackend(const SidecarSettings& settings,
                                     http::Client& client) {
  return settings.kind == config::PoolKind::kEngine
             ? MakeEngineBackend(client, settings.server_address)
             : MakeServiceBackend(client, settings.server_address);
}

}  // namespace

class SidecarImpl final : public protocol::NodeHandler {
 public:
  explicit SidecarImpl(const SidecarSettings& settings)
      : settings_(settings),
        incarnation_(base::RandomId()),
        client_(threads_, {}),
        backend_(MakeBackend(settings, client_)),
        releaser_(*backend_, counters_),
        executor_(incarnation_, *backend_, releaser_, counters_) {
    AddRoutes();
    http::ServerSettings http_settings;
    http_settings.host = settings.host;
    http_settings.port = settings.http_port;
    http_server_ =
        std::make_unique<http::Server>(threads_, http_settings, router_);
    rpc_server_ = std::make_unique<protocol::RpcServer>(
        loop_,
        protocol::RpcServerSettings{settings.host, settings.rpc_port,
                                    settings.shared_key},
        *this, counters_);
    tick_subscription_ =
        timers_.Every(settings.tick_interval,
                      [this](base::TimePoint now) { executor_.Tick(now); });
  }

  ~SidecarImpl() override {
    tick_subscription_.Cancel();
    rpc_server_.reset();
    threads_.Stop();
  }

  std::string rpc_address() const {
    return settings_.host + ":" + std::to_string(rpc_server_->port());
  }
  std::string http_address() const { return http_server_->address(); }

  bool Drain(base::Duration timeout) {
    executor_.BeginDrain();
    base::LogEvent(base::LogLevel::kInfo, "drain_started",
                   {{"server", settings_.server_address}});
    auto deadline = std::chrono::steady_clock::now() + timeout;
    while (executor_.drain_phase() != execution::DrainPhase::kDrained) {
      if (std::chrono::steady_clock::now() > deadline)
        return false;
      std::this_thread::sleep_for(kDrainPollInterval);
    }
    return true;
  }

  // protocol::NodeHandler:
  void OnExecute(
      protocol::ExecuteRequest request,
      protocol::Responder<protocol::ExecuteResult> responder) override {
    executor_.Execute(std::move(request), std::move(responder));
  }
  void OnCancel(const std::string& work_token) override {
    executor_.Cancel(work_token);
  }
  protocol::SettleReply OnSettle(
      const protocol::SettleRequest& request) override {
    return executor_.Settle(request);
  }
  void OnAcknowledge(const std::vector<std::string>& work_tokens) override {
    executor_.Acknowledge(work_tokens);
  }
  void OnShardSettled(std::uint32_t shard, std::uint64_t fence) override {
    executor_.ShardSettled(shard, fence);
  }
  void OnRelease(
      protocol::ReleaseRequest request,
      protocol::Responder<std::optional<base::ErrorInfo>> responder) override {
    releaser_.Release(request, std::move(responder));
  }
  protocol::LoadReport OnReport(std::uint64_t /*config_version*/) override {
    ExecutorLoad load = executor_.load();
    protocol::LoadReport report;
    report.incarnation = incarnation_;
    report.pool = settings_.service;
    report.data_centre = settings_.data_centre;
    report.backlog_tokens = load.backlog_tokens;
    report.running = load.running;
    report.queued = load.queued;
    report.tokens_per_second = load.tokens_per_second;
    report.slowness = load.slowness;
    report.leaving = load.leaving;
    report.concurrency_limit = load.concurrency_limit;
    report.server_reachable = load.server_reachable;
    report.config_version = static_cast<std::uint64_t>(config_.number());
    return report;
  }
  std::uint64_t OnConfigure(std::uint64_t version, std::string body) override {
    Configure(version, body);
    return static_cast<std::uint64_t>(config_.number());
  }

 private:
  void Configure(std::uint64_t version, const std::string& text) {
    try {
      auto body =
          std::make_shared<config::ConfigBody>(config::DecodeBody(text));
      if (config_.Offer(std::move(body)) != config::OfferResult::kAccepted)
        return;
      executor_.SetConfigured();
      base::LogEvent(base::LogLevel::kInfo, "config_in_force",
                     {{"version", std::to_string(version)}});
    } catch (const base::Error& error) {
      base::LogEvent(
          base::LogLevel::kError, "config_rejected",
          {{"version", std::to_string(version)}, {"error", error.what()}});
    }
  }

  void AddRoutes() {
    auto send_text = [](const std::shared_ptr<http::Exchange>& exchange,
                        int status, std::string text) {
      http::Response response;
      response.status = status;
      response.content_type = "text/plain; version=0.0.4";
      response.body = std::move(text);
      exchange->Send(std::move(response));
    };
    router_.Add("GET", "/healthz", [send_text](const auto& exchange) {
      send_text(exchange, 200, "ok\n");
    });
    router_.Add("GET", "/readyz", [this, send_text](const auto& exchange) {
      ExecutorLoad load = executor_.load();
      bool ready =
          config_.number() > 0 && load.server_reachable && !load.leaving;
      send_text(exchange, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    });
    router_.Add("GET", "/metrics", [this, send_text](const auto& exchange) {
      UpdateGauges();
      send_text(exchange, 200, counters_.Render());
    });
  }

  void UpdateGauges() {
    ExecutorLoad load = executor_.load();
    counters_.gauge("vl_sidecar_running", "Calls running.").Set(load.running);
    counters_.gauge("vl_sidecar_queued", "Calls waiting.").Set(load.queued);
    counters_
        .gauge("vl_sidecar_concurrency_limit",
               "Calls that may run at the same time.")
        .Set(load.concurrency_limit);
    counters_.gauge("vl_config_version", "Configuration version in force.")
        .Set(config_.number());
  }

  SidecarSettings settings_;
  std::string incarnation_;
  base::CounterRegistry counters_;
  config::ConfigHolder config_;
  base::TimerService timers_;
  http::IoThreads threads_{kIoThreads};
  http::Client client_;
  std::unique_ptr<Backend> backend_;
  protocol::RpcLoop loop_;
  CacheReleaser releaser_;
  WorkExecutor executor_;
  http::Router router_;
  std::unique_ptr<http::Server> http_server_;
  std::unique_ptr<protocol::RpcServer> rpc_server_;
  base::TimerService::Subscription tick_subscription_;
};

Sidecar::Sidecar(const SidecarSettings& settings)
    : impl_(std::make_unique<SidecarImpl>(settings)) {}

Sidecar::~Sidecar() = default;

std::string Sidecar::rpc_address() const {
  return impl_->rpc_address();
}

std::string Sidecar::http_address() const {
  return impl_->http_address();
}

bool Sidecar::Drain(base::Duration timeout) {
  return impl_->Drain(timeout);
}

}  // namespace vanillalever::sidecar
