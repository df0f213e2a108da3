#include "clDecisionLog.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Lines a second for statements that succeeded.
constexpr double kPlainPerSecond = 20;

/// Lines a second for refusals and failures.
constexpr double kFailuresPerSecond = 200;

} // namespace

decision_log_budget&
decision_log_budget::Instance()
{
  static decision_log_budget sBudget;
  return sBudget;
}

bool
decision_log_budget::TakeFrom(line_budget& aBudget,
                              double aPerSecond,
                              time_point aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - aBudget.mFilledAt).count();
  aBudget.mTokens =
    std::min(aPerSecond, aBudget.mTokens + seconds * aPerSecond);
  aBudget.mFilledAt = aNow;
  if (aBudget.mTokens < 1) {
    return false;
  }
  aBudget.mTokens -= 1;
  return true;
}

bool
decision_log_budget::Take(time_point aNow, bool aIsFailure)
{
  const bool taken = aIsFailure ? TakeFrom(mFailures, kFailuresPerSecond, aNow)
                                : TakeFrom(mPlain, kPlainPerSecond, aNow);
  mLeftOut += taken ? 0 : 1;
  return taken;
}

std::uint64_t
decision_log_budget::TakeLeftOut()
{
  const std::uint64_t leftOut = mLeftOut;
  mLeftOut = 0;
  return leftOut;
}

} // namespace catkinloom
