#include "program_runner.h"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <thread>
#include <utility>

#include "fake_engine.h"

namespace vanillalever::load {
namespace {

using nlohmann::json;

base::TimePoint Now() {
  return std::chrono::steady_clock::now();
}

// Errors that a repetition cannot change.
bool IsFinal(const base::ErrorInfo& error) {
  switch (error.code) {
    case base::ErrorCode::kTimeout:
    case base::ErrorCode::kOverloaded:
    case base::ErrorCode::kUnavailable:
    case base::ErrorCode::kNotOwner:
    case base::ErrorCode::kConflict:
    case base::ErrorCode::kInternal:
      return false;
    case base::ErrorCode::kBackendFailed:
      return error.ran == base::ExecutionStatus::kRan;
    default:
      return true;
  }
}

TurnOutcome OutcomeOf(const base::ErrorInfo& error) {
  if (error.code == base::ErrorCode::kOutcomeUnknown)
    return TurnOutcome::kUnknown;
  return error.ran == base::ExecutionStatus::kNotRun ? TurnOutcome::kNotRun
                                                     : TurnOutcome::kFailed;
}

// Content of a chat completion in the entry's answer.
std::string ContentOf(const json& answer) {
  static const json::json_pointer path("/body/choices/0/message/content");
  return answer.contains(path) && answer.at(path).is_string()
             ? answer.at(path).get<std::string>()
             : "";
}

std::string ExpectedContent(const std::string& mark, std::int64_t tokens) {
  std::string text = mark;
  for (std::int64_t i = 1; i < tokens; ++i)
    text += " w" + std::to_string(i);
  return text;
}

std::string PromptOf(const PlannedTurn& turn, const std::string& ref) {
  std::string text = "ref=" + ref + " ";
  text.resize(std::max(text.size(), turn.prompt_bytes), 'q');
  return text;
}

}  // namespace

ProgramRunner::ProgramRunner(EntryClient& client,
                             const RunnerSettings& settings,
                             const PlannedProgram& plan,
                             std::string parent_id,
                             std::uint64_t seed)
    : client_(client),
      settings_(settings),
      plan_(plan),
      parent_id_(std::move(parent_id)),
      random_(seed) {
  record_.key = plan.key;
  record_.program_class = plan.program_class;
  record_.is_child = !parent_id_.empty();
}

std::vector<ProgramRecord> ProgramRunner::Run() {
  base::TimePoint start = Now();
  bool going = Create();
  for (std::size_t i = 0; going && i < plan_.turns.size(); ++i) {
    going = RunTurn(i);
    if (going && i == 0)
      RunChildren();
  }
  if (going) {
    CheckHistory();
    End();
  }
  record_.elapsed = Now() - start;
  std::vector<ProgramRecord> records = std::move(child_records_);
  records.push_back(std::move(record_));
  return records;
}

EntryAnswer ProgramRunner::Repeat(const std::function<EntryAnswer()>& send,
                                  int& attempts) {
  base::TimePoint give_up = Now() + settings_.give_up_after;
  base::milliseconds bound = settings_.first_backoff;
  while (true) {
    ++attempts;
    EntryAnswer answer = send();
    if (!answer.error || IsFinal(*answer.error) || Now() >= give_up)
      return answer;
    base::milliseconds jitter(
        random_.Below(static_cast<std::uint64_t>(bound.count()) + 1));
    std::this_thread::sleep_for(answer.error->retry_after + jitter);
    bound = std::min(bound * 2, settings_.max_backoff);
  }
}

bool ProgramRunner::Create() {
  json body = {{"key", plan_.key},
               {"class", plan_.program_class},
               {"budget", plan_.budget()}};
  if (!parent_id_.empty())
    body["parent"] = parent_id_;
  int attempts = 0;
  EntryAnswer answer =
      Repeat([&] { return client_.Post("/v1/programs", body); }, attempts);
  if (!answer.error)
    id_ = answer.body.value("id", "");
  if (id_.empty())
    record_.error_code = answer.error
                             ? base::kErrorCodeNames.name(answer.error->code)
                             : "no_program_id";
  return !id_.empty();
}

bool ProgramRunner::RunTurn(std::size_t index) {
  const PlannedTurn& turn = plan_.turns[index];
  TurnRecord record;
  record.ref = plan_.key + "/" + std::to_string(index + 1);
  record.model = turn.model;
  record.repeatable = turn.repeatable;
  // The history holds answers; an engine's answer begins with a hash of the
  // request's last message.
  record.mark =
      turn.model ? fakes::AnswerMark(PromptOf(turn, record.ref)) : record.ref;
  json body = {{"turn", index + 1},
               {"pool", turn.pool},
               {"operation", turn.operation},
               {"body", CallBody(turn, record.ref)}};
  if (turn.model) {
    body["max_tokens"] = turn.output_tokens;
    body["stream"] = true;
  }
  std::string target = "/v1/programs/" + id_ + "/calls";
  base::TimePoint start = Now();
  auto on_first_token = [&record, start] {
    if (record.first_token == base::Duration::zero())
      record.first_token = Now() - start;
  };
  EntryAnswer answer = Repeat(
      [&] {
        return turn.model ? client_.PostStreamed(target, body, on_first_token)
                          : client_.Post(target, body);
      },
      record.attempts);
  record.outcome = answer.error ? OutcomeOf(*answer.error) : TurnOutcome::kDone;
  if (!answer.error)
    record.own_answer = IsOwnAnswer(turn, record.ref, answer);
  bool going = record.outcome == TurnOutcome::kDone ||
               record.outcome == TurnOutcome::kUnknown;
  if (!going)
    record_.error_code = base::kErrorCodeNames.name(answer.error->code);
  record_.turns.push_back(std::move(record));
  if (going)
    std::this_thread::sleep_for(turn.pause * settings_.pause_scale);
  return going;
}

void ProgramRunner::RunChildren() {
  std::mutex mutex;
  std::vector<std::thread> threads;
  for (const PlannedProgram& child : plan_.children) {
    threads.emplace_back([this, &child, &mutex, seed = random_.Next()] {
      auto records = ProgramRunner(client_, settings_, child, id_, seed).Run();
      std::lock_guard lock(mutex);
      child_records_.insert(child_records_.end(), records.begin(),
                            records.end());
    });
  }
  for (std::thread& thread : threads)
    thread.join();
}

json ProgramRunner::CallBody(const PlannedTurn& turn, const std::string& ref) {
  if (!turn.model)
    return {{"ref", ref}};
  json message = {{"role", "user"}, {"content", PromptOf(turn, ref)}};
  if (settings_.send_history)
    messages_.push_back(message);
  else
    messages_ = json::array({message});
  return {{"messages", messages_},
          {"output_tokens", turn.output_tokens},
          {"max_tokens", turn.output_tokens},
          {"ref", ref}};
}

bool ProgramRunner::IsOwnAnswer(const PlannedTurn& turn,
                                const std::string& ref,
                                const EntryAnswer& answer) {
  if (!turn.model) {
    static const json::json_pointer path("/body/ref");
    return answer.body.contains(path) && answer.body.at(path) == ref;
  }
  std::string expected = ExpectedContent(fakes::AnswerMark(PromptOf(turn, ref)),
                                         turn.output_tokens);
  messages_.push_back({{"role", "assistant"}, {"content", expected}});
  std::string content = ContentOf(answer.body);
  // An answer from history may come without a stream, and a streamed answer
  // need not repeat its text at the end.
  bool whole = content == expected || answer.streamed == expected;
  bool mixed = (!content.empty() && content != expected) ||
               (!answer.streamed.empty() && answer.streamed != expected);
  return whole && !mixed;
}

// The history entry of a turn whose outcome nobody knows has no answer.
bool ProgramRunner::IsOwnEntry(const TurnRecord& turn, const json& entry) {
  if (turn.outcome == TurnOutcome::kUnknown)
    return entry.value("outcome", "") == "unknown";
  return entry.dump().find(turn.mark) != std::string::npos;
}

void ProgramRunner::CheckHistory() {
  int attempts = 0;
  EntryAnswer answer =
      Repeat([&] { return client_.Get("/v1/programs/" + id_ + "/history"); },
             attempts);
  const json turns =
      answer.error ? json::array() : answer.body.value("turns", json::array());
  // Position of each turn by its number.
  std::size_t last = 0;
  std::size_t found = 0;
  for (const json& entry : turns) {
    std::size_t number = entry.value("turn", std::size_t{0});
    bool known = number >= 1 && number <= record_.turns.size();
    bool own = known && IsOwnEntry(record_.turns[number - 1], entry);
    if (!own || number <= last)
      ++record_.history_misordered;
    else
      ++found;
    last = std::max(last, number);
  }
  record_.history_missing =
      static_cast<int>(record_.turns.size()) - static_cast<int>(found);
}

void ProgramRunner::End() {
  int attempts = 0;
  EntryAnswer answer = Repeat(
      [&] {
        return client_.Post("/v1/programs/" + id_ + "/end", json::object());
      },
      attempts);
  record_.finished = !answer.error;
  if (answer.error)
    record_.error_code = base::kErrorCodeNames.name(answer.error->code);
}

}  // namespace vanillalever::load
