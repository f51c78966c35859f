#include <functional>
#include <future>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include "scripted_server.h"
#include "vanillalever/base/counters.h"
#include "vanillalever/forwarding/relayed_table.h"
#include "vanillalever/forwarding/table_codec.h"

namespace vanillalever::forwarding {
namespace {

using http::ResponseText;
using http::ScriptedServer;

constexpr base::milliseconds kPause{30};
constexpr std::uint64_t kVersion = 7;
// Less than a relayed call may take.
constexpr base::milliseconds kAtOnce{600};

// A store that turns this gateway away.
class RefusingTable final : public SharedTable {
 public:
  void Transact(std::vector<TableWrite>,
                std::function<void(TransactionResult)> done) override {
    done({});
  }
  void ReadRange(TableRange, std::function<void(ReadResult)> done) override {
    done({});
  }
  void AwaitChanges(std::string,
                    std::uint64_t,
                    base::milliseconds,
                    std::function<void(ChangesResult)> done) override {
    done({});
  }
};

class OnePeer final : public StorePeers {
 public:
  explicit OnePeer(std::string address) : address_(std::move(address)) {}
  std::size_t live() const override { return 1; }
  std::vector<std::string> StoreAddresses() const override {
    return {address_};
  }
  void SetStoreReachable(bool) override {}

 private:
  const std::string address_;
};

// A gateway that calls the store through another one.
class Relaying {
 public:
  explicit Relaying(const std::string& peer)
      : peers_(peer), table_(threads_, store_, 1, calls_, 1 << 20) {
    table_.SetPeers(peers_);
  }
  ~Relaying() { threads_.Stop(); }
  Relaying(const Relaying&) = delete;
  Relaying& operator=(const Relaying&) = delete;

  TransactionResult Transact() {
    return Await<TransactionResult>([this](auto done) {
      table_.Transact({{{"turns", "", "a"}, 0, "x"}}, std::move(done));
    });
  }
  ReadResult Read() {
    return Await<ReadResult>([this](auto done) {
      table_.ReadRange({"turns", "", "a", "b"}, std::move(done));
    });
  }

 private:
  template <typename Result, typename Begin>
  Result Await(Begin begin) {
    std::promise<Result> result;
    boost::asio::post(threads_.context(), [&result, &begin] {
      begin([&result](Result value) { result.set_value(std::move(value)); });
    });
    return result.get_future().get();
  }

  RefusingTable store_;
  OnePeer peers_;
  base::Counter calls_;
  http::IoThreads threads_{1};
  RelayedTable table_;
};

std::string Reply() {
  TransactionResult result;
  result.outcome = StoreOutcome::kDone;
  result.version = kVersion;
  return ResponseText("200 OK", EncodeTableReply(result));
}

// Guards against review/13: the other gateway made the call, its connection
// ended before the reply, and the second copy was refused.
TEST_CASE("a refusal of the second copy leaves a relayed write unknown") {
  TransactionResult refused;
  refused.outcome = StoreOutcome::kNotDone;
  int requests = 0;
  ScriptedServer peer([&](const std::string&) {
    if (++requests == 2)
      return ScriptedServer::Script{{.delay = {}, .bytes = "", .close = true}};
    return ScriptedServer::Script{
        {{}, ResponseText("200 OK", EncodeTableReply(refused))}};
  });
  Relaying gateway(peer.address());
  CHECK(gateway.Transact().outcome == StoreOutcome::kNotDone);
  CHECK(gateway.Transact().outcome == StoreOutcome::kUnknown);
  CHECK(gateway.Read().outcome == StoreOutcome::kNotDone);
  CHECK(requests == 4);
}

// Guards against the outcome of a write being taken from a response that is
// none, and against the next call getting what follows it.
TEST_CASE("a reply of another gateway that is no response leaves it unknown") {
  const std::string forms[] = {
      ResponseText("000 X", "x"), ResponseText("101 X", ""),
      ResponseText("200 OK", "x", "Bad Name: x\r\n"),
      ResponseText("200 OK", "x", "Bad\001Name: x\r\n"),
      ResponseText("200 OK", "x", "Transfer-Encoding: gzip\r\n")};
  for (const std::string& form : forms) {
    INFO(form);
    // Followed by a reply that belongs to no call.
    int requests = 0;
    ScriptedServer peer([&](const std::string&) {
      return ++requests < 3
                 ? ScriptedServer::Script{{{}, form}, {kPause, Reply()}}
                 : ScriptedServer::Script{{{}, Reply()}};
    });
    Relaying gateway(peer.address());
    auto started = base::TimePoint::clock::now();
    CHECK(gateway.Transact().outcome == StoreOutcome::kUnknown);
    CHECK(gateway.Read().outcome == StoreOutcome::kNotDone);
    CHECK(base::TimePoint::clock::now() - started < kAtOnce);
    TransactionResult next = gateway.Transact();
    CHECK(next.outcome == StoreOutcome::kDone);
    CHECK(next.version == kVersion);
    CHECK(peer.connections() == 3);
  }
}

// Guards against an interim response being taken for the reply.
TEST_CASE("a reply of another gateway may follow an interim response") {
  ScriptedServer peer([](const std::string&) {
    return ScriptedServer::Script{{{}, "HTTP/1.1 103 X\r\n\r\n"},
                                  {kPause, Reply()}};
  });
  Relaying gateway(peer.address());
  for (int i = 0; i < 3; ++i) {
    TransactionResult result = gateway.Transact();
    CHECK(result.outcome == StoreOutcome::kDone);
    CHECK(result.version == kVersion);
  }
  CHECK(peer.connections() == 1);
}

}  // namespace
}  // namespace vanillalever::forwarding
