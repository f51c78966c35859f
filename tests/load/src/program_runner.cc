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

// Whether a retry cannot change the error.
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

TurnOutcome ToTurnOutcome(const base::ErrorInfo& error) {
  if (error.code == base::ErrorCode::kOutcomeUnknown)
    return TurnOutcome::kUnknown;
  return error.ran == base::ExecutionStatus::kNotRun ? TurnOutcome::kNotRun
                                                     : TurnOutcome::kFailed;
}

// Content of a chat completion in the entry's response.
std::string CompletionContent(const json& response) {
  static const json::json_pointer path("/body/choices/0/message/content");
  return response.contains(path) && response.at(path).is_string()
             ? response.at(path).get<std::string>()
             : "";
}

std::string ExpectedContent(const std::string& marker, std::int64_t tokens) {
  std::string text = marker;
  for (std::int64_t i = 1; i < tokens; ++i)
    text += " w" + std::to_string(i);
  return text;
}

std::string MakePrompt(const PlannedTurn& turn, const std::string& ref) {
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
  bool proceed = CreateProgram();
  for (std::size_t i = 0; proceed && i < plan_.turns.size(); ++i) {
    proceed = RunTurn(i);
    if (proceed && i == 0)
      RunChildren();
  }
  if (proceed) {
    CheckHistory();
    EndProgram();
  }
  record_.elapsed = Now() - start;
  std::vector<ProgramRecord> records = std::move(child_records_);
  records.push_back(std::move(record_));
  return records;
}

EntryResponse ProgramRunner::SendWithRetries(
    const std::function<EntryResponse()>& send,
    int& attempts) {
  base::TimePoint retry_deadline = Now() + settings_.retry_timeout;
  base::milliseconds max_delay = settings_.initial_backoff;
  while (true) {
    ++attempts;
    EntryResponse response = send();
    if (!response.error || IsFinal(*response.error) || Now() >= retry_deadline)
      return response;
    base::milliseconds jitter(
        random_.Below(static_cast<std::uint64_t>(max_delay.count()) + 1));
    std::this_thread::sleep_for(response.error->retry_after + jitter);
    max_delay = std::min(max_delay * 2, settings_.max_backoff);
  }
}

bool ProgramRunner::CreateProgram() {
  json body = {{"key", plan_.key},
               {"class", plan_.program_class},
               {"budget", plan_.budget()}};
  if (!parent_id_.empty())
    body["parent"] = parent_id_;
  int attempts = 0;
  EntryResponse response = SendWithRetries(
      [&] { return client_.Post("/v1/programs", body); }, attempts);
  if (!response.error)
    id_ = response.body.value("id", "");
  if (id_.empty())
    record_.error_code = response.error
                             ? base::kErrorCodeNames.name(response.error->code)
                             : "no_program_id";
  return !id_.empty();
}

bool ProgramRunner::RunTurn(std::size_t index) {
  const PlannedTurn& turn = plan_.turns[index];
  TurnRecord record;
  record.ref = plan_.key + "/" + std::to_string(index + 1);
  record.model = turn.model;
  record.repeatable = turn.repeatable;
  // The history contains the responses; an engine's response starts with a hash
  // of the last message of the request.
  record.response_marker =
      turn.model ? fakes::ResponseMarker(MakePrompt(turn, record.ref))
                 : record.ref;
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
  EntryResponse response = SendWithRetries(
      [&] {
        return turn.model ? client_.PostStreamed(target, body, on_first_token)
                          : client_.Post(target, body);
      },
      record.attempts);
  record.outcome =
      response.error ? ToTurnOutcome(*response.error) : TurnOutcome::kDone;
  if (!response.error)
    record.response_matches = ResponseMatches(turn, record.ref, response);
  bool proceed = record.outcome == TurnOutcome::kDone ||
                 record.outcome == TurnOutcome::kUnknown;
  if (!proceed)
    record_.error_code = base::kErrorCodeNames.name(response.error->code);
  record_.turns.push_back(std::move(record));
  if (proceed)
    std::this_thread::sleep_for(turn.pause * settings_.pause_scale);
  return proceed;
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
  json message = {{"role", "user"}, {"content", MakePrompt(turn, ref)}};
  if (settings_.send_history)
    messages_.push_back(message);
  else
    messages_ = json::array({message});
  return {{"messages", messages_},
          {"output_tokens", turn.output_tokens},
          {"max_tokens", turn.output_tokens},
          {"ref", ref}};
}

bool ProgramRunner::ResponseMatches(const PlannedTurn& turn,
                                    const std::string& ref,
                                    const EntryResponse& response) {
  if (!turn.model) {
    static const json::json_pointer path("/body/ref");
    return response.body.contains(path) && response.body.at(path) == ref;
  }
  std::string expected = ExpectedContent(
      fakes::ResponseMarker(MakePrompt(turn, ref)), turn.output_tokens);
  messages_.push_back({{"role", "assistant"}, {"content", expected}});
  std::string content = CompletionContent(response.body);
  // A response from the history may not be streamed, and the last event of a
  // streamed response need not contain the whole text.
  bool complete = content == expected || response.streamed == expected;
  bool foreign = (!content.empty() && content != expected) ||
                 (!response.streamed.empty() && response.streamed != expected);
  return complete && !foreign;
}

// The history entry of a turn with unknown outcome has no response.
bool ProgramRunner::HistoryEntryMatches(const TurnRecord& turn,
                                        const json& entry) {
  if (turn.outcome == TurnOutcome::kUnknown)
    return entry.value("outcome", "") == "unknown";
  return entry.dump().find(turn.response_marker) != std::string::npos;
}

void ProgramRunner::CheckHistory() {
  int attempts = 0;
  EntryResponse response = SendWithRetries(
      [&] { return client_.Get("/v1/programs/" + id_ + "/history"); },
      attempts);
  const json turns = response.error
                         ? json::array()
                         : response.body.value("turns", json::array());
  // Turn numbers must increase.
  std::size_t last_turn = 0;
  std::size_t found = 0;
  for (const json& entry : turns) {
    std::size_t number = entry.value("turn", std::size_t{0});
    bool known = number >= 1 && number <= record_.turns.size();
    bool matches =
        known && HistoryEntryMatches(record_.turns[number - 1], entry);
    if (!matches || number <= last_turn)
      ++record_.history_misordered;
    else
      ++found;
    last_turn = std::max(last_turn, number);
  }
  record_.history_missing =
      static_cast<int>(record_.turns.size()) - static_cast<int>(found);
}

void ProgramRunner::EndProgram() {
  int attempts = 0;
  EntryResponse response = SendWithRetries(
      [&] {
        return client_.Post("/v1/programs/" + id_ + "/end", json::object());
      },
      attempts);
  record_.finished = !response.error;
  if (response.error)
    record_.error_code = base::kErrorCodeNames.name(response.error->code);
}

}  // namespace vanillalever::load
