#include "clSessionSettings.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Time reserved at the end of the grace period for the process to exit.
constexpr milliseconds kExitMargin{ 400 };

/// Time reserved at the end of a drain for sending the last responses.
constexpr milliseconds kResponseMargin{ 200 };

/// Percentage of the grace period in which new callers are accepted.
constexpr int kDrainAcceptPercent = 58;

/// Store retries that must fit into the time allowed for a change to take
/// effect; bounds the retry delay.
constexpr int kRetriesPerChange = 5;

/// Percentage of the time allowed for a change to take effect that a watch of
/// the desired state may last.  The rest is for a listing after it.
constexpr int kDesiredWatchPercent = 50;

} // namespace

session_settings
SettingsFor(const installation_bounds& aBounds, bool aFencedPromotions)
{
  session_settings settings;
  settings.mFencedPromotions = aFencedPromotions;
  settings.mDrainTimeout =
    std::max(aBounds.mTerminationGracePeriod - kExitMargin,
             aBounds.mTerminationGracePeriod / 2);
  settings.mDrainStatementTimeout = std::max(
    settings.mDrainTimeout - kResponseMargin, settings.mDrainTimeout / 2);
  settings.mDrainTransactionTimeout = aBounds.mTerminationGracePeriod / 2;
  settings.mDrainAcceptTime = std::min(
    std::max(aBounds.mTerminationGracePeriod * kDrainAcceptPercent / 100,
             settings.mDrainNotice),
    settings.mDrainTimeout);
  settings.mDrainNotice =
    std::min(settings.mDrainNotice, settings.mDrainTransactionTimeout);
  settings.mStoreSlowRetryDelay =
    std::min(settings.mStoreSlowRetryDelay,
             aBounds.mMaxChangePropagation / kRetriesPerChange);
  settings.mDesiredWatchTimeout =
    std::min(settings.mWatchTimeout,
             aBounds.mMaxChangePropagation * kDesiredWatchPercent / 100);
  settings.mStoreRetryDelay =
    std::min(settings.mStoreRetryDelay, settings.mStoreSlowRetryDelay);
  return settings;
}

} // namespace catkinloom
