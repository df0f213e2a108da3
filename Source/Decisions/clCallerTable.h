#pragma once

#include "clManifest.h"
#include "clNameIndex.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace catkinloom {

/// Number of a caller class.
using caller_number = std::uint32_t;

/// One caller class and its current usage.
struct caller_row
{
  manifest_caller mDeclared;
  std::uint32_t mInFlight = 0;
  std::uint32_t mWaiting = 0;
};

/// The caller classes of the current manifest. Row 0 is the class of callers
/// that name no class or an undeclared one.
class caller_table
{
public:
  caller_table() { Apply({}); }

  /// Applies the declared classes; a class keeps its number permanently.
  void Apply(const std::vector<manifest_caller>& aCallers);

  caller_number Find(std::string_view aName) const;
  caller_row& Row(caller_number aCaller) { return mRows[aCaller]; }
  const caller_row& Row(caller_number aCaller) const { return mRows[aCaller]; }
  std::size_t Size() const { return mRows.size(); }

private:
  std::vector<caller_row> mRows;
  name_index mIndex;
};

} // namespace catkinloom
