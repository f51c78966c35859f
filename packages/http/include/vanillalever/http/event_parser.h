#ifndef VANILLALEVER_HTTP_EVENT_PARSER_H_
#define VANILLALEVER_HTTP_EVENT_PARSER_H_

#include <functional>
#include <string>
#include <string_view>

namespace vanillalever::http {

// One server-sent event.
struct Event {
  // Event type; "message" if the stream does not set one.
  std::string name = "message";
  // Data lines joined by line feeds.
  std::string data;
};

// Incremental parser for a stream of server-sent events. Not thread-safe.
class EventParser {
 public:
  using Callback = std::function<void(const Event& event)>;

  explicit EventParser(Callback callback) : callback_(std::move(callback)) {}

  // Parses the next chunk of the stream; a chunk may end anywhere.
  void Feed(std::string_view data);

 private:
  void ParseLine(std::string_view line);

  Callback callback_;
  std::string partial_line_;
  Event event_;
  bool has_data_ = false;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_EVENT_PARSER_H_
