#include "turn_answer.h"

#include "vanillalever/http/message.h"

namespace vanillalever::entry {
namespace {

using Json = nlohmann::json;

// Parses the backend server's answer as JSON; anything else becomes a string.
Json BodyJson(const std::string& body) {
  Json parsed = Json::parse(body, nullptr, false);
  return parsed.is_discarded() ? Json(body) : parsed;
}

}  // namespace

Json TurnJson(const program::TurnRecord& record, const std::string& body) {
  return {{"turn", record.turn},
          {"pool", record.pool},
          {"operation", record.operation},
          {"outcome", program::kTurnOutcomeNames.name(record.answer.outcome)},
          {"input_tokens", record.answer.input_tokens},
          {"output_tokens", record.answer.output_tokens},
          {"cost", record.answer.cost},
          {"body", BodyJson(body)}};
}

TurnAnswer MakeTurnAnswer(const program::ProgramId& id,
                          const program::TurnRecord& record,
                          const std::string& body) {
  TurnAnswer answer;
  if (record.answer.outcome != program::TurnOutcome::kDone) {
    base::ErrorInfo info =
        http::ParseErrorBody(body, base::ErrorCode::kBackendFailed);
    answer.status = http::HttpStatus(info.code);
    answer.body = http::ErrorBody(info);
    return answer;
  }
  Json json = TurnJson(record, body);
  json["program"] = id.text();
  answer.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  return answer;
}

std::string LoadBody(platform::PlatformStore& store,
                     const program::TurnRecord& record) {
  if (record.answer.object.empty() || !record.answer.body.empty())
    return record.answer.body;
  auto body = store.FetchObject(record.answer.object);
  if (!body) {
    throw base::NotRunError(base::ErrorCode::kInternal, base::Step::kStore,
                            "object " + record.answer.object + " is missing");
  }
  return *body;
}

}  // namespace vanillalever::entry
