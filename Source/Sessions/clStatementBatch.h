#pragma once

#include "clResponseCheck.h"

#include <string>
#include <vector>

namespace catkinloom {

/// Encoded statements that are sent at once, and the responses to them.
struct statement_batch
{
  std::string mBytes;
  std::vector<expected_response> mExpected;
  /// The last response is believed only once statements sent after it have been
  /// acknowledged.  Required where an earlier response on the connection may
  /// look the same, and a wrong one does harm.
  bool mHasBarrier = false;

  /// Encodes into mBytes what aEncode appends, as one statement.
  template<class Encode>
  void Add(expected_response aExpected, Encode aEncode)
  {
    aEncode(mBytes);
    mExpected.push_back(aExpected);
  }
};

} // namespace catkinloom
