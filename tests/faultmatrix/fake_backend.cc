#include "fake_backend.h"

#include <utility>

#include "cluster.h"

namespace vanillalever::faultmatrix {

FakeBackend::FakeBackend(Cluster& cluster,
                         std::string address,
                         bool engine,
                         std::uint64_t run_number)
    : cluster_(cluster),
      process_(cluster.simulator(), std::move(address)),
      engine_(engine),
      run_number_(run_number) {}

void FakeBackend::Run(const ExecuteRequest& request,
                      const std::function<void(std::size_t)>& respond) {
  Simulator& simulator = cluster_.simulator();
  if (request.crashes) {
    cluster_.RecordCrash(request.fingerprint);
    cluster_.KillBackend(process_.address());
    return;
  }
  Execution execution;
  execution.program = request.program.text();
  execution.turn = request.key.turn;
  execution.repeatable = request.repeatable;
  execution.token = request.key.work_token;
  execution.server = process_.address();
  execution.started = simulator.now();
  Duration time = simulator.RandomChance(10)
                      ? simulator.RandomDuration(800, 1500)  // a long run
                      : simulator.RandomDuration(20, 300);
  execution.ended = simulator.now() + time;
  auto spread = static_cast<std::uint64_t>(request.worst_case);
  execution.cost =
      1 + static_cast<std::int64_t>(simulator.random().Below(spread));
  std::size_t index = cluster_.executions().size();
  execution.answer = "answer " + execution.program + " turn " +
                     std::to_string(execution.turn) + " run " +
                     std::to_string(index) + " end";
  cluster_.executions().push_back(std::move(execution));
  if (engine_) {
    cache_[{request.program.text(), request.program_incarnation}] +=
        request.worst_case;
    cluster_.PublishCacheEvent(*this, request.program.text(),
                               request.worst_case);
  }
  if (!cluster_.ConsumeHang())
    process_.Schedule(time, [respond, index] { respond(index); });
}

void FakeBackend::Release(const execution::CacheHolder& holder) {
  cache_.erase(holder);
  cluster_.PublishCacheEvent(*this, holder.program, 0);
}

}  // namespace vanillalever::faultmatrix
