#pragma once

#include "clManifest.h"
#include "clNameIndex.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace catkinloom {

/// Number of a caller class.
using caller_class_number = std::uint32_t;

/// One caller class and its current usage.
struct caller_class_row
{
  manifest_caller mDeclared;
  std::uint32_t mInFlight = 0;
  std::uint32_t mWaiting = 0;
};

/// The caller classes that manifests have declared. Row 0 is the class of
/// callers that name no class or an unknown one.
class caller_class_table
{
public:
  caller_class_table() { Apply({}); }

  /// Applies the declared classes. A class keeps its number permanently; one
  /// that is no longer declared keeps its last limits.
  void Apply(const std::vector<manifest_caller>& aCallers);

  caller_class_number Find(std::string_view aName) const;
  caller_class_row& Row(caller_class_number aClass) { return mRows[aClass]; }
  const caller_class_row& Row(caller_class_number aClass) const
  {
    return mRows[aClass];
  }
  std::size_t Size() const { return mRows.size(); }

private:
  std::vector<caller_class_row> mRows;
  name_index mIndex;
};

} // namespace catkinloom
