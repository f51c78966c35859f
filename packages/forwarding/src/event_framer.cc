#include "vanillalever/forwarding/event_framer.h"

#include <cstddef>
#include <utility>

namespace vanillalever::forwarding {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data:";

// Position after the blank line that ends the first event; npos if incomplete.
std::size_t EventEnd(std::string_view text, std::size_t from) {
  std::size_t lf = text.find("\n\n", from);
  std::size_t crlf = text.find("\r\n\r\n", from);
  if (lf == std::string_view::npos && crlf == std::string_view::npos)
    return std::string_view::npos;
  return lf < crlf ? lf + 2 : crlf + 4;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ')
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == '\r' || text.back() == ' '))
    text.remove_suffix(1);
  return text;
}

// Id of the event; empty if it has none.
std::string_view IdOf(std::string_view event) {
  while (!event.starts_with(kIdField)) {
    std::size_t end = event.find('\n');
    if (end == std::string_view::npos)
      return {};
    event.remove_prefix(end + 1);
  }
  event.remove_prefix(kIdField.size());
  return Trim(event.substr(0, event.find('\n')));
}

}  // namespace

void EventFramer::BeginResponse(bool repeats_last) {
  partial_.clear();
  response_has_event_ = false;
  repeats_last_ = repeats_last;
}

std::string EventFramer::Feed(std::string_view data) {
  // The end of an event may begin in the bytes received before.
  constexpr std::size_t kEndBytes = 4;
  std::size_t searched =
      partial_.size() < kEndBytes ? 0 : partial_.size() - kEndBytes;
  partial_ += data;
  std::size_t taken = 0;
  std::string complete;
  for (std::size_t end = EventEnd(partial_, searched); end != std::string::npos;
       end = EventEnd(partial_, taken)) {
    std::string_view event =
        std::string_view(partial_).substr(taken, end - taken);
    if (!ParseEvent(event))
      complete.append(event);
    taken = end;
  }
  partial_.erase(0, taken);
  return complete;
}

bool EventFramer::ParseEvent(std::string_view event) {
  response_has_event_ = true;
  if (std::exchange(repeats_last_, false) && IdOf(event) == last_id_)
    return true;
  while (!event.empty()) {
    std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (line.starts_with(kIdField)) {
      previous_id_ = std::exchange(
          last_id_, std::string(Trim(line.substr(kIdField.size()))));
      id_too_long_ |= last_id_.size() > kMaxIdBytes;
      ++events_;
    }
    if (keep_data_ && line.starts_with(kDataField)) {
      std::string_view value = line.substr(kDataField.size());
      if (value.starts_with(' '))
        value.remove_prefix(1);
      if (value.ends_with('\r'))
        value.remove_suffix(1);
      data_.append(value).append("\n");
    }
    if (end == std::string_view::npos)
      break;
    event.remove_prefix(end + 1);
  }
  return false;
}

}  // namespace vanillalever::forwarding
