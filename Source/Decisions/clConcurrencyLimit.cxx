#include "clConcurrencyLimit.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Factor by which a refusal lowers the limit.
constexpr double kDecreaseFactor = 0.7;

/// Refusals closer together tell of the same full queue.
constexpr milliseconds kMinDecreaseInterval{ 60 };

constexpr double kMinLimit = 1;

constexpr double kMaxLimit = 64;

/// Own statements in an instance's queue below which the limit is raised, and
/// above which it is lowered.
constexpr double kIncreaseBelowQueued = 1;
constexpr double kDecreaseAboveQueued = 3;

/// Weight of one answer in the smoothed time, as a divisor.
constexpr int kSmoothingDivisor = 16;

/// The same for the unloaded time, so that it follows an instance that has
/// become slower for good within some seconds.
constexpr int kUnloadedDriftDivisor = 256;

/// Mean of the answer times over the smallest of their smoothed ones.
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
  // A limit that is not used says nothing about what the instance could take.
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
