#ifndef VANILLALEVER_HTTP_EVENT_PARSER_H_
#define VANILLALEVER_HTTP_EVENT_PARSER_H_

#include <functional>
#include <string>
#include <string_view>

namespace vanillalever::http {

// One server-sent event.
struct Event {
  // Event name; "message" when the stream gives none.
  std::string name = "message";
  // Data lines joined by line feeds.
  std::string data;
};

// Splits a stream of server-sent events into events. Not thread-safe.
class EventParser {
 public:
  using Callback = std::function<void(const Event& event)>;

  explicit EventParser(Callback callback) : callback_(std::move(callback)) {}

  // Takes the next piece of the stream, which may end anywhere.
  void Feed(std::string_view data);

 private:
  void TakeLine(std::string_view line);

  Callback callback_;
  std::string partial_line_;
  Event event_;
  bool has_data_ = false;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_EVENT_PARSER_H_
