#include "fake_backend.h"

#include <utility>

#include "world.h"

namespace vanillalever::faultmatrix {

FakeBackend::FakeBackend(World& world,
                         std::string address,
                         bool engine,
                         std::uint64_t number)
    : world_(world),
      host_(world.simulator(), std::move(address)),
      engine_(engine),
      number_(number) {}

void FakeBackend::Run(const ExecuteRequest& request,
                      const std::function<void(std::size_t)>& respond) {
  Simulator& simulator = world_.simulator();
  if (request.crashes) {
    world_.NoteCrash(request.fingerprint);
    world_.KillBackend(host_.address());
    return;
  }
  Execution execution;
  execution.program = request.program.text();
  execution.turn = request.key.turn;
  execution.repeatable = request.repeatable;
  execution.token = request.key.work_token;
  execution.server = host_.address();
  execution.started = simulator.now();
  Duration time = simulator.Chance(10)
                      ? simulator.Between(800, 1500)  // a long run
                      : simulator.Between(20, 300);
  execution.ended = simulator.now() + time;
  auto spread = static_cast<std::uint64_t>(request.worst_case);
  execution.cost =
      1 + static_cast<std::int64_t>(simulator.random().Below(spread));
  std::size_t index = world_.executions().size();
  execution.answer = "answer " + execution.program + " turn " +
                     std::to_string(execution.turn) + " run " +
                     std::to_string(index) + " end";
  world_.executions().push_back(std::move(execution));
  if (engine_) {
    cache_[{request.program.text(), request.program_incarnation}] +=
        request.worst_case;
    world_.PublishCache(*this, request.program.text(), request.worst_case);
  }
  if (!world_.TakeHang())
    host_.After(time, [respond, index] { respond(index); });
}

void FakeBackend::Release(const execution::CacheHolder& holder) {
  cache_.erase(holder);
  world_.PublishCache(*this, holder.program, 0);
}

}  // namespace vanillalever::faultmatrix
