#include "vanillalever/forwarding/budget_service.h"

#include <charconv>
#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "vanillalever/base/hash.h"
#include "vanillalever/base/logging.h"

namespace vanillalever::forwarding {
namespace {

constexpr const char* kTable = "budgets";
// Rows are spread over this many partitions, which the store changes
// independently of each other.
constexpr std::uint64_t kPartitions = 16;
// Failed calls in a row after which waiting turns are refused.
constexpr int kMaxFailures = 3;
// Pause after the first failed call; doubles with each further one.
constexpr base::milliseconds kFirstPause{25};

RowName NameOf(const std::string& program) {
  return {kTable, std::to_string(base::Hash64(program) % kPartitions), program};
}

// "<reserved tokens> <writer>".
std::string Encode(std::int64_t reserved, const std::string& writer) {
  return std::to_string(reserved) + " " + writer;
}

BudgetRow Decode(const TableRow& row) {
  BudgetRow budget;
  budget.version = row.version;
  const std::string& text = row.value;
  std::size_t space = text.find(' ');
  if (space != std::string::npos)
    budget.writer = text.substr(space + 1);
  std::from_chars(text.data(), text.data() + text.size(), budget.reserved);
  return budget;
}

}  // namespace

BudgetService::BudgetService(boost::asio::io_context& context,
                             SharedTable& table,
                             std::uint64_t seed,
                             BudgetSettings settings)
    : context_(context), table_(table), book_(settings), random_(seed) {}

void BudgetService::Begin(const std::string& program,
                          std::int64_t budget,
                          std::int64_t most,
                          Callback callback) {
  auto pending = pending_.find(program);
  if (pending == pending_.end()) {
    auto now = base::TimePoint::clock::now();
    switch (book_.Begin(program, budget, most, now)) {
      case BudgetVerdict::kGranted:
        return callback(BudgetAnswer::kGranted);
      case BudgetVerdict::kSpent:
        return callback(BudgetAnswer::kSpent);
      case BudgetVerdict::kReserve:
        break;
    }
  }
  bool idle = pending == pending_.end();
  pending_[program].waiters.push_back({budget, most, std::move(callback)});
  if (idle)
    Reserve(program);
}

void BudgetService::End(const std::string& program,
                        std::int64_t most,
                        std::int64_t used) {
  book_.End(program, most, used);
}

void BudgetService::Reserve(const std::string& program) {
  std::int64_t most = pending_[program].waiters.front().most;
  auto reservation = book_.NextReservation(program, most);
  if (!reservation)
    return Continue(program);
  std::string writer = base::HexString(random_.Next());
  TableWrite write;
  write.name = NameOf(program);
  write.expected_version = reservation->expected_version;
  write.value = Encode(reservation->reserved, writer);
  table_.Write(std::move(write), [this, program, reservation = *reservation,
                                  writer](const WriteResult& result) {
    OnWritten(program, reservation, writer, result);
  });
}

void BudgetService::OnWritten(const std::string& program,
                              const BudgetReservation& reservation,
                              const std::string& writer,
                              const WriteResult& result) {
  switch (result.outcome) {
    case StoreOutcome::kDone:
      book_.Reserved(program, reservation, result.version);
      return Continue(program);
    case StoreOutcome::kConflict:
      if (result.current && TakeRow(program, *result.current, writer))
        book_.Reserved(program, reservation, result.current->version);
      return Continue(program);
    case StoreOutcome::kNotDone:
      return OnFailure(program, "write");
    case StoreOutcome::kUnknown:
      return ReadBack(program, reservation, writer);
  }
}

void BudgetService::ReadBack(const std::string& program,
                             const BudgetReservation& reservation,
                             const std::string& writer) {
  table_.Read(NameOf(program), [this, program, reservation,
                                writer](const ReadResult& result) {
    if (result.outcome != StoreOutcome::kDone)
      return OnFailure(program, "read back");
    // An absent or unchanged row may still be written by the delayed call; the
    // next reservation expects the same version, so that at most one counts.
    if (!result.rows.empty() && TakeRow(program, result.rows.front(), writer))
      book_.Reserved(program, reservation, result.rows.front().version);
    Continue(program);
  });
}

bool BudgetService::TakeRow(const std::string& program,
                            const TableRow& row,
                            const std::string& writer) {
  BudgetRow budget = Decode(row);
  book_.Observe(program, budget);
  return budget.writer == writer;
}

void BudgetService::Continue(const std::string& program) {
  pending_[program].failures = 0;
  while (!pending_[program].waiters.empty()) {
    const Waiter& next = pending_[program].waiters.front();
    auto now = base::TimePoint::clock::now();
    BudgetVerdict verdict = book_.Begin(program, next.budget, next.most, now);
    if (verdict == BudgetVerdict::kReserve)
      return Reserve(program);
    Callback callback = next.callback;
    pending_[program].waiters.pop_front();
    callback(verdict == BudgetVerdict::kGranted ? BudgetAnswer::kGranted
                                                : BudgetAnswer::kSpent);
  }
  pending_.erase(program);
}

void BudgetService::OnFailure(const std::string& program,
                              std::string_view step) {
  Pending& pending = pending_[program];
  ++pending.failures;
  if (pending.failures > kMaxFailures) {
    base::LogEvent(base::LogLevel::kWarning, "budget_store_failed",
                   {{"program", program},
                    {"step", std::string(step)},
                    {"waiting", std::to_string(pending.waiters.size())}});
    auto waiters = std::move(pending.waiters);
    pending_.erase(program);
    for (const Waiter& waiter : waiters)
      waiter.callback(BudgetAnswer::kUnavailable);
    return;
  }
  auto pause = kFirstPause * (1 << (pending.failures - 1));
  auto timer = std::make_shared<boost::asio::steady_timer>(context_, pause);
  timer->async_wait([this, program, timer](boost::system::error_code error) {
    if (!error)
      Reserve(program);
  });
}

void BudgetService::Sweep(base::Duration retention) {
  auto before = base::TimePoint::clock::now() - retention;
  for (const std::string& program : book_.Forget(before)) {
    // The row is deleted only if it is still as last seen.
    table_.Read(NameOf(program), [this, program](const ReadResult& result) {
      if (result.outcome != StoreOutcome::kDone || result.rows.empty())
        return;
      TableWrite write;
      write.name = NameOf(program);
      write.expected_version = result.rows.front().version;
      table_.Write(std::move(write), [](const WriteResult&) {});
    });
  }
}

}  // namespace vanillalever::forwarding
