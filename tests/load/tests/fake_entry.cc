#include "fake_entry.h"

#include "vanillalever/http/message.h"

namespace vanillalever::load {

void FakeEntry::Handle(fakes::HttpExchange& exchange) {
  const std::string& path = exchange.request().path;
  const std::string programs = "/v1/programs";
  if (path == programs) {
    Json body = Json::parse(exchange.request().body);
    return exchange.Respond(
        200, Json{{"id", "0." + body.at("key").get<std::string>()}});
  }
  std::string rest = path.substr(programs.size() + 1);
  std::string id = rest.substr(0, rest.find('/'));
  std::string action = rest.substr(id.size() + 1);
  if (action == "calls")
    return HandleCall(exchange, id);
  std::lock_guard lock(mutex_);
  std::vector<Json> turns = history_[id];
  if (defect_ == Defect::kOmitTurn && !turns.empty())
    turns.pop_back();
  exchange.Respond(200, Json{{"turns", turns}});
}

void FakeEntry::HandleCall(fakes::HttpExchange& exchange,
                           const std::string& id) {
  Json request = Json::parse(exchange.request().body);
  std::size_t turn = request.at("turn");
  std::string ref = request.at("body").at("ref");
  std::unique_lock lock(mutex_);
  bool already_executed = history_[id].size() >= turn;
  lock.unlock();
  Json executed = already_executed ? Json() : Execute(request);
  lock.lock();
  if (!already_executed)
    history_[id].push_back({{"turn", turn}, {"body", executed}});
  Json response = history_[id].at(turn - 1).at("body");
  bool drop =
      defect_ == Defect::kDropResponse && dropped_refs_.insert(ref).second;
  lock.unlock();
  if (drop)
    return exchange.DropConnection();
  bool model = request.at("operation") == "chat";
  if (defect_ == Defect::kDenyExecution && !model)
    return exchange.Respond(
        503,
        http::ErrorBody(
            {base::ErrorCode::kUnavailable, "denied", base::Step::kDispatch, "",
             base::ExecutionStatus::kNotRun, base::milliseconds(0)}));
  if (!model)
    return exchange.Respond(200, Json{{"turn", turn}, {"body", response}});
  exchange.StartEventStream();
  std::string text = response.at("choices").at(0).at("message").at("content");
  exchange.SendEvent(Json{{"text", text.substr(0, 3)}}.dump(), "token");
  exchange.SendEvent(Json{{"text", text.substr(3)}}.dump(), "token");
  exchange.SendEvent(Json{{"turn", turn}, {"body", response}}.dump(), "done");
}

nlohmann::json FakeEntry::Execute(const Json& request) {
  Json body = request.at("body");
  std::string operation = request.at("operation");
  if (defect_ == Defect::kMixResponses) {
    body["ref"] = "another";
    if (body.contains("messages"))
      body["messages"].back()["content"] = "another";
  }
  if (operation == "chat")
    return PostTo(engine_, "/v1/chat/completions", body);
  if (defect_ == Defect::kSkipExecution)
    return {{"ref", body.at("ref")}};
  if (defect_ == Defect::kExecuteTwice)
    PostTo(service_, "/" + operation, body);
  return PostTo(service_, "/" + operation, body);
}

nlohmann::json FakeEntry::PostTo(const std::string& address,
                                 const std::string& target,
                                 const Json& body) {
  http::ClientRequest request;
  request.address = address;
  request.method = "POST";
  request.target = target;
  request.body = body.dump();
  request.new_connection = true;
  return Json::parse(client_.Send(std::move(request)).body);
}

}  // namespace vanillalever::load
