#include <gflags/gflags.h>

#include "fake_engine.h"
#include "fake_server.h"
#include "vanillalever/base/settings.h"

DEFINE_int32(port, 0, "Port on 127.0.0.1; 0 lets the kernel choose.");
DEFINE_double(prefill_rate, 8000, "Prefill rate of the engine, in tokens/s.");
DEFINE_double(decode_rate, 60, "Decode rate of one request, in tokens/s.");
DEFINE_double(total_decode_rate,
              1500,
              "Decode rate of the whole batch, in tokens/s.");
DEFINE_int32(max_running, 32, "Maximum number of running requests.");
DEFINE_int64(cache_tokens, 400000, "Capacity of the prefix cache, in tokens.");
DEFINE_bool(check_fencing,
            true,
            "Reject control commands with a stale fencing token.");
DEFINE_int32(load_lag_ms, 1000, "Delay of the reported load, in ms.");
DEFINE_uint64(seed, 1, "Seed of injected failures.");

int main(int argc, char** argv) {
  vanillalever::fakes::BlockStopSignals();
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  vanillalever::base::SettingsCheck check;
  check.Require(FLAGS_prefill_rate > 0, "prefill_rate", "must be positive");
  check.Require(FLAGS_decode_rate > 0, "decode_rate", "must be positive");
  check.Require(FLAGS_total_decode_rate > 0, "total_decode_rate",
                "must be positive");
  check.Require(FLAGS_max_running > 0, "max_running", "must be positive");
  check.Require(FLAGS_load_lag_ms >= 0, "load_lag_ms", "must not be negative");
  if (int code = check.Report(); code != 0)
    return code;
  vanillalever::fakes::EngineSettings settings;
  settings.batch = {
      FLAGS_prefill_rate, FLAGS_decode_rate, FLAGS_total_decode_rate,
      static_cast<std::size_t>(FLAGS_max_running), FLAGS_cache_tokens};
  settings.check_fencing = FLAGS_check_fencing;
  settings.load_lag = std::chrono::milliseconds(FLAGS_load_lag_ms);
  settings.seed = FLAGS_seed;
  vanillalever::fakes::FakeEngine engine(settings);
  return vanillalever::fakes::RunFake(
      [&engine](vanillalever::fakes::HttpExchange& exchange) {
        engine.Handle(exchange);
      },
      static_cast<std::uint16_t>(FLAGS_port));
}
