#include "vanillalever/base/error.h"

#include <utility>

namespace vanillalever::base {

Error::Error(ErrorInfo info)
    : std::runtime_error(Describe(info)), info_(std::move(info)) {}

Error NotRunError(ErrorCode code,
                  Step step,
                  std::string message,
                  std::string peer) {
  ErrorInfo info;
  info.code = code;
  info.message = std::move(message);
  info.step = step;
  info.peer = std::move(peer);
  return Error(std::move(info));
}

std::string Describe(const ErrorInfo& info) {
  std::string text(kErrorCodeNames.name(info.code));
  text += " at ";
  text += kStepNames.name(info.step);
  if (!info.peer.empty())
    text += " (" + info.peer + ")";
  return text + ": " + info.message;
}

}  // namespace vanillalever::base
