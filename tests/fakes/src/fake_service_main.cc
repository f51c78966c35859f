#include <gflags/gflags.h>

#include "fake_server.h"
#include "fake_service.h"

DEFINE_int32(port, 0, "Port on 127.0.0.1; 0 lets the kernel choose.");
DEFINE_bool(honour_keys, false, "Execute an Idempotency-Key only once.");
DEFINE_string(ledger_file,
              "",
              "File to which executions are appended; survives a crash.");
DEFINE_uint64(seed, 1, "Seed of injected failures.");

int main(int argc, char** argv) {
  vanillalever::fakes::BlockStopSignals();
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  vanillalever::fakes::FakeService service(
      {FLAGS_honour_keys, FLAGS_ledger_file, FLAGS_seed});
  return vanillalever::fakes::RunFake(
      [&service](vanillalever::fakes::HttpExchange& exchange) {
        service.Handle(exchange);
      },
      static_cast<std::uint16_t>(FLAGS_port));
}
