#include "budget_world.h"

namespace vanillalever::forwarding::simulated {
namespace {

constexpr milliseconds kTickInterval{100};
constexpr milliseconds kAnnounceInterval{300};
constexpr seconds kStopTime{1};
// Part of a turn's time limit that it waits for the store.
constexpr milliseconds kTurnWait{1400};

}  // namespace

// Messages of one gateway to the others.
class Peers final : public BudgetPeers {
 public:
  Peers(World& world, RunTimer& timer, std::shared_ptr<Run> run, int address)
      : world_(world), timer_(timer), run_(std::move(run)), address_(address) {
    for (int other = 0; other < world.settings.gateways; ++other) {
      if (other != address)
        directory_.AddAddress(AddressOf(other), world.schedule.now());
    }
  }

  BudgetHandler* handler = nullptr;
  bool reaches = true;
  PreviousExit exit = PreviousExit::kUnknown;
  PeerDirectory& directory() { return directory_; }

  RunId run() const override { return run_->id; }
  PreviousExit previous_exit() const override { return exit; }

  std::size_t Reclaim(const ReclaimRequest& request) override {
    std::vector<std::string> addresses = directory_.live_addresses();
    for (const std::string& address : addresses)
      SendTo(address, [request](Peers& to, const Peers& from) {
        ReclaimRequest received = request;
        received.sender = from.run_->id;
        to.handler->OnReclaimRequest(received, to.ReplyTo(from.address_));
      });
    return addresses.size();
  }

  void Announce(const RowNotice& notice,
                const std::vector<RunId>& runs) override {
    for (const auto& [run, address] : directory_.live_runs()) {
      if (std::find(runs.begin(), runs.end(), run) != runs.end())
        SendTo(address, [notice](Peers& to, const Peers&) {
          to.handler->OnRowNotice(notice);
        });
    }
  }

  bool HandOver(const TokenTransfer& transfer) override {
    std::vector<RunId> ranked = Ranked(transfer.program);
    std::erase(ranked, run_->id);
    if (ranked.empty())
      return false;
    for (const auto& [run, address] : directory_.live_runs()) {
      if (run == ranked.front())
        ReplyTo(IndexOf(address))(transfer);
    }
    return true;
  }

  std::vector<RunId> Ranked(const std::string& program) const override {
    auto weight = [&program](const std::string& address) {
      return base::Hash64(program, base::Hash64(address));
    };
    std::vector<std::pair<std::uint64_t, RunId>> ranked{
        {weight(AddressOf(address_)), run_->id}};
    for (const auto& [run, address] : directory_.live_runs())
      ranked.emplace_back(weight(address), run);
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<RunId> runs;
    runs.reserve(ranked.size());
    for (const auto& [rank, run] : ranked)
      runs.push_back(run);
    return runs;
  }

  bool silent(RunId run) const override {
    return directory_.Silent(run, timer_.now());
  }
  bool complete(TimePoint listed_at) const override {
    return directory_.Complete(listed_at, timer_.now());
  }
  bool all_heard() const override { return directory_.AllHeard(timer_.now()); }

  bool in_minority() const override {
    return directory_.InMinority(timer_.now());
  }
  bool reaches_store() const override { return reaches; }
  bool store_lost() const override {
    return !reaches && directory_.store_addresses().empty();
  }

  void Announce() {
    for (const std::string& address : directory_.addresses())
      SendTo(address, [](Peers&, const Peers&) {});
  }

  std::vector<int> Relays() const {
    std::vector<int> relays;
    for (const std::string& address : directory_.store_addresses())
      relays.push_back(IndexOf(address));
    return relays;
  }

 private:
  int IndexOf(const std::string& address) const {
    int index = 0;
    while (AddressOf(index) != address)
      ++index;
    return index;
  }

  std::function<void(const TokenTransfer&)> ReplyTo(int address) {
    return [this, address](const TokenTransfer& transfer) {
      SendTo(AddressOf(address), [transfer](Peers& to, const Peers& from) {
        TokenTransfer received = transfer;
        received.sender = from.run_->id;
        to.handler->OnTokenTransfer(received);
      });
    };
  }

  // Runs `action` at the run that is at the address when the message arrives.
  void SendTo(const std::string& address,
              std::function<void(Peers& to, const Peers& from)> action);

  void OnMessage(const Peers& from,
                 std::uint64_t sequence,
                 bool reaches_store,
                 const std::function<void(Peers&, const Peers&)>& action) {
    bool newest = directory_.OnMessage(AddressOf(from.address_), from.run_->id,
                                       sequence, timer_.now());
    action(*this, from);
    if (newest)
      directory_.SetReachesStore(AddressOf(from.address_), reaches_store);
  }

  World& world_;
  RunTimer& timer_;
  std::shared_ptr<Run> run_;
  int address_;
  PeerDirectory directory_;
  std::uint64_t sequence_ = 0;
};

// One run of a gateway.
class Gateway {
 public:
  Gateway(World& world, int address, std::uint64_t id, bool previous_killed)
      : world_(world),
        run(std::make_shared<Run>(Run{id})),
        timer(world.schedule, run),
        table(world, timer, address),
        peers(world, timer, run, address),
        service(timer, table, peers, id * 7919),
        previous_killed_(previous_killed) {
    peers.handler = &service;
    table.on_change = [this] {
      peers.reaches = table.reachable();
      peers.Announce();
    };
    table.relays = [this] { return peers.Relays(); };
    // The gateway's first call to the store; repeated until it responds.
    Register();
    peers.Announce();
    Tick();
    timer.Every(kTickInterval, [this] { Tick(); });
    timer.Every(kAnnounceInterval, [this] { peers.Announce(); });
  }

  World& world_;
  std::shared_ptr<Run> run;
  RunTimer timer;
  Table table;
  Peers peers;
  BudgetService service;

 private:
  void Register() {
    table.Read({"gateways", "", "probe"}, [this](const ReadResult& result) {
      if (result.outcome != StoreOutcome::kDone)
        return timer.RunAfter(milliseconds(500), [this] { Register(); });
      peers.exit =
          previous_killed_ ? PreviousExit::kFailure : PreviousExit::kClean;
    });
  }

  void Tick() {
    table.Tick();
    peers.directory().TakeLost(timer.now());
    service.Tick();
  }

  bool previous_killed_;
};

void Peers::SendTo(const std::string& address,
                   std::function<void(Peers& to, const Peers& from)> action) {
  std::uint64_t sequence = ++sequence_;
  bool lost = world_.settings.lossy && world_.random.Below(20) == 0;
  if (lost)
    return;
  int to = IndexOf(address);
  if (!world_.connected(address_, to))
    return;
  auto arrives =
      world_.schedule.now() + milliseconds(1 + world_.random.Below(10));
  world_.schedule.At(arrives, [this, to, sequence, reaches = reaches,
                               action = std::move(action)] {
    Gateway* gateway = world_.gateways_[static_cast<std::size_t>(to)].get();
    if (gateway != nullptr && gateway->run->alive)
      gateway->timer.At(
          world_.schedule.now(), [this, gateway, sequence, reaches, action] {
            gateway->peers.OnMessage(*this, sequence, reaches, action);
          });
  });
}

World::World(std::uint64_t seed, WorldSettings world_settings)
    : random(seed), settings(world_settings) {
  auto count = static_cast<std::size_t>(settings.gateways);
  modes_.resize(count);
  mute_.resize(count);
  deaf_.resize(count);
  gateways_.resize(count);
  killed_.resize(count);
}

World::~World() = default;

bool World::alive(int address) const {
  const auto& gateway = gateways_[static_cast<std::size_t>(address)];
  return gateway && gateway->run->alive;
}

void World::Start(int address) {
  auto index = static_cast<std::size_t>(address);
  if (gateways_[index])
    ended_.push_back(std::move(gateways_[index]));
  gateways_[index] =
      std::make_unique<Gateway>(*this, address, next_run_++, killed_[index]);
  killed_[index] = false;
}

void World::Kill(int address) {
  auto index = static_cast<std::size_t>(address);
  if (!alive(address))
    return;
  gateways_[index]->run->alive = false;
  killed_[index] = true;
}

void World::Stop(int address) {
  if (!alive(address))
    return;
  Gateway& gateway = *gateways_[static_cast<std::size_t>(address)];
  gateway.service.OnStopping();
  schedule.At(schedule.now() + kStopTime,
              [run = gateway.run] { run->alive = false; });
}

void World::Freeze(int address, base::Duration duration) {
  if (alive(address))
    gateways_[static_cast<std::size_t>(address)]->run->frozen_until =
        schedule.now() + duration;
}

void World::Turn(int address,
                 const std::string& name,
                 const std::function<void()>& served) {
  Program& program = programs[name];
  ++program.turns;
  if (!alive(address)) {
    program.last = BudgetOutcome::kUnavailable;
    return;
  }
  Gateway& gateway = *gateways_[static_cast<std::size_t>(address)];
  std::int64_t tokens = settings.max_tokens;
  gateway.timer.At(schedule.now(), [this, &gateway, name, tokens, served] {
    gateway.service.Begin(
        name, {settings.budget, tokens, schedule.now() + kTurnWait},
        [this, &gateway, name, tokens, served](BudgetOutcome outcome) {
          Program& found = programs[name];
          found.last = outcome;
          if (outcome != BudgetOutcome::kGranted)
            return;
          served();
          ++found.served;
          std::int64_t used =
              settings.used_tokens > 0 ? settings.used_tokens : tokens;
          found.handed += used;
          gateway.timer.RunAfter(milliseconds(5 + random.Below(40)),
                                 [&gateway, name, tokens, used] {
                                   gateway.service.End(name, tokens, used);
                                 });
        });
  });
}

}  // namespace vanillalever::forwarding::simulated
