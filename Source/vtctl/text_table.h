#ifndef VANILLATILLER_SOURCE_VTCTL_TEXT_TABLE_H_
#define VANILLATILLER_SOURCE_VTCTL_TEXT_TABLE_H_

#include <ostream>
#include <string>
#include <vector>

namespace vanillatiller {

// Table for people: a header, and columns as wide as their widest cell.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  // Cells beyond the header are dropped, missing ones stay empty.
  void AddRow(std::vector<std::string> cells);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> m_rows;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTCTL_TEXT_TABLE_H_
