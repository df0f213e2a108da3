#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace catkinloom {

/// Maps names to row numbers. Each slot stores its name inline, so that a
/// lookup of a name that fits does not allocate and usually reads one cache
/// line, regardless of the number of names.
class name_index
{
public:
  /// Adds a name, which must not be present yet.
  void Add(std::string_view aName, std::uint32_t aRow);

  std::optional<std::uint32_t> Find(std::string_view aName) const;

private:
  static constexpr std::size_t kInlineBytes = 58;

  /// Occupies one cache line; a length of 0 marks an empty slot.
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
  /// Names that are empty or too long for a slot.
  std::unordered_map<std::string, std::uint32_t> mOverflowNames;
};

} // namespace catkinloom
