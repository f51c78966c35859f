#include "text_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace vanillalever::ctl {

TextTable::TextTable(std::vector<std::string> header) {
  rows_.push_back(std::move(header));
}

void TextTable::Add(std::vector<std::string> row) {
  assert(row.size() == rows_.front().size());
  rows_.push_back(std::move(row));
}

void TextTable::Print(std::ostream& out) const {
  std::vector<std::size_t> widths(rows_.front().size());
  for (const std::vector<std::string>& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  for (const std::vector<std::string>& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      out << row[i];
      if (i + 1 < row.size())
        out << std::string(widths[i] - row[i].size() + 2, ' ');
    }
    out << "\n";
  }
}

}  // namespace vanillalever::ctl
