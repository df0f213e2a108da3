#include "clDecisionLog.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Rate and burst size for successful statements, in lines per second.
constexpr double kSuccessLinesPerSecond = 20;

/// Rate and burst size for rejections and failures, in lines per second.
constexpr double kFailureLinesPerSecond = 200;

} // namespace

decision_log_limiter&
decision_log_limiter::Instance()
{
  static decision_log_limiter sLimiter;
  return sLimiter;
}

bool
decision_log_limiter::TryAcquireFrom(token_bucket& aBucket,
                                     double aPerSecond,
                                     time_point aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - aBucket.mRefilledAt).count();
  aBucket.mTokens =
    std::min(aPerSecond, aBucket.mTokens + seconds * aPerSecond);
  aBucket.mRefilledAt = aNow;
  if (aBucket.mTokens < 1) {
    return false;
  }
  aBucket.mTokens -= 1;
  return true;
}

bool
decision_log_limiter::TryAcquire(time_point aNow, bool aIsFailure)
{
  const bool isAllowed =
    aIsFailure ? TryAcquireFrom(mFailures, kFailureLinesPerSecond, aNow)
               : TryAcquireFrom(mSuccesses, kSuccessLinesPerSecond, aNow);
  mSuppressedLines += isAllowed ? 0 : 1;
  return isAllowed;
}

std::uint64_t
decision_log_limiter::TakeSuppressedCount()
{
  const std::uint64_t suppressed = mSuppressedLines;
  mSuppressedLines = 0;
  return suppressed;
}

} // namespace catkinloom
