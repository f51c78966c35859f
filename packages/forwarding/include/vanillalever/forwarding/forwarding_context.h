#ifndef VANILLALEVER_FORWARDING_FORWARDING_CONTEXT_H_
#define VANILLALEVER_FORWARDING_FORWARDING_CONTEXT_H_

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "vanillalever/base/boot_clock.h"
#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/allotment_service.h"
#include "vanillalever/forwarding/budget_service.h"
#include "vanillalever/forwarding/conversation_service.h"
#include "vanillalever/forwarding/crash_monitor.h"
#include "vanillalever/forwarding/gateway_metrics.h"
#include "vanillalever/forwarding/peer_link.h"
#include "vanillalever/forwarding/placement.h"
#include "vanillalever/forwarding/queue_policy.h"
#include "vanillalever/forwarding/recent_durations.h"
#include "vanillalever/forwarding/retry_policy.h"
#include "vanillalever/forwarding/route_config.h"
#include "vanillalever/forwarding/server_connection_pool.h"
#include "vanillalever/forwarding/server_registry.h"
#include "vanillalever/forwarding/stop_policy.h"
#include "vanillalever/forwarding/stream_origins.h"
#include "vanillalever/forwarding/wire_codec.h"
#include "vanillalever/organisation/revocation_policy.h"

namespace vanillalever::forwarding {

// State shared by all requests of a gateway.
struct ForwardingContext {
  boost::asio::io_context& io;
  const WireCodec& codec;
  // Current configuration; null until the first one is known.
  std::shared_ptr<const RouteConfig> config;
  ServerRegistry& registry;
  Placer& placer;
  ServerConnectionPool& pool;
  BudgetService& budgets;
  ConversationService& conversations;
  StreamOrigins& origins;
  CrashMonitor& crashes;
  AllotmentService& allotments;
  PeerLink& peers;
  GatewayMetrics& metrics;
  base::Random& random;
  RetryPolicy retries;
  QueuePolicy queue;
  StopPolicy stops;
  RecentDurations durations;
  // Limit of a response that is relayed only when complete.
  std::size_t max_response_bytes = 16 << 20;
  // Time from the stop signal to the end of the process, whatever is open then.
  base::Duration stop_time{0};
  // When the stop signal came.
  std::optional<base::TimePoint> stopping_since = std::nullopt;
  // Time as of which `config` is known to be the newest configuration.
  std::function<std::optional<base::BootTime>()> config_confirmed_at = [] {
    return std::optional<base::BootTime>();
  };
  organisation::RevocationPolicy revocation{};
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_FORWARDING_CONTEXT_H_
