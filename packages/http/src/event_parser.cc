#include "vanillalever/http/event_parser.h"

#include <utility>

namespace vanillalever::http {

void EventParser::Feed(std::string_view data) {
  partial_line_ += data;
  std::string buffer = std::move(partial_line_);
  partial_line_.clear();
  std::size_t start = 0;
  for (std::size_t end = buffer.find('\n'); end != std::string::npos;
       end = buffer.find('\n', start)) {
    std::string_view line(buffer.data() + start, end - start);
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    ParseLine(line);
    start = end + 1;
  }
  partial_line_ = buffer.substr(start);
}

void EventParser::ParseLine(std::string_view line) {
  if (line.empty()) {
    if (has_data_)
      callback_(event_);
    event_ = Event();
    has_data_ = false;
    return;
  }
  std::size_t colon = line.find(':');
  std::string_view field = line.substr(0, colon);
  std::string_view value =
      colon == std::string_view::npos ? "" : line.substr(colon + 1);
  if (value.starts_with(' '))
    value.remove_prefix(1);
  if (field == "event")
    event_.name = value;
  if (field != "data")
    return;
  if (has_data_)
    event_.data += '\n';
  event_.data += value;
  has_data_ = true;
}

}  // namespace vanillalever::http
