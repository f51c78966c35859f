#ifndef VANILLALEVER_FORWARDING_EVENT_FRAMER_H_
#define VANILLALEVER_FORWARDING_EVENT_FRAMER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace vanillalever::forwarding {

// Cuts a stream of server-sent events at event boundaries, so that half an
// event of a broken server is never passed on. Not thread-safe.
class EventFramer {
 public:
  // Takes the next bytes and returns those that complete events, in order.
  std::string Feed(std::string_view data);

  // Bytes of an event that is not complete.
  const std::string& partial() const { return partial_; }
  void DropPartial() { partial_.clear(); }

  // Complete events so far that carry an identifier.
  std::int64_t events() const { return events_; }
  // Identifier of the last complete event; empty if none had one.
  const std::string& last_id() const { return last_id_; }

 private:
  void TakeEvent(std::string_view event);

  std::string partial_;
  std::int64_t events_ = 0;
  std::string last_id_;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_EVENT_FRAMER_H_
