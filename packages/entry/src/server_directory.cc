#include "server_directory.h"

#include <algorithm>
#include <set>
#include <utility>

#include "vanillalever/base/hash.h"
#include "vanillalever/base/logging.h"

namespace vanillalever::entry {
namespace {

using scheduling::ServerIndex;

// An instance list can be incomplete for some time.
constexpr base::Duration kUnlistedRetention = base::seconds(30);
constexpr base::Duration kConfigureTimeout = base::seconds(3);

scheduling::ProgramKey ProgramKeyFor(const std::string& program) {
  return base::Hash64(program);
}

}  // namespace

ServerDirectory::ServerDirectory(protocol::RpcLoop& loop,
                                 std::string shared_key,
                                 std::string data_centre,
                                 std::size_t subset_size,
                                 ConfigService& config,
                                 base::CounterRegistry& counters)
    : loop_(loop),
      shared_key_(std::move(shared_key)),
      data_centre_(std::move(data_centre)),
      config_(config),
      subset_picker_({subset_size, subset_size / 6}),
      reports_(counters.counter("vl_entry_reports_total",
                                "Load reports that arrived.")),
      report_failures_(counters.counter("vl_entry_report_failures_total",
                                        "Load reports that did not arrive.")),
      servers_gauge_(counters.gauge("vl_entry_servers",
                                    "Sidecars that this entry works with.")),
      instance_view_({}),
      random_(base::Hash64(base::RandomId())) {}

void ServerDirectory::ReadInstances(platform::PlatformStore& store) {
  base::TimePoint sent = clock_.now();
  std::vector<membership::ListedInstance> list;
  for (const platform::InstanceRecord& record : store.Instances()) {
    list.push_back({record.address, record.data_centre, record.service,
                    record.state == platform::InstanceState::kLeaving});
  }
  std::lock_guard lock(mutex_);
  base::TimePoint now = clock_.now();
  instance_view_.OnListRead(list, sent, now);
  instance_view_.Prune(now);
  for (const membership::ListedInstance& instance : list)
    instances_[instance.address] = {instance, now};
  std::erase_if(instances_, [now](const auto& item) {
    return now - item.second.last_listed > kUnlistedRetention;
  });
}

ServerDirectory::Pool& ServerDirectory::FindOrCreatePool(
    const std::string& name) {
  auto& pool = pools_[name];
  if (!pool) {
    pool = std::make_unique<Pool>(clock_.now());
    pool->picker = scheduling::MakeServerPicker(
        scheduling::PickerKind::kEstimatedCompletion);
    for (ServerIndex i = 0; i < kMaxServersPerPool; ++i)
      pool->load.SetQuarantined(i, true);
  }
  return *pool;
}

void ServerDirectory::AddServer(const std::string& address,
                                const std::string& pool_name,
                                const std::string& data_centre) {
  Pool& pool = FindOrCreatePool(pool_name);
  Server& server = servers_[address];
  server.in_use = true;
  if (server.client)
    return;
  if (pool.slots.size() >= kMaxServersPerPool) {
    base::LogEvent(base::LogLevel::kError, "pool_full", {{"pool", pool_name}});
    server.in_use = false;
    return;
  }
  server.address = address;
  server.pool = pool_name;
  server.index = static_cast<ServerIndex>(pool.slots.size());
  pool.slots.push_back(address);
  server.report.data_centre = data_centre;
  server.client = std::make_shared<protocol::NodeClient>(
      loop_, protocol::NodeClientSettings{address, shared_key_});
}

void ServerDirectory::Refresh(
    const std::string& self,
    const std::vector<membership::PeerLocation>& entries) {
  ConfigView config = config_.Peek();
  if (!config.body)
    return;
  std::lock_guard lock(mutex_);
  if (stopped_)
    return;
  base::TimePoint now = clock_.now();
  std::set<std::string> wanted;
  for (const auto& [name, pool] : config.body->set.pools()) {
    std::vector<membership::PeerLocation> sidecars;
    for (const config::PoolServer& server : pool.servers)
      sidecars.push_back({server.address, server.data_centre});
    if (!pool.service.empty()) {
      for (const auto& [address, listed] : instances_) {
        if (listed.instance.service == pool.service)
          sidecars.push_back({address, listed.instance.data_centre});
      }
    }
    std::map<std::string, std::string> data_centres;
    for (const membership::PeerLocation& sidecar : sidecars)
      data_centres[sidecar.name] = sidecar.data_centre;
    for (const std::string& address :
         subset_picker_.Pick(self, entries, sidecars)) {
      wanted.insert(address);
      AddServer(address, name, data_centres[address]);
    }
  }
  std::int64_t used = 0;
  for (auto& [address, server] : servers_) {
    server.in_use = server.client && wanted.contains(address);
    used += server.in_use ? 1 : 0;
    if (!server.client)
      continue;
    Pool& pool = FindOrCreatePool(server.pool);
    bool eligible = server.in_use && !server.report.incarnation.empty() &&
                    server.report.server_reachable &&
                    instance_view_.AcceptsWork(address, now);
    pool.load.SetQuarantined(server.index, !eligible);
  }
  servers_gauge_.Set(used);
}

void ServerDirectory::ExchangeReports(base::Duration timeout) {
  ConfigView config = config_.Peek();
  std::uint64_t version =
      config.body ? static_cast<std::uint64_t>(config.body->version.number) : 0;
  std::vector<std::pair<std::string, std::shared_ptr<protocol::NodeClient>>>
      targets;
  {
    std::lock_guard lock(mutex_);
    for (auto& [address, server] : servers_) {
      if (!server.in_use || std::exchange(server.report_pending, true))
        continue;
      targets.emplace_back(address, server.client);
    }
  }
  for (auto& [address, client] : targets) {
    base::TimePoint sent = clock_.now();
    client->Report(version, timeout,
                   [this, address = address,
                    sent](protocol::Outcome<protocol::LoadReport> outcome) {
                     OnReport(address, sent, std::move(outcome));
                   });
  }
}

void ServerDirectory::OnReport(
    const std::string& address,
    base::TimePoint sent,
    protocol::Outcome<protocol::LoadReport> outcome) {
  std::optional<Server> reported;
  {
    std::lock_guard lock(mutex_);
    auto found = servers_.find(address);
    if (found == servers_.end() || stopped_)
      return;
    Server& server = found->second;
    server.report_pending = false;
    if (outcome.error) {
      report_failures_.Add();
      // A peer that stopped answering can leave a half-open connection.
      if (outcome.error->code == base::ErrorCode::kTimeout)
        server.client->Reset();
      return;
    }
    reports_.Add();
    base::TimePoint now = clock_.now();
    bool restarted = !server.report.incarnation.empty() &&
                     server.report.incarnation != outcome.value.incarnation;
    server.report = std::move(outcome.value);
    server.report_requested_at = sent;
    server.report_received_at = now;
    const protocol::LoadReport& report = server.report;
    instance_view_.OnReport({address, report.incarnation, report.leaving}, sent,
                            now);
    Pool& pool = FindOrCreatePool(server.pool);
    if (restarted)
      pool.cache.OnServerReset(server.index);
    scheduling::LoadReport load;
    load.backlog_tokens = static_cast<double>(report.backlog_tokens);
    load.service_rate = report.tokens_per_second;
    load.slowness = report.slowness;
    load.leaving = report.leaving;
    pool.load.OnReport(server.index, load, now);
    pool.load.SetQuarantined(
        server.index,
        !report.server_reachable || !instance_view_.AcceptsWork(address, now));
    reported = server;
  }
  PushConfig(*reported);
}

void ServerDirectory::PushConfig(const Server& server) {
  ConfigView config = config_.Peek();
  if (!config.body)
    return;
  auto version = static_cast<std::uint64_t>(config.body->version.number);
  if (server.report.config_version >= version)
    return;
  server.client->Configure(version, *config.encoded_body, kConfigureTimeout,
                           [](const protocol::Outcome<std::uint64_t>&) {});
}

std::optional<ServerChoice> ServerDirectory::Choose(const ServerQuery& query) {
  std::lock_guard lock(mutex_);
  Pool& pool = FindOrCreatePool(query.pool);
  scheduling::CallProfile profile;
  profile.program = ProgramKeyFor(query.program);
  profile.prompt_tokens = query.prompt_tokens;
  profile.output_tokens = query.output_tokens;
  base::TimePoint now = clock_.now();
  profile.holders = pool.cache.Holders(profile.program, now);
  for (ServerIndex i = 0; i < pool.slots.size(); ++i) {
    const std::string& address = pool.slots[i];
    if (std::find(query.excluded.begin(), query.excluded.end(), address) !=
        query.excluded.end())
      profile.excluded.push_back(i);
    if (!query.required_server.empty() && address == query.required_server)
      profile.only_server = i;
  }
  std::vector<scheduling::Candidate> candidates;
  pool.load.Candidates(now, &candidates);
  candidates.resize(pool.slots.size());
  auto position = pool.picker->Pick(candidates, profile, random_);
  if (!position)
    return std::nullopt;
  const scheduling::Candidate& chosen = candidates[*position];
  const Server& server = servers_.at(pool.slots.at(chosen.server));
  ServerChoice choice;
  choice.address = server.address;
  choice.incarnation = server.report.incarnation;
  choice.index = server.index;
  choice.client = server.client;
  double rate = std::max(1.0, chosen.service_rate / chosen.slowness);
  choice.expected_wait =
      std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(
          (chosen.backlog_tokens + chosen.sent_tokens) / rate));
  return choice;
}

std::shared_ptr<protocol::NodeClient> ServerDirectory::ClientFor(
    const std::string& address) {
  std::lock_guard lock(mutex_);
  auto found = servers_.find(address);
  if (found != servers_.end() && found->second.client)
    return found->second.client;
  auto& client = other_clients_[address];
  if (!client && !stopped_) {
    client = std::make_shared<protocol::NodeClient>(
        loop_, protocol::NodeClientSettings{address, shared_key_});
  }
  return client;
}

bool ServerDirectory::HasEnded(const std::string& address,
                               const std::string& incarnation) const {
  std::lock_guard lock(mutex_);
  return instance_view_.IncarnationEnded(address, incarnation, clock_.now());
}

void ServerDirectory::OnSend(const ServerQuery& query,
                             const ServerChoice& choice) {
  std::lock_guard lock(mutex_);
  Pool& pool = FindOrCreatePool(query.pool);
  base::TimePoint now = clock_.now();
  double work =
      query.prompt_tokens + scheduling::kDecodeWeight * query.output_tokens;
  pool.load.OnSend(choice.index, work, now);
  pool.cache.OnDispatch(ProgramKeyFor(query.program), choice.index, now);
}

void ServerDirectory::OnEnd(const std::string& pool,
                            const ServerChoice& choice) {
  std::lock_guard lock(mutex_);
  FindOrCreatePool(pool).load.OnEnd(choice.index);
}

void ServerDirectory::OnResult(const ServerQuery& query,
                               const ServerChoice& choice,
                               double cached_tokens) {
  std::lock_guard lock(mutex_);
  FindOrCreatePool(query.pool)
      .cache.OnResult(ProgramKeyFor(query.program), choice.index, cached_tokens,
                      clock_.now());
}

void ServerDirectory::OnOutputLength(int program_class, double tokens) {
  std::lock_guard lock(mutex_);
  output_lengths_.OnLength(program_class, tokens);
}

double ServerDirectory::ExpectedOutputLength(int program_class) const {
  std::lock_guard lock(mutex_);
  return output_lengths_.ExpectedLength(program_class);
}

void ServerDirectory::EndProgram(const std::string& program) {
  std::lock_guard lock(mutex_);
  for (auto& [name, pool] : pools_)
    pool->cache.EndProgram(ProgramKeyFor(program));
}

void ServerDirectory::MarkLeaving(const std::string& address) {
  std::lock_guard lock(mutex_);
  auto found = servers_.find(address);
  if (found != servers_.end() && found->second.client)
    FindOrCreatePool(found->second.pool)
        .load.SetLeaving(found->second.index, true);
}

std::optional<base::Duration> ServerDirectory::TryRetry(
    const std::string& pool,
    base::TimePoint deadline,
    int attempt) {
  std::lock_guard lock(mutex_);
  return FindOrCreatePool(pool).retry_budget.TryRetry(clock_.now(), deadline,
                                                      attempt, random_);
}

void ServerDirectory::OnSuccess(const std::string& pool) {
  std::lock_guard lock(mutex_);
  FindOrCreatePool(pool).retry_budget.OnSuccess();
}

std::vector<Server> ServerDirectory::servers() const {
  std::lock_guard lock(mutex_);
  std::vector<Server> servers;
  for (const auto& [address, server] : servers_) {
    if (server.in_use)
      servers.push_back(server);
  }
  return servers;
}

membership::InstanceState ServerDirectory::state(
    const std::string& address) const {
  std::lock_guard lock(mutex_);
  return instance_view_.state(address, clock_.now());
}

void ServerDirectory::Stop() {
  std::map<std::string, Server> servers;
  std::map<std::string, std::shared_ptr<protocol::NodeClient>> other_clients;
  {
    std::lock_guard lock(mutex_);
    stopped_ = true;
    servers.swap(servers_);
    other_clients.swap(other_clients_);
  }
}

}  // namespace vanillalever::entry
