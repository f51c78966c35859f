#ifndef VANILLALEVER_FORWARDING_EVENT_FRAMER_H_
#define VANILLALEVER_FORWARDING_EVENT_FRAMER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace vanillalever::forwarding {

// Splits a stream of server-sent events at event boundaries, so that an event
// truncated by a server failure is never forwarded. Not thread-safe.
class EventFramer {
 public:
  // Longest id of an event: it is sent in a header field when the stream is
  // taken up.
  static constexpr std::size_t kMaxIdBytes = 1024;

  // Another response goes on with the stream. `repeats_last`: its first event
  // may be the last one of the stream again, which Feed() then leaves out.
  void BeginResponse(bool repeats_last);
  // Adds bytes and returns the complete events, in order.
  std::string Feed(std::string_view data);

  // Keeps the data of the events from now on.
  void KeepData() { keep_data_ = true; }
  // Data of each complete event, followed by a line feed.
  const std::string& data() const { return data_; }

  // Bytes of the incomplete event at the end.
  const std::string& partial() const { return partial_; }
  // Whether the present response has brought a complete event.
  bool response_has_event() const { return response_has_event_; }

  // Number of complete events that carry an id.
  std::int64_t events() const { return events_; }
  // Last event id; empty if no event had one.
  const std::string& last_id() const { return last_id_; }
  // Id of the event before that one; empty if there is none.
  const std::string& previous_id() const { return previous_id_; }
  // An event had an id of more than kMaxIdBytes.
  bool id_too_long() const { return id_too_long_; }

 private:
  // Returns whether the event repeats the last one.
  bool ParseEvent(std::string_view event);

  std::string partial_;
  bool response_has_event_ = false;
  bool repeats_last_ = false;
  std::int64_t events_ = 0;
  std::string last_id_;
  std::string previous_id_;
  bool id_too_long_ = false;
  bool keep_data_ = false;
  std::string data_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_EVENT_FRAMER_H_
