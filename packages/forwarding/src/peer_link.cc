#include "vanillalever/forwarding/peer_link.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <boost/asio/buffer.hpp>

#include "vanillalever/base/error.h"
#include "vanillalever/base/hash.h"
#include "vanillalever/base/logging.h"
#include "vanillalever/forwarding/allotment_codec.h"
#include "vanillalever/forwarding/server_log.h"
#include "vanillalever/http/address.h"
#include "vanillalever/protocol/packed_message.h"

namespace vanillalever::forwarding {
namespace {

using boost::asio::ip::udp;
namespace wire = protocol::peer;
using protocol::Pack;

// Servers in one message, so that it fits into one packet.
constexpr std::size_t kMaxServers = 40;
// Prompt parts in one message, so that it fits into one packet.
constexpr std::size_t kMaxPromptParts = 40;

std::uint64_t ServerKey(const std::string& server_id) {
  return base::Hash64(server_id);
}

std::optional<udp::endpoint> UdpEndpoint(const std::string& address) {
  auto endpoint = http::ParseAddress(address);
  if (!endpoint)
    return std::nullopt;
  return udp::endpoint(endpoint->address(), endpoint->port());
}

PromptChain ReadChain(const wire::Prompt::Reader& prompt) {
  PromptChain chain;
  auto keys = prompt.getKeys();
  auto tokens = prompt.getTokens();
  unsigned size = std::min(keys.size(), tokens.size());
  for (unsigned i = 0; i < size; ++i)
    chain.links.push_back({keys[i], tokens[i]});
  return chain;
}

}  // namespace

std::string PeerLink::AddressText(const udp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

PeerLink::PeerLink(boost::asio::io_context& context,
                   PeerLinkSettings settings,
                   SharedTable& table,
                   ServerRegistry& registry,
                   std::uint64_t seed)
    : socket_(context),
      send_timer_(context),
      tick_timer_(context),
      settings_(std::move(settings)),
      table_(table),
      registry_(registry),
      id_(seed | 1) {}

void PeerLink::Start() {
  auto endpoint = UdpEndpoint(settings_.address);
  boost::system::error_code error = boost::asio::error::invalid_argument;
  if (endpoint) {
    socket_.open(udp::v4(), error);
    if (!error)
      socket_.non_blocking(true, error);
    if (!error)
      socket_.bind(*endpoint, error);
  }
  if (error) {
    throw base::NotRunError(
        base::ErrorCode::kUnavailable, base::Step::kConnect,
        "cannot bind the datagram socket: " + error.message(),
        settings_.address);
  }
  Receive();
  Tick();
}

void PeerLink::OnLoadChanged(const ServerSlot& slot) {
  changed_servers_.insert(slot.server.id);
  ScheduleSend();
}

void PeerLink::AnnounceLoad(const ServerSlot& slot) {
  changed_servers_.insert(slot.server.id);
  SendLoadChanges();
}

void PeerLink::ShareRates() {
  registry_.SetReachableShare(
      directory_.ReachableShare(base::TimePoint::clock::now()));
  registry_.RankGateways(settings_.address, directory_.live_addresses());
}

void PeerLink::OnPromptSent(const ServerSlot& slot, const PromptChain& chain) {
  if (chain.links.empty())
    return;
  unsent_prompts_.push_back({ServerKey(slot.server.id), chain});
  ScheduleSend();
}

void PeerLink::OnSlowness(const ServerSlot& slot, double slowness) {
  slowness_[slot.server.id] =
      static_cast<std::uint16_t>(std::clamp(slowness * 100, 1.0, 60000.0));
}

void PeerLink::OnOutcome(const ServerSlot& slot, bool failed) {
  RequestOutcomes& outcomes = outcomes_[slot.server.id];
  ++(failed ? outcomes.failed : outcomes.answered);
}

void PeerLink::SetStoreReachable(bool reachable) {
  reaches_store_ = reachable;
  if (!reachable)
    store_lost_at_ = base::TimePoint::clock::now();
  // The others stop calling the store through this gateway at once.
  SendFullLoad();
}

std::string PeerLink::RelayAddress() const {
  if (directory_.live() <= settings_.max_direct_peers)
    return "";
  return directory_.Strongest(settings_.address, settings_.cpu_millicores);
}

base::Duration PeerLink::BatchDelay() const {
  auto bounded = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(static_cast<double>(directory_.live()) /
                                    settings_.max_datagrams_per_second));
  return std::max<base::Duration>(settings_.batch_delay, bounded);
}

base::Duration PeerLink::news_age() const {
  // A relay adds half of its own batch delay on average.
  bool relayed = directory_.live() > settings_.max_direct_peers;
  return relayed ? BatchDelay() * 3 / 2 : BatchDelay();
}

void PeerLink::ScheduleSend() {
  if (std::exchange(send_scheduled_, true))
    return;
  send_timer_.expires_after(BatchDelay());
  send_timer_.async_wait([this](boost::system::error_code error) {
    send_scheduled_ = false;
    if (error)
      return;
    SendLoadChanges();
    SendPrompts();
    SendRelayed();
  });
}

std::vector<std::string> PeerLink::PackLoad(
    const std::vector<ServerSlotPtr>& slots,
    std::vector<OriginUse> uses,
    bool complete) {
  auto now = base::TimePoint::clock::now();
  std::vector<std::string> datagrams;
  std::size_t first = 0;
  do {
    std::size_t count = std::min(slots.size() - first, kMaxServers);
    capnp::MallocMessageBuilder builder;
    auto message = StartMessage(builder);
    auto load = message.initLoad();
    load.setComplete(complete && first == 0);
    load.setContinued(complete && first > 0);
    auto servers = load.initServers(static_cast<unsigned>(count));
    for (unsigned i = 0; i < count; ++i) {
      const ServerSlot& slot = *slots[first + i];
      LoadUpdate update = LocalLoad(slot, now);
      // Complete messages repeat the open load; outcomes must count only once.
      if (complete)
        update.outcomes = {};
      WriteLoad(ServerKey(slot.server.id), update, now, servers[i]);
    }
    MoveUses(uses, message);
    datagrams.push_back(Pack(builder));
    first += count;
  } while (first < slots.size() || !uses.empty());
  return datagrams;
}

LoadUpdate PeerLink::LocalLoad(const ServerSlot& slot,
                               base::TimePoint now) const {
  LoadUpdate load;
  load.open = static_cast<std::uint16_t>(slot.load.local_open());
  load.suspects = static_cast<std::uint16_t>(slot.load.local_suspects());
  load.prefill_tokens =
      static_cast<std::uint32_t>(slot.load.local_prefill_tokens());
  if (auto found = slowness_.find(slot.server.id); found != slowness_.end())
    load.slowness = found->second;
  if (auto found = outcomes_.find(slot.server.id); found != outcomes_.end())
    load.outcomes = found->second;
  if (slot.leaving)
    load.leaving_run = slot.server.started_at_ms;
  load.rate = slot.rate_limit.recent_statement(now);
  load.sends = slot.rate_limit.sends();
  return load;
}

void PeerLink::SendFullLoad() {
  auto now = base::TimePoint::clock::now();
  std::vector<OriginUse> uses;
  if (allotments_ != nullptr)
    uses = OwnUses(allotments_->Repeated(now));
  for (const std::string& datagram :
       PackLoad(registry_.announced(now), std::move(uses), true))
    SendToEach(directory_.addresses(), datagram);
}

void PeerLink::SendLoadChanges() {
  std::vector<ServerSlotPtr> slots;
  for (const std::string& id : std::exchange(changed_servers_, {})) {
    if (ServerSlotPtr slot = registry_.find(id))
      slots.push_back(std::move(slot));
  }
  std::vector<OriginUse> uses;
  if (allotments_ != nullptr)
    uses = OwnUses(allotments_->TakeChanges());
  if (slots.empty() && uses.empty())
    return;
  auto now = base::TimePoint::clock::now();
  std::string relay = RelayAddress();
  if (relay == settings_.address) {
    for (const OriginUse& own : uses)
      relayed_uses_[{id_, own.use.organisation}] = own.use;
    for (const ServerSlotPtr& slot : slots)
      ReplaceLoad(LocalLoad(*slot, now),
                  &relayed_loads_[{id_, ServerKey(slot->server.id)}]);
  } else {
    for (const std::string& datagram :
         PackLoad(slots, std::move(uses), false)) {
      if (relay.empty())
        SendToEach(directory_.addresses(), datagram);
      else
        SendTo(relay, datagram);
    }
  }
  slowness_.clear();
  outcomes_.clear();
}

std::size_t PeerLink::CountFittingPrompts(
    const std::vector<PromptUpdate>& prompts) {
  std::size_t parts = 0;
  std::size_t count = 0;
  for (const PromptUpdate& prompt : prompts) {
    parts += prompt.chain.links.size();
    // A chain above the limit is sent in a separate message.
    if (count > 0 && parts > kMaxPromptParts)
      break;
    ++count;
  }
  return count;
}

void PeerLink::PackPrompts(std::vector<PromptUpdate>& from,
                           capnp::List<wire::Prompt>::Builder to) {
  for (unsigned i = 0; i < to.size(); ++i) {
    const auto& links = from[i].chain.links;
    auto size = static_cast<unsigned>(std::min(links.size(), kMaxPromptParts));
    to[i].setServer(from[i].server);
    auto keys = to[i].initKeys(size);
    auto tokens = to[i].initTokens(size);
    for (unsigned k = 0; k < size; ++k) {
      keys.set(k, links[k].key);
      tokens.set(k, static_cast<std::uint32_t>(links[k].tokens));
    }
  }
  from.erase(from.begin(), from.begin() + to.size());
}

void PeerLink::SendPrompts() {
  std::string relay = RelayAddress();
  if (relay == settings_.address) {
    std::move(unsent_prompts_.begin(), unsent_prompts_.end(),
              std::back_inserter(relayed_prompts_));
    unsent_prompts_.clear();
  }
  while (!unsent_prompts_.empty()) {
    capnp::MallocMessageBuilder builder;
    auto message = StartMessage(builder);
    PackPrompts(unsent_prompts_, message.initPrompts(static_cast<unsigned>(
                                     CountFittingPrompts(unsent_prompts_))));
    std::string datagram = Pack(builder);
    if (relay.empty())
      SendToEach(directory_.live_addresses(), datagram);
    else
      SendTo(relay, datagram);
  }
}

void PeerLink::SendRelayed() {
  auto now = base::TimePoint::clock::now();
  std::vector<OriginUse> uses = TakeRelayedUses();
  while (!relayed_loads_.empty() || !relayed_prompts_.empty() ||
         !uses.empty()) {
    capnp::MallocMessageBuilder builder;
    auto message = StartMessage(builder);
    // Loads are ordered by origin.
    std::vector<std::pair<PeerId, unsigned>> origins;
    std::size_t count = 0;
    for (const auto& [key, load] : relayed_loads_) {
      if (count++ == kMaxServers)
        break;
      if (origins.empty() || origins.back().first != key.first)
        origins.emplace_back(key.first, 0);
      ++origins.back().second;
    }
    auto relayed = message.initRelayed(static_cast<unsigned>(origins.size()));
    auto next = relayed_loads_.begin();
    for (unsigned i = 0; i < origins.size(); ++i) {
      relayed[i].setOrigin(origins[i].first);
      auto servers = relayed[i].initServers(origins[i].second);
      for (unsigned k = 0; k < origins[i].second; ++k, ++next)
        WriteLoad(next->first.second, next->second, now, servers[k]);
    }
    relayed_loads_.erase(relayed_loads_.begin(), next);
    MoveUses(uses, message);
    PackPrompts(relayed_prompts_,
                message.initRelayedPrompts(static_cast<unsigned>(
                    CountFittingPrompts(relayed_prompts_))));
    SendToEach(directory_.live_addresses(), Pack(builder));
  }
}

void PeerLink::SendTo(const std::string& address, const std::string& datagram) {
  auto endpoint = UdpEndpoint(address);
  boost::system::error_code ignored;
  // Sending is best effort: a full socket buffer drops the datagram.
  if (endpoint)
    socket_.send_to(boost::asio::buffer(datagram), *endpoint, 0, ignored);
}

void PeerLink::SendToEach(const std::vector<std::string>& addresses,
                          const std::string& datagram) {
  for (const std::string& address : addresses)
    SendTo(address, datagram);
}

wire::Message::Builder PeerLink::StartMessage(capnp::MessageBuilder& builder) {
  auto message = builder.initRoot<wire::Message>();
  message.setSender(id_);
  message.setSequence(++sequence_);
  message.setReachesStore(reaches_store_);
  message.setProcessor(static_cast<std::uint16_t>(settings_.cpu_millicores));
  return message;
}

void PeerLink::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(datagram_), sender_endpoint_,
      [this](boost::system::error_code error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted)
          return;
        if (!error)
          OnDatagram(size);
        Receive();
      });
}

void PeerLink::OnDatagram(std::size_t size) {
  auto now = base::TimePoint::clock::now();
  try {
    kj::ArrayInputStream stream(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(datagram_.data()), size));
    capnp::PackedMessageReader reader(stream);
    auto message = reader.getRoot<wire::Message>();
    bool newest =
        directory_.OnMessage(AddressText(sender_endpoint_), message.getSender(),
                             message.getSequence(), now);
    if (budgets_ != nullptr)
      OnBudgetMessage(message);
    OnStrikes(message);
    if (!newest)
      return;
    directory_.SetReachesStore(AddressText(sender_endpoint_),
                               message.getReachesStore());
    directory_.SetCpuMillicores(AddressText(sender_endpoint_),
                                message.getProcessor());
    auto load = message.getLoad();
    if (load.getComplete())
      registry_.RemovePeer(message.getSender());
    bool relays = !load.getComplete() && !load.getContinued() &&
                  RelayAddress() == settings_.address;
    for (auto server : load.getServers()) {
      ApplyLoad(message.getSender(), server, now);
      if (relays)
        ReplaceLoad(ReadLoad(server, now),
                    &relayed_loads_[{message.getSender(), server.getServer()}]);
    }
    for (auto prompt : message.getPrompts())
      ApplyPrompt(prompt);
    for (auto prompt : message.getRelayedPrompts())
      ApplyPrompt(prompt);
    if (message.getPrompts().size() > 0 &&
        RelayAddress() == settings_.address) {
      for (auto prompt : message.getPrompts())
        relayed_prompts_.push_back({prompt.getServer(), ReadChain(prompt)});
    }
    OnAllotments(message, relays);
    if (!relayed_loads_.empty() || !relayed_prompts_.empty() ||
        !relayed_uses_.empty())
      ScheduleSend();
    for (auto relayed : message.getRelayed()) {
      if (relayed.getOrigin() == id_)
        continue;
      for (auto server : relayed.getServers())
        ApplyLoad(relayed.getOrigin(), server, now);
    }
  } catch (const kj::Exception& error) {
    base::LogEvent(base::LogLevel::kWarning, "peer_message_malformed",
                   {{"peer", AddressText(sender_endpoint_)},
                    {"reason", error.getDescription().cStr()}});
  }
}

void PeerLink::ApplyPrompt(const wire::Prompt::Reader& prompt) {
  ServerSlotPtr slot = registry_.find_by_id_hash(prompt.getServer());
  if (slot && prompts_ != nullptr)
    prompts_->OnPeerPrompt(*slot, ReadChain(prompt));
}

void PeerLink::ApplyLoad(PeerId origin,
                         const wire::ServerLoad::Reader& reported,
                         base::TimePoint now) {
  ServerSlotPtr slot = registry_.find_by_id_hash(reported.getServer());
  if (!slot)
    return;
  LoadUpdate load = ReadLoad(reported, now);
  slot->load.OnPeerLoad(origin, {.open = load.open,
                                 .suspects = load.suspects,
                                 .prefill_tokens = load.prefill_tokens,
                                 .received_at = now});
  if (load.outcomes.answered + load.outcomes.failed > 0)
    slot->load.OnOutcomes(load.outcomes, now);
  if (load.slowness > 0)
    slot->load.OnSlowness(load.slowness / 100.0, now);
  if (load.leaving_run &&
      registry_.MarkLeaving(slot->server.id, *load.leaving_run))
    LogLeaving(slot->server.id, "peer");
  if (load.rate) {
    if (slot->rate_limit.OnStatement(*load.rate))
      LogRateLimit(*slot, "peer");
    slot->rate_limit.OnPeerSends(origin, load.sends, now);
  }
}

void PeerLink::Tick() {
  auto now = base::TimePoint::clock::now();
  for (PeerId lost : directory_.TakeLost(now)) {
    base::LogEvent(base::LogLevel::kInfo, "peer_lost",
                   {{"peer", base::HexString(lost)},
                    {"live", std::to_string(directory_.live())}});
    registry_.RemovePeer(lost);
  }
  if (now >= next_list_)
    List();
  SendFullLoad();
  tick_timer_.expires_after(settings_.full_update_interval);
  tick_timer_.async_wait([this](boost::system::error_code error) {
    if (!error)
      Tick();
  });
}

}  // namespace vanillalever::forwarding
