#include <catch2/catch.hpp>

#include <string>

#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/event_framer.h"
#include "vanillalever/forwarding/peer_directory.h"
#include "vanillalever/forwarding/prompt_index.h"
#include "vanillalever/forwarding/recent_durations.h"
#include "vanillalever/forwarding/retry_policy.h"
#include "vanillalever/forwarding/route_config.h"
#include "vanillalever/forwarding/server_registry.h"
#include "vanillalever/forwarding/stop_policy.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;

constexpr base::TimePoint kStart = base::TimePoint(std::chrono::hours(1));

TEST_CASE("the route with the longest matching prefix of the host is chosen") {
  RouteConfig config;
  for (const char* prefix : {"/a/", "/a/b/", "/"}) {
    Route route;
    route.host = "x.example";
    route.name = route.prefix = prefix;
    config.routes.push_back(route);
  }
  CHECK(config.Match("x.example", "/a/b/c")->name == "/a/b/");
  CHECK(config.Match("x.example:80", "/a/c")->name == "/a/");
  CHECK(config.Match("x.example", "/q")->name == "/");
  CHECK(config.Match("y.example", "/a/b/c") == nullptr);
}

TEST_CASE("a split route respects its weights and maps a key to one service") {
  RouteConfig config;
  Route route;
  route.targets = {{"new", 10}, {"old", 90}};
  int to_new = 0;
  for (int i = 0; i < 2000; ++i) {
    std::string key = "session-" + std::to_string(i);
    const std::string& service = config.ChooseService(route, key);
    CHECK(service == config.ChooseService(route, key));
    to_new += service == "new" ? 1 : 0;
  }
  CHECK(to_new > 140);
  CHECK(to_new < 260);
}

TEST_CASE("the framer returns complete events only") {
  EventFramer framer;
  CHECK(framer.Feed("id: 1\ndata: a\n").empty());
  CHECK(framer.Feed("\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(framer.events() == 1);
  CHECK(framer.last_id() == "1");
  framer.BeginResponse(false);
  CHECK(framer.Feed("id: 2\r\ndata: b\r\n\r\n") == "id: 2\r\ndata: b\r\n\r\n");
  CHECK(framer.last_id() == "2");
  CHECK(framer.events() == 2);
  CHECK(framer.partial().empty());
}

TEST_CASE("a repeated last event is left out once, and only where expected") {
  EventFramer framer;
  framer.KeepData();
  framer.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(framer.previous_id() == "1");
  framer.BeginResponse(true);
  CHECK_FALSE(framer.response_has_event());
  CHECK(framer.Feed("data: b\nid: 2\n\nid: 3\ndata: c\n\n") ==
        "id: 3\ndata: c\n\n");
  CHECK(framer.response_has_event());
  CHECK(framer.events() == 3);
  CHECK(framer.data() == "a\nb\nc\n");
  framer.BeginResponse(true);
  CHECK(framer.Feed("id: 4\ndata: d\n\nid: 4\n\n") ==
        "id: 4\ndata: d\n\nid: 4\n\n");
  framer.BeginResponse(false);
  CHECK(framer.Feed("id: 4\n\n") == "id: 4\n\n");
}

TEST_CASE(
    "cached prefixes start at the first part and are evicted in LRU order") {
  PromptIndex index(1000);
  auto chain = [](std::vector<PromptPart> parts) {
    return MakePromptChain(parts);
  };
  index.Touch(chain({{"shared", 400}, {"a", 300}}));
  CHECK(index.CachedTokens(chain({{"shared", 400}, {"b", 300}})) == 400);
  CHECK(index.CachedTokens(chain({{"other", 400}, {"a", 300}})) == 0);
  index.Touch(chain({{"shared", 400}, {"b", 300}}));
  CHECK(index.CachedTokens(chain({{"shared", 400}, {"a", 300}})) == 700);
  index.Touch(chain({{"shared", 400}, {"c", 300}}));
  CHECK(index.CachedTokens(chain({{"shared", 400}, {"a", 300}})) == 400);
  CHECK(index.CachedTokens(chain({{"shared", 400}, {"c", 300}})) == 700);
}

RetryState Streaming(bool resumable) {
  RetryState state;
  state.kind = RequestKind::kStreaming;
  state.resumable = resumable;
  state.possible_runs = 1;
  return state;
}

TEST_CASE(
    "a request that may have run is repeated only if its kind allows it") {
  RetryPolicy policy;
  RetryState non_idempotent;
  non_idempotent.possible_runs = 1;
  CHECK(policy.Decide(SendFailure::kNoAnswer, non_idempotent) ==
        RetryDecision::kGiveUp);
  CHECK(policy.Decide(SendFailure::kBroken, non_idempotent) ==
        RetryDecision::kGiveUp);
  CHECK(policy.Decide(SendFailure::kRefused, non_idempotent) ==
        RetryDecision::kRetryOtherServer);
  CHECK(policy.Decide(SendFailure::kNotSent, non_idempotent) ==
        RetryDecision::kRetryOtherServer);
  CHECK(policy.Decide(SendFailure::kBroken, Streaming(false)) ==
        RetryDecision::kGiveUp);

  RetryState idempotent;
  idempotent.kind = RequestKind::kIdempotent;
  idempotent.max_servers = 2;
  idempotent.possible_runs = 1;
  CHECK(policy.Decide(SendFailure::kNoAnswer, idempotent) ==
        RetryDecision::kRetryOtherServer);
  idempotent.possible_runs = 2;
  CHECK(policy.Decide(SendFailure::kNoAnswer, idempotent) ==
        RetryDecision::kGiveUp);
}

TEST_CASE(
    "a stream is resumed at its server, or at another one if that is "
    "unavailable") {
  RetryPolicy policy;
  RetryState state = Streaming(true);
  CHECK(policy.Decide(SendFailure::kBroken, state) ==
        RetryDecision::kRetrySameServer);
  state.same_server_attempts = 3;
  CHECK(policy.Decide(SendFailure::kBroken, state) == RetryDecision::kGiveUp);
  state.server_unavailable = true;
  CHECK(policy.Decide(SendFailure::kBroken, state) ==
        RetryDecision::kRetryOtherServer);
}

BackendServer Server(const std::string& id, std::int64_t started = 1) {
  BackendServer server;
  server.id = id;
  server.service = "s";
  server.address = "127.0.0.1:1";
  server.started_at_ms = started;
  return server;
}

TEST_CASE("missing servers stay in use for the grace period and may return") {
  ServerRegistry registry;
  registry.Put(Server("a"));
  registry.Put(Server("b"));
  registry.MarkUnlistedMissing({}, kStart);
  CHECK(registry.servers("s").size() == 2);
  registry.Put(Server("a"));
  CHECK(registry.RemoveExpired(kStart + milliseconds(1900)).empty());
  CHECK(registry.RemoveExpired(kStart + milliseconds(2000)) ==
        std::vector<std::string>{"b"});
  REQUIRE(registry.servers("s").size() == 1);
  CHECK(registry.servers("s").front()->server.id == "a");
}

TEST_CASE("a server restarted with the same id starts without load") {
  ServerRegistry registry;
  registry.Put(Server("a", 1));
  ServerSlotPtr before = registry.find("a");
  before->load.OnSend(100);
  registry.Put(Server("a", 2));
  CHECK(before->removed);
  CHECK(registry.find("a")->load.local_open() == 0);
  CHECK(registry.servers("s").size() == 1);
}

TEST_CASE("load is the sum of all gateways' open requests") {
  ServerLoad load;
  load.OnSend(500);
  load.OnPeerLoad(7, {.open = 3, .prefill_tokens = 200, .received_at = kStart});
  CHECK(load.open(kStart) == 4);
  CHECK(load.prefill_tokens(kStart) == 700);
  CHECK(load.open(kStart + base::seconds(2)) == 1);
  load.OnFirstOutput(500);
  CHECK(load.prefill_tokens(kStart) == 200);
  load.RemovePeer(7);
  CHECK(load.open(kStart) == 1);
  load.OnEnd(0);
  CHECK(load.open(kStart) == 0);
}

TEST_CASE("consecutive failures make a server suspect for longer") {
  ServerLoad load;
  load.OnUnreachable(kStart);
  CHECK(load.suspect(kStart + milliseconds(200)));
  CHECK_FALSE(load.suspect(kStart + milliseconds(300)));
  for (int i = 0; i < 8; ++i)
    load.OnUnreachable(kStart);
  CHECK(load.suspect(kStart + milliseconds(1900)));
  load.OnReachable();
  CHECK_FALSE(load.suspect(kStart));
}

TEST_CASE(
    "a gateway that receives from less than half of the others may be "
    "isolated") {
  PeerDirectory peers;
  CHECK_FALSE(peers.InMinority(kStart));
  for (const char* address : {"a:1", "b:1", "c:1", "d:1"})
    peers.OnMessage(address, 5, 1, kStart);
  CHECK_FALSE(peers.InMinority(kStart));
  auto later = kStart + base::seconds(5);
  peers.OnMessage("a:1", 5, 2, later);
  peers.TakeLost(later);
  CHECK(peers.InMinority(later));
  peers.OnMessage("b:1", 5, 2, later);
  CHECK_FALSE(peers.InMinority(later));
  // Peers that stay silent are removed and no longer count.
  peers.TakeLost(later + base::seconds(60));
  CHECK_FALSE(peers.InMinority(later + base::seconds(60)));
}

// Guards against a gateway that is cut off and takes the silence of the others
// for their end.
TEST_CASE("a gateway that reached the store before its silence may reach it") {
  PeerDirectory peers;
  peers.OnMessage("a:1", 5, 1, kStart);
  peers.SetReachesStore("a:1", true);
  CHECK_FALSE(peers.ReachedBySilent(kStart));
  auto silent = kStart + base::seconds(2);
  peers.TakeLost(silent);
  CHECK(peers.ReachedBySilent(silent));
  // However long this gateway has been without the store.
  CHECK(peers.ReachedBySilent(kStart - base::seconds(600)));
  // It was removed before this gateway lost the store.
  CHECK_FALSE(peers.ReachedBySilent(kStart + base::seconds(15)));
  // It said that it does not reach the store, and became silent again.
  peers.OnMessage("a:1", 5, 2, silent);
  peers.SetReachesStore("a:1", false);
  peers.TakeLost(silent + base::seconds(2));
  CHECK_FALSE(peers.ReachedBySilent(silent));
}

// Guards against review/9: a silent gateway that still reaches the store begins
// programs after the others have listed those that they know.
TEST_CASE("a silent gateway may be at work, until it is silent for long") {
  PeerDirectory peers;
  CHECK(peers.AllHeard(kStart));
  peers.OnMessage("a:1", 5, 1, kStart);
  CHECK(peers.AllHeard(kStart));
  base::TimePoint silent = kStart + base::seconds(2);
  peers.TakeLost(silent);
  CHECK(peers.Complete(silent, silent));
  CHECK_FALSE(peers.AllHeard(silent));
  CHECK_FALSE(peers.AllHeard(kStart + base::seconds(90)));
  CHECK(peers.AllHeard(kStart + base::seconds(91)));
  // Its successor at the address knows what it knew.
  peers.OnMessage("a:1", 6, 1, silent);
  CHECK(peers.AllHeard(silent));
  // The row of one that was killed before this gateway started.
  peers.AddAddress("b:1", silent);
  CHECK(peers.AllHeard(silent));
}

TEST_CASE("peers become silent, restart and send messages out of order") {
  PeerDirectory peers;
  CHECK(peers.OnMessage("a:1", 5, 10, kStart));
  CHECK_FALSE(peers.OnMessage("a:1", 5, 9, kStart));
  CHECK(peers.live() == 1);
  CHECK(peers.OnMessage("a:1", 6, 1, kStart));
  CHECK(peers.TakeLost(kStart) == std::vector<PeerId>{5});
  CHECK(peers.TakeLost(kStart + base::seconds(5)) == std::vector<PeerId>{6});
  CHECK(peers.live() == 0);
  CHECK(peers.addresses().size() == 1);
}

TEST_CASE("late in a stop only requests that end before it are passed on") {
  StopPolicy stops;
  constexpr base::Duration kEnd = base::milliseconds(7300);
  CHECK(stops.Accepts(base::seconds(0), base::seconds(60), kEnd));
  CHECK(stops.Accepts(base::milliseconds(2799), base::seconds(60), kEnd));
  CHECK_FALSE(stops.Accepts(base::milliseconds(2800), base::seconds(6), kEnd));
  CHECK(stops.Accepts(base::milliseconds(2800), base::seconds(4), kEnd));
  CHECK_FALSE(
      stops.Accepts(base::milliseconds(7300), base::milliseconds(1), kEnd));
}

TEST_CASE("the longest duration of a route is known for a while") {
  RecentDurations durations;
  const std::string route = "pay";
  CHECK(durations.longest(route, kStart) == base::Duration(0));
  durations.Record(route, base::seconds(3), kStart);
  durations.Record(route, base::seconds(1), kStart);
  CHECK(durations.longest(route, kStart) == base::seconds(3));
  CHECK(durations.longest("read", kStart) == base::Duration(0));
  auto next = kStart + RecentDurations::kWindow;
  durations.Record(route, base::seconds(2), next);
  CHECK(durations.longest(route, next) == base::seconds(3));
  auto later = next + RecentDurations::kWindow;
  CHECK(durations.longest(route, later) == base::seconds(2));
  CHECK(durations.longest(route, later + 2 * RecentDurations::kWindow) ==
        base::Duration(0));
}

// Guards against requests that a stop accepts and cuts, and against refusals of
// requests that end in time: works of up to 5.5 s or 0.3 s, time limit 6 s.
TEST_CASE("a stop passes on what usually ends before it") {
  constexpr base::Duration kEnd = base::milliseconds(7300);
  constexpr base::Duration kLimit = base::seconds(6);
  StopPolicy stops;
  for (int longest_ms : {300, 5500}) {
    RecentDurations durations;
    base::Random random(7);
    auto work = [&random, longest_ms] {
      return base::milliseconds(random.Below(longest_ms));
    };
    durations.Record("pay", base::milliseconds(longest_ms), kStart);
    int cut = 0;
    int refused = 0;
    for (int i = 0; i < 1000; ++i) {
      base::Duration elapsed = base::milliseconds(random.Below(2800));
      bool accepted = stops.Accepts(elapsed, kLimit, kEnd,
                                    durations.longest("pay", kStart));
      cut += accepted && elapsed + work() > kEnd ? 1 : 0;
      refused += accepted ? 0 : 1;
    }
    INFO("works of up to " << longest_ms << " ms");
    CHECK(cut == 0);
    CHECK((refused == 0) == (longest_ms == 300));
  }
}

}  // namespace
}  // namespace vanillalever::forwarding
