#include "fake_platform.h"

#include <algorithm>

namespace vanillalever::faultmatrix {

namespace {

constexpr Duration kTimeout = milliseconds(800);
// How late the instance list shows a change.
constexpr Duration kListLag = milliseconds(1500);

}  // namespace

FakePlatform::FakePlatform(Simulator& simulator, Network& network)
    : simulator_(simulator), network_(network), host_(simulator, "platform") {
  lists_.emplace_back(simulator.now(), Instances());
}

template <typename Response>
void FakePlatform::Request(Host& from,
                           std::function<std::optional<Response>()> serve,
                           std::function<void(Response)> on_reply,
                           Network::OnFail on_fail) {
  network_.Call<Response>(
      from, host_, kTimeout,
      [this, serve = std::move(serve)](std::function<void(Response)> respond) {
        auto time = ServiceTime();
        if (!time)
          return;
        // A slow platform does the work at some point and answers later.
        Duration before = *time * static_cast<int>(simulator_.Chance(50));
        host_.After(before, [this, serve, respond, rest = *time - before] {
          if (auto response = serve()) {
            host_.After(rest, [respond, response] { respond(*response); });
          }
        });
      },
      std::move(on_reply), std::move(on_fail));
}

void FakePlatform::Transact(Host& from,
                            const program::TransactionPlan& plan,
                            std::function<void(TransactionResult)> on_reply,
                            Network::OnFail on_fail) {
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
      std::move(on_reply), std::move(on_fail));
}

void FakePlatform::Read(Host& from,
                        const std::string& prefix,
                        std::function<void(std::vector<TableRow>)> on_reply,
                        Network::OnFail on_fail) {
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
      std::move(on_reply), std::move(on_fail));
}

void FakePlatform::ReadInstances(Host& from,
                                 std::function<void(Instances)> on_reply,
                                 Network::OnFail on_fail) {
  Request<Instances>(
      from, [this]() -> std::optional<Instances> { return List(); },
      std::move(on_reply), std::move(on_fail));
}

void FakePlatform::SetInstances(Instances instances) {
  lists_.emplace_back(simulator_.now() + kListLag, std::move(instances));
}

void FakePlatform::Down(Duration time) {
  down_until_ = simulator_.now() + time;
}

void FakePlatform::Slow(Duration time) {
  slow_until_ = simulator_.now() + time;
}

void FakePlatform::FreezeList(Duration time) {
  List();
  frozen_until_ = simulator_.now() + time;
}

void FakePlatform::GapList(Duration time) {
  gap_until_ = simulator_.now() + time;
}

bool FakePlatform::list_current() const {
  return simulator_.now() >= std::max(frozen_until_, gap_until_);
}

bool FakePlatform::healthy() const {
  return simulator_.now() >= std::max(down_until_, slow_until_);
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

FakePlatform::Instances FakePlatform::List() {
  bool frozen = simulator_.now() < frozen_until_;
  while (!frozen && lists_.size() > 1 && lists_[1].first <= simulator_.now())
    lists_.pop_front();
  Instances shown = lists_.front().second;
  if (simulator_.now() < gap_until_) {
    for (std::size_t i = 0; i < shown.size(); ++i)
      shown.erase(shown.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return shown;
}

std::optional<Duration> FakePlatform::ServiceTime() {
  if (simulator_.now() < down_until_)
    return std::nullopt;
  if (simulator_.now() < slow_until_)
    return simulator_.Between(200, 1200);
  return simulator_.Between(1, 5);
}

}  // namespace vanillalever::faultmatrix
