#include "clNameIndex.h"

#include <algorithm>
#include <functional>

namespace catkinloom {

namespace {

constexpr std::size_t kInitialSlots = 16;

/// Minimum number of slots per name, so that runs of occupied slots stay short;
/// also the factor by which the index grows.
constexpr std::size_t kMinSlotsPerName = 2;

} // namespace

std::size_t
name_index::FirstSlot(std::string_view aName) const
{
  return std::hash<std::string_view>{}(aName) % mSlots.size();
}

void
name_index::Add(std::string_view aName, std::uint32_t aRow)
{
  if (aName.empty() || aName.size() > kInlineBytes) {
    mOverflowNames.emplace(std::string(aName), aRow);
    return;
  }
  if ((mCount + 1) * kMinSlotsPerName > mSlots.size()) {
    Grow();
  }
  Insert(aName, aRow);
  ++mCount;
}

void
name_index::Grow()
{
  std::vector<name_slot> old(
    std::max(kInitialSlots, mSlots.size() * kMinSlotsPerName));
  old.swap(mSlots);
  for (const name_slot& slot : old) {
    if (slot.mLength > 0) {
      Insert({ slot.mName.data(), slot.mLength }, slot.mRow);
    }
  }
}

void
name_index::Insert(std::string_view aName, std::uint32_t aRow)
{
  std::size_t index = FirstSlot(aName);
  while (mSlots[index].mLength > 0) {
    index = (index + 1) % mSlots.size();
  }
  name_slot& slot = mSlots[index];
  slot.mRow = aRow;
  slot.mLength = static_cast<std::uint8_t>(aName.size());
  std::copy(aName.begin(), aName.end(), slot.mName.begin());
}

std::optional<std::uint32_t>
name_index::Find(std::string_view aName) const
{
  if (aName.empty() || aName.size() > kInlineBytes) {
    const auto found = mOverflowNames.find(std::string(aName));
    return found == mOverflowNames.end()
             ? std::nullopt
             : std::optional<std::uint32_t>(found->second);
  }
  if (mSlots.empty()) {
    return std::nullopt;
  }
  std::size_t index = FirstSlot(aName);
  while (mSlots[index].mLength > 0) {
    if (mSlots[index].Matches(aName)) {
      return mSlots[index].mRow;
    }
    index = (index + 1) % mSlots.size();
  }
  return std::nullopt;
}

} // namespace catkinloom
