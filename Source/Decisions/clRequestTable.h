#pragma once

#include "clManifest.h"
#include "clNameIndex.h"

#include <string_view>
#include <vector>

namespace catkinloom {

/// The request types of the current manifest, by name.
class request_table
{
public:
  void Apply(const std::vector<manifest_request>& aRequests)
  {
    mRows = aRequests;
    mIndex = {};
    for (std::uint32_t i = 0; i < mRows.size(); ++i) {
      mIndex.Add(mRows[i].mName, i);
    }
  }

  const manifest_request* Find(std::string_view aName) const
  {
    const auto row = mIndex.Find(aName);
    return row ? &mRows[*row] : nullptr;
  }

  const std::vector<manifest_request>& Rows() const { return mRows; }

private:
  std::vector<manifest_request> mRows;
  name_index mIndex;
};

} // namespace catkinloom
