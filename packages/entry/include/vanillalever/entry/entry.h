#ifndef VANILLALEVER_ENTRY_ENTRY_H_
#define VANILLALEVER_ENTRY_ENTRY_H_

#include <memory>
#include <string>

#include "vanillalever/base/clock.h"
#include "vanillalever/entry/entry_settings.h"

namespace vanillalever::entry {

class EntryImpl;

// The process that callers and operators talk to, and that owns programs.
class Entry {
 public:
  // Starts to listen. Throws base::Error when an address cannot be bound.
  explicit Entry(const EntrySettings& settings);
  ~Entry();

  // "ip:port" of the listeners.
  std::string http_address() const;
  std::string admin_address() const;
  std::string rpc_address() const;

  // Hands all shards over and finishes requests in flight, at most within
  // `limit`. Returns whether everything ended.
  bool Drain(base::Duration limit);

 private:
  std::unique_ptr<EntryImpl> impl_;
};

}  // namespace vanillalever::entry

#endif  // VANILLALEVER_ENTRY_ENTRY_H_
