#ifndef VANILLALEVER_FORWARDING_STORE_VIEW_H_
#define VANILLALEVER_FORWARDING_STORE_VIEW_H_

namespace vanillalever::forwarding {

// What this gateway and the others have said about their access to the store.
class StoreView {
 public:
  virtual ~StoreView() = default;
  // Whether neither this gateway nor any other live one reaches the store, as
  // all of them have announced.
  virtual bool store_lost() const = 0;
  // Whether a gateway that has become silent may still reach the store, which
  // this gateway does not: it reached the store when it was last heard from.
  virtual bool reached_by_silent_peer() const = 0;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_STORE_VIEW_H_
