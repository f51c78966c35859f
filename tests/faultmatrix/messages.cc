#include "messages.h"

#include "vanillalever/guard/fingerprint.h"

namespace vanillalever::faultmatrix {

CallerReply ErrorReply(base::ErrorCode code,
                       base::ExecutionStatus ran,
                       const std::string& message) {
  CallerReply reply;
  reply.error.code = code;
  reply.error.ran = ran;
  reply.error.message = message;
  return reply;
}

CallerReply ErrorReply(const base::Error& error) {
  CallerReply reply;
  reply.error = error.info();
  return reply;
}

CallerReply AnswerReply(const program::Answer& answer) {
  CallerReply reply;
  reply.ok = true;
  reply.answer = answer;
  return reply;
}

std::string Fingerprint(const CallerRequest& request) {
  return guard::RequestFingerprint(
      request.repeatable ? "models" : "tickets",
      request.repeatable ? "chat" : "pay",
      request.key + "/" + std::to_string(request.turn));
}

program::CallRequest ToCallRequest(const CallerRequest& request, bool intents) {
  program::CallRequest call;
  call.turn = request.turn;
  call.fingerprint = Fingerprint(request);
  call.pool = request.repeatable ? "models" : "tickets";
  call.operation = request.repeatable ? "chat" : "pay";
  call.repeatable = request.repeatable || !intents;
  call.worst_case_cost = request.worst_case;
  return call;
}

program::CreateRequest ToCreateRequest(const CallerRequest& request) {
  program::CreateRequest create;
  create.organisation = request.organisation;
  create.program_class = "class";
  create.key = request.key;
  create.budget = request.budget;
  create.parent = request.parent;
  return create;
}

}  // namespace vanillalever::faultmatrix
