// Prints waits of all policies against the age of news and the number of
// gateways.

#include <cstddef>
#include <cstdio>
#include <string>

#include <gflags/gflags.h>

#include "even_load_model.h"

DEFINE_uint64(seed, 1, "Seed of arrivals and choices.");
DEFINE_double(load, 0.9, "Work asked for as a share of the servers' capacity.");
DEFINE_double(mean_ms, 150, "Mean time of a request at a server.");
DEFINE_double(seconds, 20, "Length of a play.");
DEFINE_double(burst, 1, "Factor on the work during a burst of 4 s.");
DEFINE_int32(servers, 32, "Servers.");

namespace vanillalever::balance {
namespace {

void PrintTable() {
  std::printf(
      "p99 of waiting in ms; in brackets the share of servers over "
      "their slots beside free ones\n");
  std::printf("%-9s %-7s", "gateways", "news_ms");
  for (std::size_t i = 0; i < kModelPolicies; ++i)
    std::printf(" %18s",
                std::string(kModelPolicyNames.name(static_cast<ModelPolicy>(i)))
                    .c_str());
  std::printf("\n");
  for (int gateways : {1, 5, 30, 110, 410}) {
    for (double news_ms : {0.0, 20.0, 50.0, 100.0, 400.0, 1000.0, 2000.0}) {
      std::printf("%-9d %-7.0f", gateways, news_ms);
      for (std::size_t i = 0; i < kModelPolicies; ++i) {
        ModelSettings settings;
        settings.policy = static_cast<ModelPolicy>(i);
        settings.gateways = gateways;
        settings.servers = FLAGS_servers;
        settings.mean_ms = FLAGS_mean_ms;
        settings.load = FLAGS_load;
        settings.news_ms = news_ms;
        settings.seconds = FLAGS_seconds;
        settings.burst_factor = FLAGS_burst;
        settings.burst_ms = FLAGS_burst > 1 ? 4000 : 0;
        settings.seed = FLAGS_seed;
        ModelResult result = PlayEvenLoad(settings);
        std::printf(" %10.1f (%.3f)", result.p99_wait_ms, result.uneven_share);
      }
      std::printf("\n");
      std::fflush(stdout);
    }
  }
}

}  // namespace
}  // namespace vanillalever::balance

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  vanillalever::balance::PrintTable();
  return 0;
}
