// Measures the look-up of a key, and the memory that a key takes, by the number
// of keys.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "vanillalever/base/hash.h"
#include "vanillalever/organisation/key_directory.h"

namespace vanillalever::organisation {
namespace {

constexpr std::size_t kKeysPerOrganisation = 2;
// Digits of a key.
constexpr int kKeyLength = 16;

std::string KeyText(std::size_t number) {
  return base::HexString(base::Hash64(std::to_string(number)), kKeyLength);
}

KeyDirectory MakeDirectory(std::size_t keys) {
  std::vector<Organisation> organisations(keys / kKeysPerOrganisation);
  for (std::size_t i = 0; i < keys; ++i)
    organisations[i / kKeysPerOrganisation].keys.push_back(KeyText(i));
  return KeyDirectory(organisations, 1);
}

// Looks up known keys, in an order that does not favour the cache.
void BM_FindKnown(benchmark::State& state) {
  auto keys = static_cast<std::size_t>(state.range(0));
  KeyDirectory directory = MakeDirectory(keys);
  std::vector<Credential> credentials;
  for (std::size_t i = 0; i < 100; ++i)
    credentials.push_back(Credential::OfKey(KeyText(i * 7919 % keys)));
  std::size_t next = 0;
  for (auto unused : state) {
    benchmark::DoNotOptimize(directory.Find(credentials[next]));
    next = (next + 1) % credentials.size();
  }
  state.counters["bytes_a_key"] =
      static_cast<double>(directory.bytes()) / static_cast<double>(keys);
}
BENCHMARK(BM_FindKnown)->Arg(100)->Arg(10'000)->Arg(100'000);

// Looks up a key that no organisation holds.
void BM_FindUnknown(benchmark::State& state) {
  KeyDirectory directory =
      MakeDirectory(static_cast<std::size_t>(state.range(0)));
  Credential unknown = Credential::OfKey("an unknown key of a caller");
  for (auto unused : state)
    benchmark::DoNotOptimize(directory.Find(unknown));
}
BENCHMARK(BM_FindUnknown)->Arg(100)->Arg(10'000)->Arg(100'000);

// Builds the directory of a configuration.
void BM_Build(benchmark::State& state) {
  for (auto unused : state)
    benchmark::DoNotOptimize(
        MakeDirectory(static_cast<std::size_t>(state.range(0))));
}
BENCHMARK(BM_Build)->Arg(100)->Arg(100'000)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace vanillalever::organisation
