// Guards against clients that keep no limits: what they hold together stays
// within the account, and those who hold the most for the longest go first.

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "vanillalever/base/clock.h"
#include "vanillalever/memory/account.h"

namespace vanillalever::memory {
namespace {

constexpr std::size_t kKb = 1 << 10;
constexpr std::size_t kMb = 1 << 20;

class Client final : public Holder {
 public:
  Client(std::shared_ptr<Account> account, base::ManualClock& clock)
      : clock_(clock), holding_(std::move(account), *this) {}

  void OnResumed() override { ++resumed; }
  void OnEnded(Purpose purpose) override {
    ended = true;
    ended_for = purpose;
  }
  void Hold(Purpose purpose, std::size_t bytes) {
    holding_.Set(purpose, bytes, clock_.now());
  }
  // Reads a piece of a body unless it has to wait.
  bool Read(std::size_t bytes) {
    if (holding_.must_wait())
      return false;
    Hold(Purpose::kRequest, holding_.bytes(Purpose::kRequest) + bytes);
    return true;
  }
  std::size_t body() const { return holding_.bytes(Purpose::kRequest); }

  int resumed = 0;
  bool ended = false;
  Purpose ended_for = Purpose::kRequest;

 private:
  base::ManualClock& clock_;
  Holding holding_;
};

struct World {
  explicit World(std::size_t total)
      : account(std::make_shared<Account>(Settings(total))) {}

  static AccountSettings Settings(std::size_t total) {
    AccountSettings settings;
    settings.total_bytes = total;
    return settings;
  }
  Client& Add() {
    clients.push_back(std::make_unique<Client>(account, clock));
    return *clients.back();
  }
  // Lets all clients with unfinished bodies read for `time`.
  void Play(base::Duration time, std::size_t body, std::size_t piece) {
    for (base::Duration t{}; t < time; t += base::milliseconds(100)) {
      for (auto& client : clients) {
        if (!client->ended && client->body() < body)
          client->Read(piece);
      }
      peak = std::max(peak, account->held());
      clock.Advance(base::milliseconds(100));
      account->Tick(clock.now());
      std::erase_if(clients, [](const auto& client) { return client->ended; });
    }
  }

  base::ManualClock clock;
  std::shared_ptr<Account> account;
  std::vector<std::unique_ptr<Client>> clients;
  std::size_t peak = 0;
};

TEST_CASE("bodies that stop short stay within the share of requests") {
  World world(40 * kMb);
  for (int i = 0; i < 80; ++i)
    world.Add();
  world.Play(base::seconds(20), 39 * kMb / 10, 64 * kKb);
  CHECK(world.peak <= world.account->limit(Purpose::kRequest));
  CHECK(world.account->slowed_total() > 0);
  // Some holders are left: nobody is ended without need.
  CHECK(world.account->held() > 0);
}

TEST_CASE("a crowd of bodies does not stop an ordinary caller") {
  World world(40 * kMb);
  for (int i = 0; i < 80; ++i)
    world.Add();
  Client ordinary(world.account, world.clock);
  int reads = 0;
  for (int i = 0; i < 100; ++i) {
    world.Play(base::milliseconds(100), 39 * kMb / 10, 256 * kKb);
    ordinary.Hold(Purpose::kRequest, 0);
    reads += ordinary.Read(5 * kKb);
  }
  CHECK(reads == 100);
  CHECK_FALSE(ordinary.ended);
}

TEST_CASE("the largest request passes in calm on the smallest machine") {
  World world(31 * kMb);
  Client& client = world.Add();
  for (int i = 0; i < 64; ++i)
    REQUIRE(client.Read(64 * kKb));
  // The request goes out as a second copy.
  client.Hold(Purpose::kRequest, 8 * kMb);
  CHECK_FALSE(client.ended);
}

TEST_CASE("holders that trickle are ended before those that came later") {
  World world(40 * kMb);
  std::vector<Client*> early;
  for (int i = 0; i < 5; ++i) {
    early.push_back(&world.Add());
    early.back()->Hold(Purpose::kRequest, 3 * kMb);
  }
  world.clock.Advance(base::seconds(3));
  Client& late = world.Add();
  late.Hold(Purpose::kRequest, 4 * kMb);
  REQUIRE_FALSE(late.Read(64 * kKb));
  world.account->Tick(world.clock.now());
  world.clock.Advance(base::seconds(1));
  for (Client* client : early)
    client->Hold(Purpose::kRequest, client->body() + 1);
  world.account->Tick(world.clock.now());
  int ended = 0;
  for (Client* client : early)
    ended += client->ended;
  CHECK(ended > 0);
  CHECK_FALSE(late.ended);
  world.account->Tick(world.clock.now());
  CHECK(late.resumed == 1);
  CHECK(late.Read(64 * kKb));
}

TEST_CASE("unread responses go before those that are read") {
  World world(40 * kMb);
  std::vector<Client*> slow;
  for (int i = 0; i < 20; ++i) {
    slow.push_back(&world.Add());
    slow.back()->Hold(Purpose::kResponse, kMb);
  }
  world.clock.Advance(base::seconds(2));
  for (int i = 0; i < 100; ++i) {
    Client& sound = world.Add();
    sound.Hold(Purpose::kResponse, kMb);
    world.clock.Advance(base::milliseconds(20));
    REQUIRE_FALSE(sound.ended);
    sound.Hold(Purpose::kResponse, 0);
    slow.push_back(&world.Add());
    slow.back()->Hold(Purpose::kResponse, kMb);
    REQUIRE(world.account->held() <= 24 * kMb);
  }
  CHECK(world.account->TakeEnded(Purpose::kResponse).holders > 70);
  CHECK(world.account->TakeEnded(Purpose::kResponse).holders == 0);
}

TEST_CASE("full requests leave room for responses, and the reverse") {
  World world(40 * kMb);
  for (int i = 0; i < 100; ++i)
    world.Add().Hold(Purpose::kRequest, kMb);
  Client& reader = world.Add();
  reader.Hold(Purpose::kResponse, 4 * kMb);
  CHECK_FALSE(reader.ended);
  for (int i = 0; i < 100; ++i)
    world.Add().Hold(Purpose::kResponse, kMb);
  CHECK(world.account->held() <= 40 * kMb);
  Client& sender = world.Add();
  sender.Hold(Purpose::kRequest, 4 * kMb);
  CHECK_FALSE(sender.ended);
}

TEST_CASE("many small holders are bounded as well") {
  World world(4 * kMb);
  for (int i = 0; i < 2000; ++i) {
    world.Add().Hold(Purpose::kRequest, 16 * kKb);
    world.clock.Advance(base::milliseconds(1));
    REQUIRE(world.account->held() <= world.account->limit(Purpose::kRequest));
  }
}

TEST_CASE("what is released or destroyed no longer counts") {
  World world(40 * kMb);
  {
    Client client(world.account, world.clock);
    client.Hold(Purpose::kRequest, kMb);
    client.Hold(Purpose::kResponse, 2 * kMb);
    client.Hold(Purpose::kRequest, 0);
    CHECK(world.account->held() == 2 * kMb);
  }
  CHECK(world.account->held() == 0);
  Client large(world.account, world.clock);
  large.Hold(Purpose::kRequest, 30 * kMb);
  CHECK(large.ended);
  CHECK(world.account->held() == 0);
  CHECK_FALSE(large.Read(1));
}

}  // namespace
}  // namespace vanillalever::memory
