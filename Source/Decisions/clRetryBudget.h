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
    mBudgetHundredths = std::min(mBudgetHundredths + mPercent, kMaxHundredths);
  }

  /// Takes one retry out of the budget; false when it is used up.
  bool TryRetry()
  {
    if (mBudgetHundredths < kHundredthsPerRetry) {
      return false;
    }
    mBudgetHundredths -= kHundredthsPerRetry;
    return true;
  }

private:
  static constexpr std::uint32_t kHundredthsPerRetry = 100;
  /// Retries that may be saved up in quiet times, in hundredths.
  static constexpr std::uint32_t kMaxHundredths = 20 * kHundredthsPerRetry;

  std::uint32_t mPercent;
  std::uint32_t mBudgetHundredths = kMaxHundredths;
};

} // namespace catkinloom
