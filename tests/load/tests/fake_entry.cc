#include "fake_entry.h"

#include "vanillalever/http/message.h"

namespace vanillalever::load {

void FakeEntry::Handle(fakes::Call& call) {
  const std::string& path = call.request().path;
  const std::string programs = "/v1/programs";
  if (path == programs) {
    Json body = Json::parse(call.request().body);
    return call.Respond(200,
                        Json{{"id", "0." + body.at("key").get<std::string>()}});
  }
  std::string rest = path.substr(programs.size() + 1);
  std::string id = rest.substr(0, rest.find('/'));
  std::string action = rest.substr(id.size() + 1);
  if (action == "calls")
    return AnswerCall(call, id);
  std::lock_guard lock(mutex_);
  std::vector<Json> turns = history_[id];
  if (defect_ == Defect::kForgetTurn && !turns.empty())
    turns.pop_back();
  call.Respond(200, Json{{"turns", turns}});
}

void FakeEntry::AnswerCall(fakes::Call& call, const std::string& id) {
  Json request = Json::parse(call.request().body);
  std::size_t turn = request.at("turn");
  std::string ref = request.at("body").at("ref");
  std::unique_lock lock(mutex_);
  bool repeated = history_[id].size() >= turn;
  lock.unlock();
  Json executed = repeated ? Json() : Execute(request);
  lock.lock();
  if (!repeated)
    history_[id].push_back({{"turn", turn}, {"body", executed}});
  Json answer = history_[id].at(turn - 1).at("body");
  bool drop = defect_ == Defect::kDropAnswer && dropped_.insert(ref).second;
  lock.unlock();
  if (drop)
    return call.Drop();
  bool model = request.at("operation") == "chat";
  if (defect_ == Defect::kDenyExecution && !model)
    return call.Respond(
        503,
        http::ErrorBody(
            {base::ErrorCode::kUnavailable, "denied", base::Step::kDispatch, "",
             base::ExecutionStatus::kNotRun, base::milliseconds(0)}));
  if (!model)
    return call.Respond(200, Json{{"turn", turn}, {"body", answer}});
  call.StartEvents();
  std::string text = answer.at("choices").at(0).at("message").at("content");
  call.SendEvent(Json{{"text", text.substr(0, 3)}}.dump(), "token");
  call.SendEvent(Json{{"text", text.substr(3)}}.dump(), "token");
  call.SendEvent(Json{{"turn", turn}, {"body", answer}}.dump(), "done");
}

nlohmann::json FakeEntry::Execute(const Json& request) {
  Json body = request.at("body");
  std::string operation = request.at("operation");
  if (defect_ == Defect::kMixAnswers) {
    body["ref"] = "another";
    if (body.contains("messages"))
      body["messages"].back()["content"] = "another";
  }
  if (operation == "chat")
    return Send(engine_, "/v1/chat/completions", body);
  if (defect_ == Defect::kSkipCall)
    return {{"ref", body.at("ref")}};
  if (defect_ == Defect::kRunTwice)
    Send(service_, "/" + operation, body);
  return Send(service_, "/" + operation, body);
}

nlohmann::json FakeEntry::Send(const std::string& address,
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
