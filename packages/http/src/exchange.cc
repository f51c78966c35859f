#include "vanillalever/http/exchange.h"

#include <utility>

#include "vanillalever/base/logging.h"

namespace vanillalever::http {
namespace {

std::string EncodeEvent(const std::string& event, const std::string& data) {
  return "event: " + event + "\ndata: " + data + "\n\n";
}

}  // namespace

Exchange::Exchange(Request request, std::shared_ptr<ResponseSink> sink)
    : request_(std::move(request)), sink_(std::move(sink)) {}

Exchange::~Exchange() {
  if (completed_)
    return;
  base::ErrorInfo info;
  info.message = "the request was dropped before it was answered";
  info.step = base::Step::kAnswer;
  info.ran = base::ExecutionStatus::kUnknown;
  base::LogEvent(base::LogLevel::kError, "request_dropped",
                 {{"step", std::string(base::kStepNames.name(info.step))},
                  {"peer", request_.peer},
                  {"path", request_.path}});
  SendError(info);
}

void Exchange::Send(Response response) {
  std::lock_guard lock(mutex_);
  if (!std::exchange(completed_, true))
    sink_->Send(std::move(response));
}

void Exchange::SendError(const base::ErrorInfo& info) {
  std::lock_guard lock(mutex_);
  if (std::exchange(completed_, true))
    return;
  if (!streaming_)
    return sink_->Send(ErrorResponse(info));
  sink_->Write(EncodeEvent("error", ErrorBody(info)));
  sink_->Finish();
}

void Exchange::StartEvents() {
  std::lock_guard lock(mutex_);
  if (completed_ || std::exchange(streaming_, true))
    return;
  Response head;
  head.content_type = "text/event-stream";
  head.headers.emplace_back("Cache-Control", "no-store");
  sink_->StartStream(std::move(head));
}

void Exchange::SendEvent(const std::string& event, const std::string& data) {
  std::lock_guard lock(mutex_);
  if (!completed_)
    sink_->Write(EncodeEvent(event, data));
}

void Exchange::Finish() {
  std::lock_guard lock(mutex_);
  if (!std::exchange(completed_, true))
    sink_->Finish();
}

bool Exchange::streaming() const {
  std::lock_guard lock(mutex_);
  return streaming_;
}

}  // namespace vanillalever::http
