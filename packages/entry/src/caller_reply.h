#ifndef VANILLALEVER_ENTRY_SRC_CALLER_REPLY_H_
#define VANILLALEVER_ENTRY_SRC_CALLER_REPLY_H_

#include <atomic>
#include <memory>
#include <string>
#include <string_view>

#include "vanillalever/base/error.h"

namespace vanillalever::entry {

// Answer owed to a caller, directly or through another entry. Thread-safe; only
// the first Finish() or Fail() counts.
class CallerReply {
 public:
  virtual ~CallerReply() = default;

  // Sends generated text ahead of the answer; dropped if the caller wants none.
  virtual void Token(const std::string& text) = 0;
  // Declares the text sent so far void: another attempt starts over.
  virtual void Reset() = 0;

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

// Stands for the operators in CallerRequest::organisation. Not a valid
// organisation name, and read access only.
inline constexpr std::string_view kOperator = "*operator";

// A caller's request after authentication.
struct CallerRequest {
  std::string organisation;
  std::string method;
  std::string path;
  std::string body;
  // Entries that passed it on.
  std::uint32_t hops = 0;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_SRC_CALLER_REPLY_H_
