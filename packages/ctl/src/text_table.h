#ifndef VANILLALEVER_CTL_TEXT_TABLE_H_
#define VANILLALEVER_CTL_TEXT_TABLE_H_

#include <ostream>
#include <string>
#include <vector>

namespace vanillalever::ctl {

// Left-aligned columns separated by two spaces.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  // `row` has as many cells as the header.
  void Add(std::vector<std::string> row);

  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace vanillalever::ctl

#endif  // VANILLALEVER_CTL_TEXT_TABLE_H_
