#ifndef VANILLALEVER_ENTRY_ENTRY_H_
#define VANILLALEVER_ENTRY_ENTRY_H_

#include <memory>
#include <string>

#include "vanillalever/base/clock.h"
#include "vanillalever/entry/entry_settings.h"

namespace vanillalever::entry {

class EntryImpl;

// An entry process: serves the HTTP API of callers and operators, owns shards
// of programs and dispatches their calls to sidecars.
class Entry {
 public:
  // Starts to listen. Throws base::Error when an address cannot be bound.
  explicit Entry(const EntrySettings& settings);
  ~Entry();

  // "ip:port" of the listeners.
  std::string http_address() const;
  std::string admin_address() const;
  std::string rpc_address() const;

  // Hands over all shards and waits for requests in flight, for at most
  // `limit`. Returns false if the limit was reached first.
  bool Drain(base::Duration limit);

 private:
  std::unique_ptr<EntryImpl> impl_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_ENTRY_H_
