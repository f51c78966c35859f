#include "fake_platform.h"

#include <algorithm>

namespace vanillalever::faultmatrix {

namespace {

constexpr Duration kRequestTimeout = milliseconds(800);
// Delay until the instance list shows a change.
constexpr Duration kInstanceListLag = milliseconds(1500);

}  // namespace

FakePlatform::FakePlatform(Simulator& simulator, Network& network)
    : simulator_(simulator),
      network_(network),
      process_(simulator, "platform") {
  instance_lists_.emplace_back(simulator.now(), Instances());
}

template <typename Response>
void FakePlatform::Request(Process& from,
                           std::function<std::optional<Response>()> serve,
                           std::function<void(Response)> on_reply,
                           Network::OnFailure on_failure) {
  network_.SendRequest<Response>(
      from, process_, kRequestTimeout,
      [this, serve = std::move(serve)](std::function<void(Response)> respond) {
        auto time = ServiceTime();
        if (!time)
          return;
        // The work is done before or after the delay, at random.
        Duration before = *time * static_cast<int>(simulator_.RandomChance(50));
        process_.Schedule(
            before, [this, serve, respond, rest = *time - before] {
              if (auto response = serve()) {
                process_.Schedule(rest,
                                  [respond, response] { respond(*response); });
              }
            });
      },
      std::move(on_reply), std::move(on_failure));
}

void FakePlatform::Transact(Process& from,
                            const program::TransactionPlan& plan,
                            std::function<void(TransactionResult)> on_reply,
                            Network::OnFailure on_failure) {
  Request<TransactionResult>(
      from,
      [this, plan]() -> std::optional<TransactionResult> {
        TransactionResult result = Apply(plan);
        if (result.applied && lose_responses_ > 0) {
          --lose_responses_;
          return std::nullopt;
        }
        return result;
      },
      std::move(on_reply), std::move(on_failure));
}

void FakePlatform::Read(Process& from,
                        const std::string& prefix,
                        std::function<void(std::vector<TableRow>)> on_reply,
                        Network::OnFailure on_failure) {
  Request<std::vector<TableRow>>(
      from,
      [this, prefix]() -> std::optional<std::vector<TableRow>> {
        std::vector<TableRow> rows;
        for (auto it = table_.lower_bound(prefix);
             it != table_.end() && it->first.starts_with(prefix); ++it) {
          rows.push_back(it->second);
        }
        return rows;
      },
      std::move(on_reply), std::move(on_failure));
}

void FakePlatform::ReadInstances(Process& from,
                                 std::function<void(Instances)> on_reply,
                                 Network::OnFailure on_failure) {
  Request<Instances>(
      from, [this]() -> std::optional<Instances> { return VisibleInstances(); },
      std::move(on_reply), std::move(on_failure));
}

void FakePlatform::SetInstances(Instances instances) {
  instance_lists_.emplace_back(simulator_.now() + kInstanceListLag,
                               std::move(instances));
}

void FakePlatform::SetUnavailable(Duration time) {
  unavailable_until_ = simulator_.now() + time;
}

void FakePlatform::SetSlow(Duration time) {
  slow_until_ = simulator_.now() + time;
}

void FakePlatform::FreezeInstanceList(Duration time) {
  VisibleInstances();
  list_frozen_until_ = simulator_.now() + time;
}

void FakePlatform::OmitInstances(Duration time) {
  list_incomplete_until_ = simulator_.now() + time;
}

bool FakePlatform::instance_list_current() const {
  return simulator_.now() >=
         std::max(list_frozen_until_, list_incomplete_until_);
}

bool FakePlatform::healthy() const {
  return simulator_.now() >= std::max(unavailable_until_, slow_until_);
}

TransactionResult FakePlatform::Apply(const program::TransactionPlan& plan) {
  for (const auto& [key, version] : plan.conditions) {
    auto it = table_.find(key);
    if ((it == table_.end() ? 0 : it->second.version) != version)
      return {false, 0, key};
  }
  ++version_;
  for (const auto& [key, value] : plan.writes) {
    if (value)
      table_[key] = TableRow{key, *value, version_, plan.token};
    else
      table_.erase(key);
  }
  return {true, version_, ""};
}

FakePlatform::Instances FakePlatform::VisibleInstances() {
  bool frozen = simulator_.now() < list_frozen_until_;
  while (!frozen && instance_lists_.size() > 1 &&
         instance_lists_[1].first <= simulator_.now())
    instance_lists_.pop_front();
  Instances shown = instance_lists_.front().second;
  if (simulator_.now() < list_incomplete_until_) {
    for (std::size_t i = 0; i < shown.size(); ++i)
      shown.erase(shown.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return shown;
}

std::optional<Duration> FakePlatform::ServiceTime() {
  if (simulator_.now() < unavailable_until_)
    return std::nullopt;
  if (simulator_.now() < slow_until_)
    return simulator_.RandomDuration(200, 1200);
  return simulator_.RandomDuration(1, 5);
}

}  // namespace vanillalever::faultmatrix
