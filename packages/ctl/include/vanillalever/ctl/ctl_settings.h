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

// Form of the output.
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
  // Version that the operator saw; nothing if not stated.
  std::optional<std::int64_t> base_version;
  // Version that `get` reads; nothing for the current one.
  std::optional<std::int64_t> at_version;
  // Files that stand for the present configuration in `diff` without an entry.
  std::filesystem::path base;
  // Objects that the change deletes.
  std::vector<config::ObjectId> remove;
  // Whether objects that are not in the files are deleted.
  bool replace = false;
  // Token of the change; generated if empty.
  std::string change_token;
  // Time for one request, and for reading back the outcome of a lost answer.
  base::Duration timeout = base::seconds(10);
  // Pause between two readings of the history.
  base::Duration history_poll_interval = base::milliseconds(500);
};

}  // namespace vanillalever::ctl

#endif  // VANILLALEVER_CTL_CTL_SETTINGS_H_
