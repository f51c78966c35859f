#include "load_run.h"

#include <chrono>
#include <cmath>
#include <optional>
#include <thread>
#include <utility>

namespace vanillalever::load {
namespace {

// Ledger of one test double; empty if it cannot be read.
std::optional<nlohmann::json> FetchLedger(http::BlockingClient& client,
                                          const std::string& address) {
  http::ClientRequest request;
  request.address = address;
  request.target = "/ledger";
  http::ClientResult result = client.Send(std::move(request));
  nlohmann::json ledger = nlohmann::json::parse(result.body, nullptr, false);
  if (result.error || !ledger.is_object())
    return std::nullopt;
  return ledger;
}

template <typename Parse>
std::vector<LedgerEntry> FetchLedgerEntries(
    const std::vector<std::string>& addresses,
    Parse parse,
    std::vector<std::string>& unavailable) {
  http::BlockingClient client;
  std::vector<LedgerEntry> entries;
  for (const std::string& address : addresses) {
    auto ledger = FetchLedger(client, address);
    if (!ledger) {
      unavailable.push_back(address);
      continue;
    }
    std::vector<LedgerEntry> ledger_entries = parse(*ledger);
    entries.insert(entries.end(), ledger_entries.begin(), ledger_entries.end());
  }
  return entries;
}

}  // namespace

LoadResult LoadRun::Run() {
  base::Random random(settings_.seed);
  const base::TimePoint start = std::chrono::steady_clock::now();
  std::chrono::duration<double> arrival{0};
  for (int i = 0; i < settings_.programs; ++i) {
    if (settings_.rate > 0)
      arrival += std::chrono::duration<double>(-std::log(1 - random.Uniform()) /
                                               settings_.rate);
    if (arrival > settings_.duration)
      break;
    PlannedProgram plan =
        DrawProgram(settings_.workload,
                    settings_.key_prefix + "-" + std::to_string(i), random);
    std::this_thread::sleep_until(
        start + std::chrono::duration_cast<base::Duration>(arrival));
    StartProgram(std::move(plan), random.Next());
  }
  std::unique_lock lock(mutex_);
  program_ended_.wait(lock, [this] { return active_ == 0; });
  return std::move(result_);
}

void LoadRun::StartProgram(PlannedProgram plan, std::uint64_t seed) {
  std::unique_lock lock(mutex_);
  if (active_ >= settings_.max_active)
    ++result_.delayed_arrivals;
  program_ended_.wait(lock, [this] { return active_ < settings_.max_active; });
  ++active_;
  // Detached: Run waits until active_ is zero.
  std::thread([this, plan = std::move(plan), seed] {
    auto records = ProgramRunner(client_, runner_, plan, "", seed).Run();
    std::lock_guard ending(mutex_);
    result_.programs.insert(result_.programs.end(), records.begin(),
                            records.end());
    --active_;
    program_ended_.notify_all();
  }).detach();
}

FetchedLedgers FetchLedgers(const std::vector<std::string>& services,
                            const std::vector<std::string>& engines) {
  FetchedLedgers fetched;
  fetched.ledgers.services = FetchLedgerEntries(services, ParseServiceLedger,
                                                fetched.unavailable_services);
  fetched.ledgers.engines = FetchLedgerEntries(engines, ParseEngineLedger,
                                               fetched.unavailable_engines);
  return fetched;
}

}  // namespace vanillalever::load
