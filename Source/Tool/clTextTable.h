#pragma once

#include <string>
#include <vector>

namespace catkinloom {

/// Plain-text table with left-aligned columns.
class text_table
{
public:
  explicit text_table(std::vector<std::string> aTitles)
  {
    mRows.push_back(std::move(aTitles));
  }

  void AddRow(std::vector<std::string> aRow)
  {
    mRows.push_back(std::move(aRow));
  }

  std::string Render() const;

private:
  std::vector<std::vector<std::string>> mRows;
};

} // namespace catkinloom
