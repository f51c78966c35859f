#include "vanillalever/forwarding/shared_table.h"

#include <utility>

namespace vanillalever::forwarding {

void SharedTable::Write(TableWrite write,
                        std::function<void(WriteResult)> done) {
  RowName name = write.name;
  std::vector<TableWrite> writes;
  writes.push_back(std::move(write));
  Transact(std::move(writes), [name = std::move(name), done = std::move(done)](
                                  TransactionResult transaction) {
    WriteResult result;
    result.outcome = transaction.outcome;
    result.version = transaction.version;
    result.reason = std::move(transaction.reason);
    if (result.outcome == StoreOutcome::kConflict) {
      TableRow absent;
      absent.name = name;
      result.current = transaction.current.empty()
                           ? std::move(absent)
                           : std::move(transaction.current.front());
    }
    done(std::move(result));
  });
}

void SharedTable::Read(RowName name, std::function<void(ReadResult)> done) {
  // The smallest key after `key` in byte order ends the range.
  std::string end = name.key + '\0';
  ReadRange({std::move(name.table), std::move(name.partition),
             std::move(name.key), std::move(end)},
            std::move(done));
}

void SharedTable::List(std::string table,
                       std::string partition,
                       std::function<void(ReadResult)> done) {
  ReadRange({std::move(table), std::move(partition), "", ""}, std::move(done));
}

}  // namespace vanillalever::forwarding
