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
#include "vanillalever/http/address.h"

namespace vanillalever::forwarding {
namespace {

using boost::asio::ip::udp;
namespace wire = protocol::peer;

constexpr const char* kTable = "gateways";
// Servers in one message, so that it fits into one packet.
constexpr std::size_t kMaxServers = 60;
// Prompt parts in one message, for the same reason.
constexpr std::size_t kMaxPromptParts = 40;

std::uint64_t KeyOf(const std::string& server_id) {
  return base::Hash64(server_id);
}

std::optional<udp::endpoint> UdpEndpoint(const std::string& address) {
  auto endpoint = http::ParseAddress(address);
  if (!endpoint)
    return std::nullopt;
  return udp::endpoint(endpoint->address(), endpoint->port());
}

std::string AddressText(const udp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

PromptChain ChainOf(const wire::Prompt::Reader& prompt) {
  PromptChain chain;
  auto keys = prompt.getKeys();
  auto tokens = prompt.getTokens();
  unsigned size = std::min(keys.size(), tokens.size());
  for (unsigned i = 0; i < size; ++i)
    chain.links.push_back({keys[i], tokens[i]});
  return chain;
}

std::string Pack(capnp::MessageBuilder& message) {
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, message);
  auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

}  // namespace

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
    throw base::NotRun(base::ErrorCode::kUnavailable, base::Step::kConnect,
                       "cannot bind for datagrams: " + error.message(),
                       settings_.address);
  }
  Receive();
  Tick();
}

void PeerLink::Register() {
  TableWrite write;
  write.name = {kTable, "", settings_.address};
  write.value = base::HexString(id_);
  table_.Write(std::move(write), [this](const WriteResult& result) {
    // A row that exists already belongs to a run at this address that did not
    // stop by itself.
    if (result.outcome == StoreOutcome::kDone)
      start_ = PeerStart::kClean;
    if (result.outcome == StoreOutcome::kConflict)
      start_ = PeerStart::kAfterFailure;
  });
}

void PeerLink::List() {
  next_list_ =
      base::TimePoint::clock::now() +
      (listed_ ? settings_.list_interval : settings_.first_list_interval);
  if (start_ == PeerStart::kUnknown)
    Register();
  table_.List(kTable, "",
              [this](const ReadResult& result) { OnListed(result); });
}

void PeerLink::OnListed(const ReadResult& result) {
  if (result.outcome != StoreOutcome::kDone)
    return;
  if (!std::exchange(listed_, true))
    next_list_ = base::TimePoint::clock::now() + settings_.list_interval;
  for (const TableRow& row : result.rows) {
    if (row.name.key != settings_.address && http::ParseAddress(row.name.key))
      directory_.AddAddress(row.name.key);
  }
  SendAll();
}

void PeerLink::Leave() {
  table_.Read({kTable, "", settings_.address}, [this](const ReadResult& read) {
    if (read.outcome != StoreOutcome::kDone || read.rows.empty())
      return;
    TableWrite write;
    write.name = {kTable, "", settings_.address};
    write.expected_version = read.rows.front().version;
    table_.Write(std::move(write), [](const WriteResult&) {});
  });
}

void PeerLink::OnLoadChanged(const ServerSlot& slot) {
  changed_.insert(slot.server.id);
  ScheduleSend();
}

void PeerLink::OnPromptSent(const ServerSlot& slot, const PromptChain& chain) {
  if (chain.links.empty())
    return;
  sent_prompts_.push_back({KeyOf(slot.server.id), chain});
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

std::string PeerLink::Relay() const {
  if (directory_.live() <= settings_.direct_peers)
    return "";
  return directory_.Strongest(settings_.address, settings_.processor);
}

base::Duration PeerLink::Window() const {
  auto bounded = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(static_cast<double>(directory_.live()) /
                                    settings_.datagrams_per_second));
  return std::max<base::Duration>(settings_.window, bounded);
}

void PeerLink::ScheduleSend() {
  if (std::exchange(send_scheduled_, true))
    return;
  send_timer_.expires_after(Window());
  send_timer_.async_wait([this](boost::system::error_code error) {
    send_scheduled_ = false;
    if (error)
      return;
    SendChanges();
    SendPrompts();
    SendRelay();
  });
}

std::string PeerLink::PackLoad(const std::vector<ServerSlotPtr>& slots,
                               bool complete) {
  // What does not fit follows with later changes.
  std::size_t count = std::min(slots.size(), kMaxServers);
  capnp::MallocMessageBuilder builder;
  auto message = StartMessage(builder);
  auto load = message.initLoad();
  load.setComplete(complete && count == slots.size());
  auto servers = load.initServers(static_cast<unsigned>(count));
  for (unsigned i = 0; i < count; ++i) {
    ToldLoad own = OwnLoad(*slots[i]);
    // Complete messages repeat what is open; outcomes count once.
    if (complete)
      own.outcomes = {};
    WriteLoad(KeyOf(slots[i]->server.id), own, servers[i]);
  }
  return Pack(builder);
}

PeerLink::ToldLoad PeerLink::OwnLoad(const ServerSlot& slot) const {
  ToldLoad load;
  load.open = static_cast<std::uint16_t>(slot.load.local_open());
  load.prefill_tokens =
      static_cast<std::uint32_t>(slot.load.local_prefill_tokens());
  if (auto found = slowness_.find(slot.server.id); found != slowness_.end())
    load.slowness = found->second;
  if (auto found = outcomes_.find(slot.server.id); found != outcomes_.end())
    load.outcomes = found->second;
  return load;
}

PeerLink::ToldLoad PeerLink::ReadLoad(const wire::ServerLoad::Reader& entry) {
  return {entry.getOpen(),
          entry.getPrefillTokens(),
          entry.getSlowness(),
          {entry.getAnswered(), entry.getFailed()}};
}

void PeerLink::WriteLoad(std::uint64_t server,
                         const ToldLoad& load,
                         wire::ServerLoad::Builder entry) {
  entry.setServer(server);
  entry.setOpen(load.open);
  entry.setPrefillTokens(load.prefill_tokens);
  entry.setSlowness(load.slowness);
  entry.setAnswered(static_cast<std::uint16_t>(load.outcomes.answered));
  entry.setFailed(static_cast<std::uint16_t>(load.outcomes.failed));
}

void PeerLink::PassOn(PeerId origin,
                      std::uint64_t server,
                      const ToldLoad& load) {
  ToldLoad& waiting = relay_[{origin, server}];
  // Newer counts replace older ones; outcomes add up.
  RequestOutcomes before = waiting.outcomes;
  waiting = load;
  waiting.outcomes.answered += before.answered;
  waiting.outcomes.failed += before.failed;
}

void PeerLink::SendAll() {
  SendToEach(directory_.addresses(), PackLoad(registry_.busy(), true));
}

void PeerLink::SendChanges() {
  std::vector<ServerSlotPtr> slots;
  for (const std::string& id : std::exchange(changed_, {})) {
    if (ServerSlotPtr slot = registry_.find(id))
      slots.push_back(std::move(slot));
  }
  if (slots.empty())
    return;
  std::string relay = Relay();
  if (relay == settings_.address) {
    for (const ServerSlotPtr& slot : slots)
      PassOn(id_, KeyOf(slot->server.id), OwnLoad(*slot));
  } else {
    std::string datagram = PackLoad(slots, false);
    if (relay.empty())
      SendToEach(directory_.addresses(), datagram);
    else
      SendTo(relay, datagram);
  }
  slowness_.clear();
  outcomes_.clear();
}

std::size_t PeerLink::PromptsThatFit(const std::vector<SentPrompt>& prompts) {
  std::size_t parts = 0;
  std::size_t count = 0;
  for (const SentPrompt& prompt : prompts) {
    parts += prompt.chain.links.size();
    // A very long chain goes alone.
    if (count > 0 && parts > kMaxPromptParts)
      break;
    ++count;
  }
  return count;
}

void PeerLink::PackPrompts(std::vector<SentPrompt>& from,
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
  std::string relay = Relay();
  if (relay == settings_.address) {
    std::move(sent_prompts_.begin(), sent_prompts_.end(),
              std::back_inserter(relay_prompts_));
    sent_prompts_.clear();
  }
  while (!sent_prompts_.empty()) {
    capnp::MallocMessageBuilder builder;
    auto message = StartMessage(builder);
    PackPrompts(sent_prompts_, message.initPrompts(static_cast<unsigned>(
                                   PromptsThatFit(sent_prompts_))));
    std::string datagram = Pack(builder);
    if (relay.empty())
      SendToEach(directory_.live_addresses(), datagram);
    else
      SendTo(relay, datagram);
  }
}

void PeerLink::SendRelay() {
  while (!relay_.empty() || !relay_prompts_.empty()) {
    capnp::MallocMessageBuilder builder;
    auto message = StartMessage(builder);
    // Entries are in order of their origin.
    std::vector<std::pair<PeerId, unsigned>> origins;
    std::size_t count = 0;
    for (const auto& [key, load] : relay_) {
      if (count++ == kMaxServers)
        break;
      if (origins.empty() || origins.back().first != key.first)
        origins.emplace_back(key.first, 0);
      ++origins.back().second;
    }
    auto relayed = message.initRelayed(static_cast<unsigned>(origins.size()));
    auto next = relay_.begin();
    for (unsigned i = 0; i < origins.size(); ++i) {
      relayed[i].setOrigin(origins[i].first);
      auto servers = relayed[i].initServers(origins[i].second);
      for (unsigned k = 0; k < origins[i].second; ++k, ++next)
        WriteLoad(next->first.second, next->second, servers[k]);
    }
    relay_.erase(relay_.begin(), next);
    PackPrompts(relay_prompts_,
                message.initRelayedPrompts(
                    static_cast<unsigned>(PromptsThatFit(relay_prompts_))));
    SendToEach(directory_.live_addresses(), Pack(builder));
  }
}

void PeerLink::SendTo(const std::string& address, const std::string& datagram) {
  auto endpoint = UdpEndpoint(address);
  boost::system::error_code ignored;
  // A full socket buffer loses the message like the network does.
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
  message.setProcessor(static_cast<std::uint16_t>(settings_.processor));
  return message;
}

BudgetHome PeerLink::Ask(const BudgetAsk& ask) {
  if (minority())
    return BudgetHome::kNone;
  // The gateway with the highest random weight grants this program's tokens.
  std::string home = settings_.address;
  std::uint64_t best = base::Hash64(ask.program, base::Hash64(home));
  for (const std::string& address : directory_.live_addresses()) {
    std::uint64_t weight = base::Hash64(ask.program, base::Hash64(address));
    if (weight > best) {
      best = weight;
      home = address;
    }
  }
  if (home == settings_.address)
    return BudgetHome::kHere;
  capnp::MallocMessageBuilder builder;
  auto message = StartMessage(builder);
  auto body = message.initBudgetAsk();
  body.setAsk(ask.ask);
  body.setProgram(ask.program);
  body.setBudget(static_cast<std::uint32_t>(ask.budget));
  body.setTokens(static_cast<std::uint32_t>(ask.tokens));
  body.setReserved(static_cast<std::uint32_t>(ask.reserved));
  body.setAdvanced(static_cast<std::uint32_t>(ask.advanced));
  SendTo(home, Pack(builder));
  return BudgetHome::kOther;
}

std::string PeerLink::PackGive(const BudgetGive& give) {
  capnp::MallocMessageBuilder builder;
  auto message = StartMessage(builder);
  auto body = message.initBudgetGive();
  body.setAsk(give.ask);
  body.setProgram(give.program);
  body.setTokens(static_cast<std::uint32_t>(give.tokens));
  body.setReserved(static_cast<std::uint32_t>(give.reserved));
  body.setAdvanced(static_cast<std::uint32_t>(give.advanced));
  return Pack(builder);
}

bool PeerLink::CallIn(const BudgetCallIn& call) {
  capnp::MallocMessageBuilder builder;
  auto body = StartMessage(builder).initBudgetCallIn();
  body.setCall(call.call);
  body.setProgram(call.program);
  body.setReserved(static_cast<std::uint32_t>(call.reserved));
  std::vector<std::string> addresses = directory_.live_addresses();
  SendToEach(addresses, Pack(builder));
  return !addresses.empty();
}

void PeerLink::OnBudgetMessage(const wire::Message::Reader& message) {
  auto reply = [this, address = AddressText(from_)](const BudgetGive& give) {
    SendTo(address, PackGive(give));
  };
  if (message.hasBudgetAsk()) {
    auto body = message.getBudgetAsk();
    BudgetAsk ask{body.getAsk(),    body.getProgram(),  body.getBudget(),
                  body.getTokens(), body.getReserved(), body.getAdvanced()};
    budgets_->OnAsk(ask, reply);
  }
  if (message.hasBudgetGive()) {
    auto body = message.getBudgetGive();
    budgets_->OnGive({body.getAsk(), message.getSender(), body.getProgram(),
                      body.getTokens(), body.getReserved(),
                      body.getAdvanced()});
  }
  if (message.hasBudgetCallIn()) {
    auto body = message.getBudgetCallIn();
    budgets_->OnCallIn({body.getCall(), body.getProgram(), body.getReserved()},
                       reply);
  }
}

void PeerLink::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(datagram_), from_,
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
    bool newest = directory_.OnMessage(AddressText(from_), message.getSender(),
                                       message.getSequence(), now);
    if (budgets_ != nullptr)
      OnBudgetMessage(message);
    if (!newest)
      return;
    directory_.SetProcessor(AddressText(from_), message.getProcessor());
    auto load = message.getLoad();
    if (load.getComplete())
      registry_.RemovePeer(message.getSender());
    bool relays = !load.getComplete() && Relay() == settings_.address;
    for (auto entry : load.getServers()) {
      TakeLoad(message.getSender(), entry, now);
      if (relays)
        PassOn(message.getSender(), entry.getServer(), ReadLoad(entry));
    }
    for (auto prompt : message.getPrompts())
      TakePrompt(prompt);
    for (auto prompt : message.getRelayedPrompts())
      TakePrompt(prompt);
    if (message.getPrompts().size() > 0 && Relay() == settings_.address) {
      for (auto prompt : message.getPrompts())
        relay_prompts_.push_back({prompt.getServer(), ChainOf(prompt)});
    }
    if (!relay_.empty() || !relay_prompts_.empty())
      ScheduleSend();
    for (auto relayed : message.getRelayed()) {
      if (relayed.getOrigin() == id_)
        continue;
      for (auto entry : relayed.getServers())
        TakeLoad(relayed.getOrigin(), entry, now);
    }
  } catch (const kj::Exception& error) {
    base::LogEvent(base::LogLevel::kWarning, "peer_message_malformed",
                   {{"peer", AddressText(from_)},
                    {"reason", error.getDescription().cStr()}});
  }
}

void PeerLink::TakePrompt(const wire::Prompt::Reader& prompt) {
  ServerSlotPtr slot = registry_.find_by_id_hash(prompt.getServer());
  if (slot && prompts_ != nullptr)
    prompts_->OnPeerPrompt(*slot, ChainOf(prompt));
}

void PeerLink::TakeLoad(PeerId origin,
                        const wire::ServerLoad::Reader& entry,
                        base::TimePoint now) {
  ServerSlotPtr slot = registry_.find_by_id_hash(entry.getServer());
  if (!slot)
    return;
  ToldLoad load = ReadLoad(entry);
  slot->load.OnPeerLoad(
      origin,
      {.open = load.open, .prefill_tokens = load.prefill_tokens, .received_at = now});
  if (load.outcomes.answered + load.outcomes.failed > 0)
    slot->load.OnOutcomes(load.outcomes, now);
  if (load.slowness > 0)
    slot->load.OnSlowness(load.slowness / 100.0, now);
}

void PeerLink::Tick() {
  auto now = base::TimePoint::clock::now();
  for (PeerId gone : directory_.TakeGone(now)) {
    base::LogEvent(base::LogLevel::kInfo, "peer_lost",
                   {{"peer", base::HexString(gone)},
                    {"live", std::to_string(directory_.live())}});
    ++peers_lost_;
    registry_.RemovePeer(gone);
  }
  if (now >= next_list_)
    List();
  SendAll();
  tick_timer_.expires_after(settings_.interval);
  tick_timer_.async_wait([this](boost::system::error_code error) {
    if (!error)
      Tick();
  });
}

}  // namespace vanillalever::forwarding
