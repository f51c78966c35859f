#ifndef VANILLALEVER_ENTRY_SRC_CALLER_REPLY_H_
#define VANILLALEVER_ENTRY_SRC_CALLER_REPLY_H_

#include <atomic>
#include <memory>
#include <string>
#include <string_view>

#include "vanillalever/base/error.h"

namespace vanillalever::entry {

// Reply to a caller, sent directly or through another entry. Thread-safe; only
// the first Finish() or Fail() has an effect.
class CallerReply {
 public:
  virtual ~CallerReply() = default;

  // Streams generated text ahead of the answer; ignored if the caller did not
  // request streaming.
  virtual void SendToken(const std::string& text) = 0;
  // Discards the text streamed so far, because another attempt starts over.
  virtual void SendReset() = 0;

  void Finish(int status, std::string body) {
    if (!finished_.exchange(true))
      SendFinal(status, std::move(body));
  }
  void Fail(const base::ErrorInfo& info) {
    if (!finished_.exchange(true))
      SendError(info);
  }
  bool finished() const { return finished_; }

 protected:
  virtual void SendFinal(int status, std::string body) = 0;
  virtual void SendError(const base::ErrorInfo& info) = 0;

 private:
  std::atomic<bool> finished_ = false;
};

using ReplyPtr = std::shared_ptr<CallerReply>;

// Represents operators in CallerRequest::organisation, with read-only access.
// Not a valid organisation name.
inline constexpr std::string_view kOperatorOrganisation = "*operator";

// A caller's request after authentication.
struct CallerRequest {
  std::string organisation;
  std::string method;
  std::string path;
  std::string body;
  // Number of entries that forwarded the request.
  std::uint32_t hops = 0;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_CALLER_REPLY_H_
