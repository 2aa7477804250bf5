#include "vtctl/text_table.h"

#include <algorithm>

namespace vanillatiller {
namespace {

constexpr size_t kColumnGap = 2;

}  // namespace

TextTable::TextTable(std::vector<std::string> header) {
  m_rows.push_back(std::move(header));
}

void TextTable::AddRow(std::vector<std::string> cells) {
  cells.resize(m_rows.front().size());
  m_rows.push_back(std::move(cells));
}

void TextTable::Print(std::ostream& out) const {
  std::vector<size_t> widths(m_rows.front().size(), 0);
  for (const auto& row : m_rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : m_rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - row[i].size() + kColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
  }
}

}  // namespace vanillatiller
