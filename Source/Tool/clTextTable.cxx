#include "clTextTable.h"

#include <algorithm>

namespace catkinloom {

std::string
text_table::Render() const
{
  std::vector<std::size_t> widths(mRows.front().size(), 0);
  for (const auto& row : mRows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : mRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

} // namespace catkinloom
