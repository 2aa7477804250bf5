#ifndef VANILLATILLER_SOURCE_VTCTL_TEXT_TABLE_H_
#define VANILLATILLER_SOURCE_VTCTL_TEXT_TABLE_H_

#include <ostream>
#include <string>
#include <vector>

namespace vanillatiller {

// Plain text table with a header row. Each column is as wide as its widest
// cell.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  // Drops cells beyond the number of columns and leaves missing cells empty.
  void AddRow(std::vector<std::string> cells);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> m_rows;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTCTL_TEXT_TABLE_H_
