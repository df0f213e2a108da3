#include "clConcurrencyLimit.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Factor by which a refusal lowers the limit.
constexpr double kLower = 0.7;

/// Refusals closer together tell of the same full queue.
constexpr milliseconds kLowerSpacing{ 60 };

constexpr double kLeast = 1;

constexpr double kMost = 64;

/// Own statements in an instance's queue below which the limit is raised, and
/// above which it is lowered.
constexpr double kRaiseBelow = 1;
constexpr double kLowerAbove = 3;

/// Weight of one answer in the smoothed time, as a divisor.
constexpr int kSmoothing = 16;

/// The same for the unloaded time, so that it follows an instance that has
/// become slower for good within some seconds.
constexpr int kDrift = 256;

/// Mean of the answer times over the smallest of their smoothed ones.
constexpr double kMeanOverSmallest = 1.6;

} // namespace

void
concurrency_limit::NoteTaken(nanoseconds aTaken)
{
  if (mTaken == nanoseconds(0)) {
    mTaken = aTaken;
    mUnloaded = aTaken;
    return;
  }
  mTaken += (aTaken - mTaken) / kSmoothing;
  mUnloaded =
    mTaken < mUnloaded ? mTaken : mUnloaded + (mTaken - mUnloaded) / kDrift;
}

double
concurrency_limit::Queued() const
{
  const auto taken = static_cast<double>(mTaken.count());
  const auto working =
    static_cast<double>(mUnloaded.count()) * kMeanOverSmallest;
  return taken > working ? mLimit * (1 - working / taken) : 0;
}

void
concurrency_limit::OnServed(std::uint32_t aInFlight, nanoseconds aTaken)
{
  NoteTaken(aTaken);
  const double queued = Queued();
  if (queued > kLowerAbove) {
    mLimit = std::max(mLimit - 1 / mLimit, kLeast);
    return;
  }
  // A limit that is not used says nothing about what the instance could take.
  if (aInFlight >= Limit() && queued < kRaiseBelow) {
    mLimit = std::min(mLimit + 1 / mLimit, kMost);
  }
}

void
concurrency_limit::OnRefused(time_point aNow)
{
  if (aNow < mLoweredAt + kLowerSpacing) {
    return;
  }
  mLoweredAt = aNow;
  mLimit = std::max(mLimit * kLower, kLeast);
}

} // namespace catkinloom
