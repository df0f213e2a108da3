#include "clConcurrencyLimit.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Multiplicative decrease of the limit on a refusal.
constexpr double kDecreaseFactor = 0.7;

/// Refusals within this interval come from the same full queue and decrease
/// the limit only once.
constexpr milliseconds kMinDecreaseInterval{ 60 };

constexpr double kMinLimit = 1;

constexpr double kMaxLimit = 64;

/// The limit increases while fewer than kIncreaseBelowQueued of this proxy's
/// statements are queued at the instance, and decreases while more than
/// kDecreaseAboveQueued are.
constexpr double kIncreaseBelowQueued = 1;
constexpr double kDecreaseAboveQueued = 3;

/// Divisor of the weight of one sample in the smoothed response time.
constexpr int kSmoothingDivisor = 16;

/// Divisor of the upward drift of the unloaded response time, which lets it
/// adapt within some seconds to an instance that became permanently slower.
constexpr int kUnloadedDriftDivisor = 256;

/// Ratio of the mean response time of an unloaded instance to the minimum of
/// its smoothed one.
constexpr double kMeanToMinRatio = 1.6;

} // namespace

void
concurrency_limit::RecordResponseTime(nanoseconds aResponseTime)
{
  if (mResponseTime == nanoseconds(0)) {
    mResponseTime = aResponseTime;
    mUnloadedResponseTime = aResponseTime;
    return;
  }
  mResponseTime += (aResponseTime - mResponseTime) / kSmoothingDivisor;
  mUnloadedResponseTime =
    mResponseTime < mUnloadedResponseTime
      ? mResponseTime
      : mUnloadedResponseTime +
          (mResponseTime - mUnloadedResponseTime) / kUnloadedDriftDivisor;
}

double
concurrency_limit::EstimateQueued() const
{
  const auto responseTime = static_cast<double>(mResponseTime.count());
  const auto unloadedTime =
    static_cast<double>(mUnloadedResponseTime.count()) * kMeanToMinRatio;
  return responseTime > unloadedTime
           ? mLimit * (1 - unloadedTime / responseTime)
           : 0;
}

void
concurrency_limit::OnServed(std::uint32_t aInFlight, nanoseconds aResponseTime)
{
  RecordResponseTime(aResponseTime);
  const double queued = EstimateQueued();
  if (queued > kDecreaseAboveQueued) {
    mLimit = std::max(mLimit - 1 / mLimit, kMinLimit);
    return;
  }
  // An unused limit gives no information about the instance's capacity.
  if (aInFlight >= Limit() && queued < kIncreaseBelowQueued) {
    mLimit = std::min(mLimit + 1 / mLimit, kMaxLimit);
  }
}

void
concurrency_limit::OnRefused(time_point aNow)
{
  if (aNow < mDecreasedAt + kMinDecreaseInterval) {
    return;
  }
  mDecreasedAt = aNow;
  mLimit = std::max(mLimit * kDecreaseFactor, kMinLimit);
}

} // namespace catkinloom
