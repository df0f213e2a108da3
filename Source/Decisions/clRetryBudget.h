#pragma once

#include <algorithm>
#include <cstdint>

namespace catkinloom {

/// Bounds how many requests are sent a second time: a share of the requests
/// that came, so that retries cannot feed an overload.
class retry_budget
{
public:
  explicit retry_budget(std::uint32_t aPercent)
    : mPercent(aPercent)
  {
  }

  /// A caller's request has come.
  void OnRequest()
  {
    mHundredths = std::min(mHundredths + mPercent, kMostHundredths);
  }

  /// Takes one retry out of the budget; false when it is used up.
  bool TryRetry()
  {
    if (mHundredths < kOneRetry) {
      return false;
    }
    mHundredths -= kOneRetry;
    return true;
  }

private:
  static constexpr std::uint32_t kOneRetry = 100;
  /// Retries that may be saved up in quiet times, in hundredths.
  static constexpr std::uint32_t kMostHundredths = 20 * kOneRetry;

  std::uint32_t mPercent;
  std::uint32_t mHundredths = kMostHundredths;
};

} // namespace catkinloom
