#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace catkinloom {

/// Maps names to row numbers without allocating on look-up.
class name_index
{
public:
  void Add(std::string_view aName, std::uint32_t aRow)
  {
    mRows.emplace(std::string(aName), aRow);
  }

  std::optional<std::uint32_t> Find(std::string_view aName) const
  {
    const auto found = mRows.find(aName);
    if (found == mRows.end()) {
      return std::nullopt;
    }
    return found->second;
  }

private:
  struct text_hash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aText) const
    {
      return std::hash<std::string_view>{}(aText);
    }
  };

  std::unordered_map<std::string, std::uint32_t, text_hash, std::equal_to<>>
    mRows;
};

} // namespace catkinloom
