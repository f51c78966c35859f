#include "vanillalever/forwarding/budget_service.h"

#include <charconv>
#include <memory>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "vanillalever/base/hash.h"
#include "vanillalever/base/logging.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;

constexpr const char* kTable = "budgets";
// Rows are spread over this many partitions, which the store changes
// independently of each other.
constexpr std::uint64_t kPartitions = 16;
// The store answers within about 10 ms when it is well; after this time a turn
// no longer waits for it.
constexpr milliseconds kStorePatience{100};
// How long a store that failed or was slow is not waited for.
constexpr milliseconds kSuspicion{300};
// Time for another entry to answer: several round trips between data centres.
constexpr milliseconds kPeerPatience{60};
// Pause after a call for unused tokens that brought none: a program that has
// spent its budget may keep asking.
constexpr milliseconds kCallInPause{500};
// How long answers to a call are taken.
constexpr base::seconds kCallInMemory{5};
// Ways that failed in a row after which waiting turns are refused.
constexpr int kMaxFailures = 3;

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
                             BudgetPeers& peers,
                             std::uint64_t seed,
                             BudgetSettings settings)
    : context_(context),
      table_(table),
      peers_(peers),
      book_(settings),
      random_(seed),
      next_ask_(random_.Next()) {}

bool BudgetService::store_suspect() const {
  return base::TimePoint::clock::now() < suspect_until_;
}

void BudgetService::NoteStoreCall(base::TimePoint started, bool done) {
  auto now = base::TimePoint::clock::now();
  bool suspect = !done || now - started > kStorePatience;
  if (suspect != store_suspect()) {
    base::LogEvent(
        base::LogLevel::kInfo, "budget_store",
        {{"state", suspect ? "suspect" : "well"},
         {"took_ms",
          std::to_string(std::chrono::duration_cast<milliseconds>(now - started)
                             .count())}});
  }
  suspect_until_ = suspect ? now + kSuspicion : base::TimePoint{};
}

void BudgetService::Begin(const std::string& program,
                          std::int64_t budget,
                          std::int64_t most,
                          Callback callback) {
  Enqueue(program, {budget, most, std::move(callback), false,
                    AdvancedElsewhere(program)});
}

std::int64_t BudgetService::AdvancedElsewhere(
    const std::string& program) const {
  auto found = advanced_.find(program);
  return found == advanced_.end() ? 0 : found->second;
}

void BudgetService::Enqueue(const std::string& program, Waiter waiter) {
  auto found = pending_.find(program);
  bool busy = found != pending_.end() && !found->second.waiters.empty();
  Pending& pending = pending_[program];
  pending.waiters.push_back(std::move(waiter));
  // The first in the queue obtains the tokens for all.
  if (!busy)
    Continue(program);
}

void BudgetService::End(const std::string& program,
                        std::int64_t most,
                        std::int64_t used) {
  book_.End(program, most, used);
}

void BudgetService::Continue(const std::string& program) {
  if (!AnswerWaiters(program))
    Obtain(program);
}

bool BudgetService::AnswerWaiters(const std::string& program) {
  while (!pending_[program].waiters.empty()) {
    Waiter& next = pending_[program].waiters.front();
    auto now = base::TimePoint::clock::now();
    BudgetVerdict verdict = book_.Begin(program, next.budget, next.most, now);
    if (verdict == BudgetVerdict::kReserve)
      return false;
    if (verdict == BudgetVerdict::kSpent && !next.for_peer &&
        StartCallIn(program))
      return true;
    Callback callback = std::move(next.callback);
    pending_[program].waiters.pop_front();
    pending_[program].failures = 0;
    callback(verdict == BudgetVerdict::kGranted ? BudgetAnswer::kGranted
                                                : BudgetAnswer::kSpent);
  }
  if (!pending_[program].storing)
    pending_.erase(program);
  return true;
}

void BudgetService::Obtain(const std::string& program) {
  Pending& pending = pending_[program];
  if (store_suspect())
    return Borrow(program);
  if (pending.storing)
    return After(program, kStorePatience, [this, program] { Borrow(program); });
  auto next = book_.NextReservation(program, pending.waiters.front().most);
  if (!next)
    return Continue(program);
  Reserve(program, *next);
  After(program, kStorePatience, [this, program] { Borrow(program); });
}

bool BudgetService::StartCallIn(const std::string& program) {
  auto now = base::TimePoint::clock::now();
  CallIn& call = call_ins_[program];
  auto answers_due = call.started + kPeerPatience;
  if (now >= answers_due) {
    if (call.brought == 0 && now - call.started < kCallInPause)
      return false;
    call = {++next_ask_, now, {}, 0};
    answers_due = now + kPeerPatience;
    if (!peers_.CallIn({call.id, program, book_.reserved(program)}))
      return false;
  }
  After(program, answers_due - now, [this, program] { Continue(program); });
  return true;
}

void BudgetService::OnCallIn(const BudgetCallIn& call,
                             std::function<void(const BudgetGive&)> reply) {
  book_.ObserveReserved(call.program, call.reserved,
                        base::TimePoint::clock::now());
  if (pending_.contains(call.program))
    return;
  BudgetGive give;
  give.ask = call.call;
  give.program = call.program;
  give.tokens = book_.TakeUnused(call.program);
  give.reserved = book_.reserved(call.program);
  if (give.tokens > 0)
    reply(give);
}

void BudgetService::After(const std::string& program,
                          base::Duration delay,
                          std::function<void()> action) {
  std::uint64_t use = random_.Next();
  pending_[program].timer = use;
  auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
  timer->async_wait([this, program, use, timer, action = std::move(action)](
                        boost::system::error_code error) {
    auto found = pending_.find(program);
    if (!error && found != pending_.end() && found->second.timer == use &&
        !found->second.waiters.empty())
      action();
  });
}

void BudgetService::Borrow(const std::string& program) {
  Pending& pending = pending_[program];
  const Waiter& first = pending.waiters.front();
  // The home has not helped.
  if (pending.failures > 0 && !first.for_peer && StartCallIn(program))
    return;
  if (++pending.failures > kMaxFailures)
    return FailWaiters(program, "neither store nor home gateway answered");
  if (!first.for_peer) {
    BudgetAsk ask;
    ask.ask = ++next_ask_;
    ask.program = program;
    ask.budget = first.budget;
    ask.tokens = first.most;
    ask.reserved = book_.reserved(program);
    ask.advanced = AdvancedElsewhere(program);
    switch (peers_.Ask(ask)) {
      case BudgetHome::kNone:
        return FailWaiters(program, "too few other gateways are heard");
      case BudgetHome::kHere:
        break;
      case BudgetHome::kOther:
        pending.ask = ask.ask;
        return After(program, kPeerPatience,
                     [this, program] { Obtain(program); });
    }
  }
  if (!book_.Advance(program, first.most, first.advanced)) {
    if (!first.for_peer && StartCallIn(program))
      return;
    return FailWaiters(program, "the advance limit is reached");
  }
  base::LogEvent(base::LogLevel::kInfo, "budget_advanced",
                 {{"program", program},
                  {"tokens", std::to_string(first.most)},
                  {"reserved", std::to_string(book_.reserved(program))}});
  Continue(program);
}

void BudgetService::FailWaiters(const std::string& program,
                                std::string_view reason) {
  Pending& pending = pending_[program];
  base::LogEvent(
      base::LogLevel::kWarning, "budget_unavailable",
      {{"program", program},
       {"reason", std::string(reason)},
       {"waiting", std::to_string(pending.waiters.size())},
       {"reserved", std::to_string(book_.reserved(program))},
       {"advanced", std::to_string(book_.unsettled(program))},
       {"advanced_elsewhere", std::to_string(AdvancedElsewhere(program))}});
  auto waiters = std::exchange(pending.waiters, {});
  pending.failures = 0;
  if (!pending.storing)
    pending_.erase(program);
  for (const Waiter& waiter : waiters)
    waiter.callback(BudgetAnswer::kUnavailable);
}

void BudgetService::Reserve(const std::string& program,
                            const BudgetReservation& next) {
  pending_[program].storing = true;
  std::string writer = base::HexString(random_.Next());
  TableWrite write;
  write.name = NameOf(program);
  write.expected_version = next.expected_version;
  write.value = Encode(next.reserved, writer);
  auto started = base::TimePoint::clock::now();
  table_.Write(std::move(write), [this, program, next, writer,
                                  started](const WriteResult& result) {
    NoteStoreCall(started, result.outcome == StoreOutcome::kDone ||
                               result.outcome == StoreOutcome::kConflict);
    OnWritten(program, next, writer, result);
  });
}

void BudgetService::OnWritten(const std::string& program,
                              const BudgetReservation& reservation,
                              const std::string& writer,
                              const WriteResult& result) {
  if (result.outcome == StoreOutcome::kUnknown)
    return ReadBack(program, reservation, writer);
  pending_[program].storing = false;
  if (result.outcome == StoreOutcome::kNotDone)
    return OnStoreFailure(program, "write", result.reason);
  if (result.outcome == StoreOutcome::kDone)
    book_.Reserved(program, reservation, result.version);
  else if (result.current && TakeRow(program, *result.current, writer))
    book_.Reserved(program, reservation, result.current->version);
  Continue(program);
}

void BudgetService::ReadBack(const std::string& program,
                             const BudgetReservation& reservation,
                             const std::string& writer) {
  table_.Read(NameOf(program), [this, program, reservation,
                                writer](const ReadResult& result) {
    pending_[program].storing = false;
    if (result.outcome != StoreOutcome::kDone)
      return OnStoreFailure(program, "read back", result.reason);
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

void BudgetService::OnStoreFailure(const std::string& program,
                                   std::string_view step,
                                   const std::string& reason) {
  base::LogEvent(
      base::LogLevel::kWarning, "budget_store_failed",
      {{"program", program}, {"step", std::string(step)}, {"reason", reason}});
  // The store is suspect now, so that waiting turns take another way.
  Continue(program);
}

void BudgetService::OnAsk(const BudgetAsk& ask,
                          std::function<void(const BudgetGive&)> reply) {
  book_.ObserveReserved(ask.program, ask.reserved,
                        base::TimePoint::clock::now());
  auto answer = [this, ask, reply = std::move(reply)](BudgetAnswer answer) {
    BudgetGive give;
    give.ask = ask.ask;
    give.program = ask.program;
    give.reserved = book_.reserved(ask.program);
    give.advanced = book_.unsettled(ask.program);
    if (answer == BudgetAnswer::kGranted) {
      // The tokens are the other entry's from now on.
      book_.End(ask.program, ask.tokens, ask.tokens);
      give.tokens = ask.tokens;
    }
    if (answer != BudgetAnswer::kUnavailable)
      reply(give);
  };
  Enqueue(ask.program,
          {ask.budget, ask.tokens, std::move(answer), true, ask.advanced});
}

void BudgetService::OnGive(const BudgetGive& give) {
  book_.ObserveReserved(give.program, give.reserved,
                        base::TimePoint::clock::now());
  auto call = call_ins_.find(give.program);
  if (call != call_ins_.end() && call->second.id == give.ask)
    return OnCalledIn(call->second, give);
  book_.Receive(give.program, give.tokens);
  if (give.advanced > 0)
    advanced_[give.program] = give.advanced;
  else
    advanced_.erase(give.program);
  auto found = pending_.find(give.program);
  if (found == pending_.end() || found->second.ask != give.ask)
    return;
  found->second.ask = 0;
  if (!found->second.waiters.empty())
    Continue(give.program);
}

void BudgetService::OnCalledIn(CallIn& call, const BudgetGive& give) {
  if (!call.givers.insert(give.giver).second)
    return;
  call.brought += give.tokens;
  book_.Receive(give.program, give.tokens);
  auto found = pending_.find(give.program);
  if (found != pending_.end() && !found->second.waiters.empty() &&
      book_.Covers(give.program, found->second.waiters.front().most))
    Continue(give.program);
}

void BudgetService::OnProvisionalGrantsLost(base::Duration duration) {
  auto until = base::TimePoint::clock::now() + duration;
  if (until <= advances_lost_until_)
    return;
  advances_lost_until_ = until;
  book_.SetAdvancesLost(true);
}

void BudgetService::CommitAndRelease() {
  if (base::TimePoint::clock::now() >= advances_lost_until_)
    book_.SetAdvancesLost(false);
  if (store_suspect())
    return;
  for (const std::string& program : book_.Unsettled()) {
    auto settlement = book_.Settlement(program);
    if (settlement && !pending_.contains(program))
      Reserve(program, *settlement);
  }
  auto now = base::TimePoint::clock::now();
  for (const std::string& program : book_.Returnable(now)) {
    if (pending_.contains(program))
      continue;
    if (auto give_back = book_.TakeReturn(program, now))
      Reserve(program, *give_back);
  }
}

void BudgetService::Sweep(base::Duration retention) {
  auto now = base::TimePoint::clock::now();
  std::erase_if(call_ins_, [now](const auto& entry) {
    return now - entry.second.started > kCallInMemory;
  });
  auto before = now - retention;
  for (const auto& [program, row_version] : book_.Forget(before)) {
    advanced_.erase(program);
    if (row_version == 0)
      continue;
    TableWrite write;
    write.name = NameOf(program);
    write.expected_version = row_version;
    // A row that stays behind after a failure is deleted by nobody else; it
    // only takes room.
    table_.Write(std::move(write), [](const WriteResult&) {});
  }
}

}  // namespace vanillalever::forwarding
