#ifndef VANILLALEVER_CTL_CTL_SETTINGS_H_
#define VANILLALEVER_CTL_CTL_SETTINGS_H_

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/name_table.h"
#include "vanillalever/config/object_id.h"

namespace vanillalever::ctl {

// Output format.
enum class OutputFormat { kTable, kJson };

inline constexpr base::NameTable<OutputFormat, 2> kOutputFormatNames({
    "table",
    "json",
});

// Settings of one run of vanillaleverctl.
struct CtlSettings {
  // Admin listener of an entry as "host:port"; empty to work on files only.
  std::string entry;
  // Operator's bearer token.
  std::string token;
  OutputFormat output = OutputFormat::kTable;
  std::string author;
  std::string reason;
  // Version the change was prepared against; nullopt if not specified.
  std::optional<std::int64_t> base_version;
  // Version that `get` reads; nullopt for the current one.
  std::optional<std::int64_t> at_version;
  // Files that `diff` uses as the current configuration without an entry.
  std::filesystem::path base;
  // Objects that the change deletes.
  std::vector<config::ObjectId> remove;
  // Whether objects that are not in the files are deleted.
  bool replace = false;
  // Idempotency token of the change; generated if empty.
  std::string change_token;
  // Timeout of one request, and of determining the outcome of an apply whose
  // response was lost.
  base::Duration timeout = base::seconds(10);
  // Interval at which the history is read while an outcome is unknown.
  base::Duration history_poll_interval = base::milliseconds(500);
};

}  // namespace vanillalever::ctl

#endif  // VANILLALEVER_CTL_CTL_SETTINGS_H_
