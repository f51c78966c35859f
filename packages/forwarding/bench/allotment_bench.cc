// Measures what allotments add to the messages between gateways, and the cost
// of counting a request.

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>
#include <capnp/message.h>

#include "vanillalever/base/random.h"
#include "vanillalever/forwarding/allotment_codec.h"
#include "vanillalever/protocol/packed_message.h"
#include "vanillalever/rate/allotment_book.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;
using base::seconds;

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr seconds kTime{30};
constexpr milliseconds kStep{20};
constexpr milliseconds kCompleteInterval{300};
// Organisations differ in size as in Zipf's law with this exponent.
constexpr double kSkew = 1.2;

constexpr double kRate = 1000;

class Organisations {
 public:
  // `burst`: with a large one the credit takes long to fill up, as if the
  // organisations were near their limits.
  Organisations(std::int64_t count, double burst) {
    bounds_.reserve(static_cast<std::size_t>(count));
    limits_.reserve(static_cast<std::size_t>(count));
    for (std::int64_t i = 0; i < count; ++i) {
      limits_.push_back({"organisation-" + std::to_string(i), kRate, burst});
      sum_ += std::pow(static_cast<double>(i + 1), -kSkew);
      bounds_.push_back(sum_);
    }
  }

  const std::vector<rate::AllotmentLimit>& limits() const { return limits_; }
  const std::string& Draw(base::Random& random) const {
    double at = random.Uniform() * sum_;
    std::size_t i = 0;
    while (i + 1 < bounds_.size() && bounds_[i] < at)
      ++i;
    return limits_[i].organisation;
  }

 private:
  std::vector<rate::AllotmentLimit> limits_;
  std::vector<double> bounds_;
  double sum_ = 0;
};

// What the uses add to one message, in bytes, and the number of messages that
// carry them.
struct Added {
  double bytes = 0;
  double datagrams = 0;
};

Added Measure(const std::vector<rate::AllotmentUse>& from,
              std::uint64_t origin) {
  std::vector<OriginUse> uses;
  for (const rate::AllotmentUse& use : from)
    uses.push_back({origin, use});
  Added added;
  while (!uses.empty()) {
    capnp::MallocMessageBuilder with;
    capnp::MallocMessageBuilder without;
    for (auto* builder : {&with, &without}) {
      auto message = builder->initRoot<protocol::peer::Message>();
      message.setSender(0x9e3779b97f4a7c15U);
      message.setSequence(100000);
    }
    MoveUses(uses, with.getRoot<protocol::peer::Message>());
    added.bytes += static_cast<double>(protocol::Pack(with).size()) -
                   static_cast<double>(protocol::Pack(without).size());
    ++added.datagrams;
  }
  return added;
}

// Arguments: gateways, organisations, requests a second of all gateways,
// whether the organisations are near their limits. Counters: bytes a second
// that a gateway sends, and that the relaying one sends, for allotments; uses
// in a complete message.
void BM_Messages(benchmark::State& state) {
  const auto gateways = static_cast<double>(state.range(0));
  const Organisations organisations(state.range(1),
                                    state.range(3) == 0 ? kRate : 1000 * kRate);
  const double per_step = static_cast<double>(state.range(2)) / gateways *
                          std::chrono::duration<double>(kStep).count();
  double own = 0;
  double relayed = 0;
  double repeated = 0;
  double complete = 0;
  for (auto unused : state) {
    base::Random random(1);
    rate::AllotmentBook book({}, 1);
    book.SetReach({1, static_cast<std::size_t>(gateways)}, kStart);
    book.SetLimits(organisations.limits(), kStart);
    for (milliseconds at{0}; at < kTime; at += kStep) {
      base::TimePoint now = kStart + seconds(1) + at;
      auto arrivals = static_cast<int>(per_step);
      arrivals += random.Uniform() < per_step - arrivals ? 1 : 0;
      for (int i = 0; i < arrivals; ++i)
        book.Take(organisations.Draw(random), now);
      auto changes = book.TakeChanges();
      own += Measure(changes, 0).bytes;
      // The relay sends the changes of each to all others.
      relayed += Measure(changes, 0x9e3779b97f4a7c15U).bytes * gateways *
                 (gateways - 1);
      if (at % kCompleteInterval != milliseconds(0))
        continue;
      auto uses = book.Repeated(now);
      repeated += static_cast<double>(uses.size());
      ++complete;
      own += Measure(uses, 0).bytes * (gateways - 1);
    }
  }
  double time = std::chrono::duration<double>(kTime).count() *
                static_cast<double>(state.iterations());
  state.counters["gateway_bytes_per_s"] = own / time;
  state.counters["relay_bytes_per_s"] = relayed / time;
  state.counters["uses_per_complete_message"] = repeated / complete;
}
BENCHMARK(BM_Messages)
    ->ArgsProduct({{26}, {74, 260}, {300}, {0, 1}})
    ->ArgsProduct({{410}, {74, 260}, {5400}, {0, 1}})
    ->Iterations(1);

// Counts a request; argument: organisations.
void BM_Take(benchmark::State& state) {
  Organisations organisations(state.range(0), kRate);
  rate::AllotmentBook book({}, 1);
  book.SetReach({1, 26}, kStart);
  book.SetLimits(organisations.limits(), kStart);
  base::TimePoint now = kStart + seconds(1);
  const std::string& name = organisations.limits().back().organisation;
  for (auto unused : state) {
    now += milliseconds(2);
    benchmark::DoNotOptimize(book.Take(name, now));
  }
}
BENCHMARK(BM_Take)->Arg(74)->Arg(260);

}  // namespace
}  // namespace vanillalever::forwarding
