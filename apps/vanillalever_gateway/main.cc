// Gateway process: forwards callers' requests to backend servers on the users'
// platform.

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <limits>
#include <memory>
#include <string>

#include <gflags/gflags.h>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "platform/header_codec.h"
#include "platform/node_settings.h"
#include "platform/operator_config.h"
#include "platform/server_registration.h"
#include "platform/store_client.h"
#include "platform/store_feeds.h"
#include "vanillalever/base/counters.h"
#include "vanillalever/base/hash.h"
#include "vanillalever/base/logging.h"
#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/gateway.h"
#include "vanillalever/forwarding/paced_table.h"
#include "vanillalever/forwarding/relayed_table.h"
#include "vanillalever/forwarding/table_watcher.h"
#include "vanillalever/http/server.h"
#include "vanillalever/memory/process_memory.h"

DEFINE_double(
    log_lines_per_second,
    400,
    "Maximum log lines per second; further ones are dropped and counted.");
DEFINE_double(memory_share,
              0.4,
              "Part of the machine's memory that requests and responses of "
              "callers may take.");
DEFINE_double(memory_connection_share,
              1.0 / 6,
              "Part of the machine's memory that bounds the number of callers' "
              "connections.");
DEFINE_int32(memory_patience_ms,
             1000,
             "Time for which large callers are slowed before the largest and "
             "slowest are refused or disconnected.");
DEFINE_double(log_burst_lines,
              2000,
              "Maximum burst of log lines beyond the rate; 0 with a rate of 0 "
              "writes none.");

namespace {

namespace adapter = vanillalever::platform_adapter;
namespace base = vanillalever::base;
namespace forwarding = vanillalever::forwarding;
namespace http = vanillalever::http;
namespace memory = vanillalever::memory;

// Same as the tick interval of the gateway.
constexpr base::milliseconds kStoreCheckInterval{100};

// Parts of the machine's memory for responses of the store that are being read,
// and for those that come through other gateways.
constexpr std::size_t kRowsDivisor = 5;
// The same for one response, which takes several times its size while its rows
// are decoded.
constexpr std::size_t kLargestRowDivisor = 12;
constexpr std::size_t kRepliesDivisor = 8;

// Runs the gateway, the store client and the readiness listener on one event
// loop.
class Process {
 public:
  explicit Process(adapter::NodeSettings settings)
      : settings_(std::move(settings)),
        // No extra threads: the main thread runs the loop.
        threads_(0),
        signals_(threads_.context(), SIGTERM, SIGINT, SIGHUP),
        seed_(base::Hash64(base::RandomId())),
        store_calls_(counters_.counter("vl_gateway_store_calls_total",
                                       "Calls to the platform's store.")),
        store_failures_(counters_.counter("vl_gateway_store_failures_total",
                                          "Calls to the store that failed.")),
        handler_failures_(counters_.counter("vl_gateway_handler_failures_total",
                                            "Exceptions that left a handler.")),
        store_(threads_,
               {.address = settings_.store_address,
                .max_response_bytes =
                    std::max(adapter::StoreClientSettings().max_response_bytes,
                             MachineBytes(settings_) / kLargestRowDivisor),
                .max_total_bytes = MachineBytes(settings_) / kRowsDivisor},
               store_calls_,
               store_failures_),
        table_(threads_,
               store_,
               seed_ + 3,
               counters_.counter("vl_gateway_relayed_store_calls_total",
                                 "Calls to the store made through another "
                                 "gateway."),
               MachineBytes(settings_) / kRepliesDivisor),
        loop_timer_(threads_.context()),
        paced_table_(loop_timer_,
                     table_,
                     settings_.store_writes_per_second,
                     counters_.counter("vl_gateway_delayed_writes_total",
                                       "Writes to the store that waited "
                                       "because of its rate.")),
        gateway_(threads_.context(),
                 MakeGatewaySettings(settings_),
                 codec_,
                 paced_table_,
                 counters_,
                 seed_),
        config_feed_(gateway_),
        server_feed_(gateway_),
        config_watcher_(threads_.context(),
                        table_,
                        adapter::kOperatorTable,
                        config_feed_,
                        seed_ + 1,
                        MakeConfigWatcherSettings(settings_)),
        server_watcher_(threads_.context(),
                        table_,
                        adapter::kServerTable,
                        server_feed_,
                        seed_ + 2,
                        MakeWatcherSettings(settings_)),
        store_timer_(threads_.context()) {}

  int Run() {
    base::LogEvent(base::LogLevel::kInfo, "started",
                   {{"instance", settings_.instance},
                    {"callers", settings_.callers_address},
                    {"readiness", settings_.readiness_address},
                    {"store", settings_.store_address}});
    table_.SetPeers(gateway_.store_peers());
    table_.SetReturnObserver([this] {
      config_watcher_.OnStoreReturned();
      server_watcher_.OnStoreReturned();
    });
    gateway_.SetConfigConfirmation(
        [this] { return config_watcher_.confirmed_at(); });
    gateway_.Listen();
    ServeReadiness();
    ServePeers();
    table_.Start();
    config_watcher_.Start();
    server_watcher_.Start();
    CheckStore();
    AwaitSignal();
    RunLoop();
    base::LogEvent(base::LogLevel::kInfo, "stopped");
    return 0;
  }

 private:
  // An exception that leaves a handler is a fault of this program; it costs the
  // request that the handler served, not the process.
  void RunLoop() {
    for (;;) {
      try {
        threads_.context().run();
        return;
      } catch (const std::exception& error) {
        handler_failures_.Add();
        base::LogEvent(base::LogLevel::kError, "handler_failed",
                       {{"reason", error.what()}});
      }
    }
  }

  // Open file descriptors that the process may have.
  static std::size_t Descriptors(const adapter::NodeSettings& node) {
    std::size_t descriptors = std::numeric_limits<std::size_t>::max();
    if (rlimit limit{}; getrlimit(RLIMIT_NOFILE, &limit) == 0)
      descriptors = limit.rlim_cur;
    if (node.max_descriptors > 0)
      descriptors = std::min(descriptors, node.max_descriptors);
    return descriptors;
  }

  // Connections beyond the descriptors could not even be rejected.
  static void SetSessionLimits(std::size_t descriptors,
                               forwarding::GatewaySettings& settings) {
    // For files, the store, other gateways and rejected connections.
    constexpr std::size_t kReserved = 200;
    // A request in progress has a connection of its caller and one to a server.
    constexpr std::size_t kPerSession = 2;
    std::size_t reserved = std::min(kReserved, descriptors / 6 * 5);
    std::size_t sessions = (descriptors - reserved) / kPerSession;
    settings.max_sessions =
        std::clamp<std::size_t>(sessions, 1, settings.max_sessions);
    settings.max_rejected_sessions = std::clamp<std::size_t>(
        settings.max_sessions / 2, 1, settings.max_rejected_sessions);
  }

  static std::size_t MachineBytes(const adapter::NodeSettings& node) {
    return node.memory_bytes > 0 ? node.memory_bytes : memory::MachineBytes();
  }

  // The rest of the memory is for the process itself, kept conversations, what
  // is known of servers, and the allocator.
  static void SetMemoryLimits(const adapter::NodeSettings& node,
                              forwarding::GatewaySettings& settings) {
    // Of a connection that holds no request.
    constexpr std::size_t kConnectionBytes = 12 << 10;
    std::size_t bytes = MachineBytes(node);
    auto share = [bytes](double part) {
      return static_cast<std::size_t>(static_cast<double>(bytes) * part);
    };
    settings.memory.total_bytes = share(FLAGS_memory_share);
    settings.memory.patience = base::milliseconds(FLAGS_memory_patience_ms);
    settings.max_sessions = std::clamp<std::size_t>(
        share(FLAGS_memory_connection_share) / kConnectionBytes, 1,
        settings.max_sessions);
  }

  static forwarding::GatewaySettings MakeGatewaySettings(
      const adapter::NodeSettings& node) {
    forwarding::GatewaySettings settings;
    settings.listen = node.callers_address;
    settings.data_centre = node.data_centre;
    settings.grace = node.grace;
    settings.key_revocation = node.key_revocation;
    settings.peers.address = node.ip + ":" + std::to_string(node.first_port);
    settings.peers.cpu_millicores = node.cpu_millicores;
    settings.allotments.window = node.allotment_window;
    settings.allotments.excess = node.allotment_excess;
    settings.allotments.slack = node.allotment_slack;
    // The rest is for connections, requests in progress and their prompts.
    constexpr std::size_t kMemoryDivisor = 6;
    constexpr std::size_t kTurnsDivisor = 5;
    // Several servers may fail at once by sending without end.
    constexpr std::size_t kResponseDivisor = 64;
    if (node.memory_bytes > 0) {
      settings.conversations.cache.max_bytes =
          node.memory_bytes / kMemoryDivisor;
      settings.conversations.max_turn_bytes = node.memory_bytes / kTurnsDivisor;
      settings.max_response_bytes = node.memory_bytes / kResponseDivisor;
    }
    SetSessionLimits(Descriptors(node), settings);
    SetMemoryLimits(node, settings);
    // The store may count a row's value in its encoding, which adds a third.
    settings.conversations.max_row_bytes = node.max_row_bytes / 4 * 3 - 1024;
    return settings;
  }

  static forwarding::TableWatcherSettings MakeWatcherSettings(
      const adapter::NodeSettings& node) {
    // A change missed by an unresponsive connection is found by the next long
    // poll, which must still leave time to apply it.
    constexpr base::milliseconds kApplyMargin{800};
    forwarding::TableWatcherSettings settings;
    settings.max_wait =
        std::max(settings.max_wait, node.config_apply - kApplyMargin);
    return settings;
  }

  // Keys that were taken away must be known in time also while the store does
  // not serve this gateway.
  static forwarding::TableWatcherSettings MakeConfigWatcherSettings(
      const adapter::NodeSettings& node) {
    constexpr int kPollsPerRevocation = 10;
    // Longer than a lost response takes to be noticed.
    constexpr base::milliseconds kLongOutage{2000};
    forwarding::TableWatcherSettings settings = MakeWatcherSettings(node);
    settings.list_after_outage = kLongOutage;
    if (node.key_revocation) {
      base::milliseconds interval = *node.key_revocation / kPollsPerRevocation;
      settings.max_wait = std::min(settings.max_wait, interval);
      settings.relayed_list_interval = interval;
    }
    return settings;
  }

  void ServeReadiness() {
    router_.Add("GET", "/readiness",
                [this](const std::shared_ptr<http::Exchange>& exchange) {
                  http::Response response;
                  response.status = gateway_.ready() ? 200 : 503;
                  response.content_type = "text/plain";
                  exchange->Send(std::move(response));
                });
    router_.Add("GET", "/metrics",
                [this](const std::shared_ptr<http::Exchange>& exchange) {
                  http::Response response;
                  response.content_type = "text/plain; version=0.0.4";
                  response.body =
                      forwarding::RenderMetrics(counters_, gateway_.metrics());
                  exchange->Send(std::move(response));
                });
    http::ServerSettings server;
    constexpr std::size_t kReadinessDivisor = 32;
    constexpr std::size_t kReadinessConnections = 128;
    server.max_connections = kReadinessConnections;
    server.memory.total_bytes = MachineBytes(settings_) / kReadinessDivisor;
    const std::string& address = settings_.readiness_address;
    std::size_t colon = address.rfind(':');
    server.host = address.substr(0, colon);
    server.port =
        static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
    readiness_ = std::make_unique<http::Server>(threads_, server, router_);
  }

  // Makes calls to the store for gateways that it does not serve.
  void ServePeers() {
    peer_router_.Add("POST", forwarding::RelayedTable::kPath,
                     [this](const std::shared_ptr<http::Exchange>& exchange) {
                       table_.Serve(exchange);
                     });
    http::ServerSettings server;
    server.host = settings_.ip;
    server.port = settings_.first_port;
    constexpr std::size_t kPeerDivisor = 16;
    server.memory.total_bytes = MachineBytes(settings_) / kPeerDivisor;
    try {
      peer_server_ =
          std::make_unique<http::Server>(threads_, server, peer_router_);
    } catch (const base::Error& error) {
      // Other gateways cannot call the store through this one; all else works.
      base::LogEvent(base::LogLevel::kError, "peer_listener_failed",
                     {{"reason", base::Describe(error.info())}});
    }
  }

  void CheckStore() {
    gateway_.OnStoreState(config_watcher_.connected() ||
                          server_watcher_.connected());
    paced_table_.SetGateways(gateway_.store_peers().live() + 1);
    store_timer_.expires_after(kStoreCheckInterval);
    store_timer_.async_wait([this](boost::system::error_code error) {
      if (!error)
        CheckStore();
    });
  }

  void AwaitSignal() {
    signals_.async_wait([this](boost::system::error_code error, int signal) {
      if (error)
        return;
      if (signal == SIGHUP)
        Reload();
      else
        gateway_.Drain([this] { threads_.context().stop(); });
      AwaitSignal();
    });
  }

  // The platform may change the settings file at run time, but the settings in
  // use are fixed for the lifetime of the process: a reload only logs.
  void Reload() {
    try {
      adapter::NodeSettings settings = adapter::ReadNodeSettings();
      base::LogEvent(base::LogLevel::kInfo, "settings_reloaded",
                     {{"store", settings.store_address}});
    } catch (const base::Error& error) {
      base::LogEvent(base::LogLevel::kError, "settings_unreadable",
                     {{"reason", base::Describe(error.info())}});
    }
  }

  adapter::NodeSettings settings_;
  http::IoThreads threads_;
  boost::asio::signal_set signals_;
  const std::uint64_t seed_;
  base::CounterRegistry counters_;
  base::Counter& store_calls_;
  base::Counter& store_failures_;
  base::Counter& handler_failures_;
  adapter::HeaderCodec codec_;
  adapter::StoreClient store_;
  forwarding::RelayedTable table_;
  forwarding::AsioLoopTimer loop_timer_;
  forwarding::PacedTable paced_table_;
  forwarding::Gateway gateway_;
  adapter::ConfigFeed config_feed_;
  adapter::ServerFeed server_feed_;
  forwarding::TableWatcher config_watcher_;
  forwarding::TableWatcher server_watcher_;
  boost::asio::steady_timer store_timer_;
  http::Router router_;
  std::unique_ptr<http::Server> readiness_;
  http::Router peer_router_;
  std::unique_ptr<http::Server> peer_server_;
};

int RunGateway() {
  memory::BoundAllocatorSlack();
  adapter::NodeSettings settings = adapter::ReadNodeSettings();
  base::InitBoundedLogging(settings.instance,
                           {.lines_per_second = FLAGS_log_lines_per_second,
                            .burst_lines = FLAGS_log_burst_lines});
  std::signal(SIGPIPE, SIG_IGN);
  Process process(std::move(settings));
  return process.Run();
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "vanillalever_gateway [flags]\n\nReads its settings from the file that "
      "VANILLALEVER_NODE_FILE names.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    int code = RunGateway();
    // Destructors of static objects may wait for threads of libraries, which
    // delays the start of the next process; they hold nothing to be saved.
    std::quick_exit(code);
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return 1;
  }
}
