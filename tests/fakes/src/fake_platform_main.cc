#include <gflags/gflags.h>

#include "fake_platform.h"
#include "fake_server.h"

DEFINE_int32(port, 0, "Port on 127.0.0.1; 0 lets the kernel choose.");
DEFINE_uint64(seed, 1, "Seed of injected failures.");

int main(int argc, char** argv) {
  vanillalever::fakes::BlockStopSignals();
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  vanillalever::fakes::FakePlatform platform(FLAGS_seed);
  return vanillalever::fakes::RunFake(
      [&platform](vanillalever::fakes::HttpExchange& exchange) {
        platform.Handle(exchange);
      },
      static_cast<std::uint16_t>(FLAGS_port));
}
