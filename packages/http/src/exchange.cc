#include "vanillalever/http/exchange.h"

#include <utility>

namespace vanillalever::http {

Exchange::Exchange(Request request, std::shared_ptr<ResponseSink> sink)
    : request_(std::move(request)), sink_(std::move(sink)) {}

Exchange::~Exchange() {
  if (completed_)
    return;
  base::ErrorInfo info;
  info.message = "the request was dropped before it was answered";
  info.step = base::Step::kAnswer;
  info.ran = base::ExecutionStatus::kUnknown;
  SendError(info);
}

void Exchange::Send(Response response) {
  if (!completed_.exchange(true))
    sink_->Send(std::move(response));
}

void Exchange::SendError(const base::ErrorInfo& info) {
  if (!streaming_) {
    Send(ErrorResponse(info));
    return;
  }
  SendEvent("error", ErrorBody(info));
  Finish();
}

void Exchange::StartEvents() {
  if (completed_ || streaming_.exchange(true))
    return;
  Response head;
  head.content_type = "text/event-stream";
  head.headers.emplace_back("Cache-Control", "no-store");
  sink_->StartStream(std::move(head));
}

void Exchange::SendEvent(const std::string& event, const std::string& data) {
  if (!completed_)
    sink_->Write("event: " + event + "\ndata: " + data + "\n\n");
}

void Exchange::Finish() {
  if (!completed_.exchange(true))
    sink_->Finish();
}

}  // namespace vanillalever::http
