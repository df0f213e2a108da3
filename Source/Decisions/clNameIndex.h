#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace catkinloom {

/// Maps names to row numbers.  A look-up allocates nothing and reads one cache
/// line, whatever the number of names: each slot holds its name in line.
class name_index
{
public:
  /// Adds a name that is not there yet.
  void Add(std::string_view aName, std::uint32_t aRow);

  std::optional<std::uint32_t> Find(std::string_view aName) const;

private:
  static constexpr std::size_t kInlineBytes = 58;

  /// One cache line; an empty slot has no length.
  struct alignas(64) name_slot
  {
    std::uint32_t mRow = 0;
    std::uint8_t mLength = 0;
    std::array<char, kInlineBytes> mName{};

    bool Matches(std::string_view aName) const
    {
      return std::string_view(mName.data(), mLength) == aName;
    }
  };

  void Grow();
  void Insert(std::string_view aName, std::uint32_t aRow);
  std::size_t FirstSlot(std::string_view aName) const;

  std::vector<name_slot> mSlots;
  std::size_t mCount = 0;
  /// Names that are too long, or empty, for a slot.
  std::unordered_map<std::string, std::uint32_t> mOverflowNames;
};

} // namespace catkinloom
