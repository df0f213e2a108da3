#pragma once

#include <algorithm>
#include <cstdint>

namespace catkinloom {

/// Limits retries to a percentage of the incoming requests, so that retries
/// cannot amplify an overload.
class retry_budget
{
public:
  explicit retry_budget(std::uint32_t aPercent)
    : mPercent(aPercent)
  {
  }

  /// Records an incoming request, which adds to the budget.
  void OnRequest()
  {
    mBudgetHundredths = std::min(mBudgetHundredths + mPercent, kMaxHundredths);
  }

  /// Takes one retry from the budget. Returns false if the budget is used up.
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
  /// Maximum budget that accumulates while few retries are made, in hundredths
  /// of a retry.
  static constexpr std::uint32_t kMaxHundredths = 20 * kHundredthsPerRetry;

  std::uint32_t mPercent;
  std::uint32_t mBudgetHundredths = kMaxHundredths;
};

} // namespace catkinloom
