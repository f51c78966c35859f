// Measures latency and throughput of service calls, directly and through an
// entry and its sidecar, with a fixed number of callers.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "vanillalever/base/random.h"
#include "vanillalever/http/blocking_client.h"

DEFINE_string(server, "", "Address ip:port of the service, for direct calls.");
DEFINE_string(entry, "", "Address ip:port of the entry.");
DEFINE_string(token, "", "Bearer token of the organisation.");
DEFINE_string(program_class, "", "Class of the programs.");
DEFINE_string(pool, "", "Pool of the service.");
DEFINE_string(operation, "", "Operation to call.");
DEFINE_int32(callers, 1, "Number of concurrent callers.");
DEFINE_int32(calls, 1000, "Number of calls per caller.");

namespace {

using Json = nlohmann::json;
using vanillalever::http::BlockingClient;
using vanillalever::http::ClientRequest;

// Sends a request and returns the response body; empty after an error.
std::string Post(BlockingClient& client,
                 const std::string& address,
                 const std::string& target,
                 const Json& body) {
  ClientRequest request;
  request.address = address;
  request.method = "POST";
  request.target = target;
  request.body = body.dump();
  request.headers.emplace_back("Authorization", "Bearer " + FLAGS_token);
  auto result = client.Send(std::move(request));
  bool failed = result.error.has_value() || result.status / 100 != 2;
  return failed ? std::string() : result.body;
}

// Latencies of the successful calls of one caller (microseconds), and number of
// failed calls.
struct CallerResult {
  std::vector<double> latencies_us;
  int failed = 0;
};

CallerResult RunCaller(bool direct) {
  BlockingClient client;
  CallerResult result;
  std::string target = "/" + FLAGS_operation;
  if (!direct) {
    std::string created = Post(client, FLAGS_entry, "/v1/programs",
                               {{"key", vanillalever::base::RandomId()},
                                {"class", FLAGS_program_class}});
    std::string id = Json::parse(created, nullptr, false).value("id", "");
    target = "/v1/programs/" + id + "/calls";
  }
  for (int i = 1; i <= FLAGS_calls; ++i) {
    Json body = {{"ref", std::to_string(i)}};
    if (!direct) {
      body = {{"turn", i},
              {"pool", FLAGS_pool},
              {"operation", FLAGS_operation},
              {"body", body}};
    }
    auto start = std::chrono::steady_clock::now();
    bool ok = !Post(client, direct ? FLAGS_server : FLAGS_entry, target, body)
                   .empty();
    std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - start;
    if (ok)
      result.latencies_us.push_back(elapsed.count());
    else
      ++result.failed;
  }
  return result;
}

double Quantile(const std::vector<double>& sorted, double quantile) {
  if (sorted.empty())
    return 0;
  auto index = static_cast<std::size_t>(quantile *
                                        static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

void Measure(const char* name, bool direct) {
  std::vector<CallerResult> results(static_cast<std::size_t>(FLAGS_callers));
  std::vector<std::thread> threads;
  threads.reserve(results.size());
  auto start = std::chrono::steady_clock::now();
  for (CallerResult& result : results)
    threads.emplace_back([&result, direct] { result = RunCaller(direct); });
  for (std::thread& thread : threads)
    thread.join();
  std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  std::vector<double> latencies_us;
  int failed = 0;
  for (const CallerResult& result : results) {
    latencies_us.insert(latencies_us.end(), result.latencies_us.begin(),
                        result.latencies_us.end());
    failed += result.failed;
  }
  std::sort(latencies_us.begin(), latencies_us.end());
  std::printf(
      "%s: callers=%d calls=%zu failed=%d per_second=%.0f p50_us=%.0f "
      "p99_us=%.0f\n",
      name, FLAGS_callers, latencies_us.size(), failed,
      static_cast<double>(latencies_us.size()) / elapsed.count(),
      Quantile(latencies_us, 0.5), Quantile(latencies_us, 0.99));
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  Measure("direct", true);
  Measure("path", false);
  return 0;
}
