#include "clSessionSettings.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Time before the end of the grace in which the process itself must end.
constexpr milliseconds kExitMargin{ 400 };

/// Share of the grace, in hundredths, in which callers are still accepted.
constexpr int kDrainAcceptPercent = 58;

/// Part of the time for a change that one pause of a call to the store may
/// take, as a divisor.
constexpr int kRetriesPerChange = 5;

} // namespace

session_settings
SettingsFor(const installation_bounds& aBounds, bool aFencedPromotions)
{
  session_settings settings;
  settings.mFencedPromotions = aFencedPromotions;
  settings.mDrainTimeout =
    std::max(aBounds.mGrace - kExitMargin, aBounds.mGrace / 2);
  settings.mDrainTransactionTimeout = aBounds.mGrace / 2;
  settings.mDrainAcceptTime = std::min(
    std::max(aBounds.mGrace * kDrainAcceptPercent / 100, settings.mDrainNotice),
    settings.mDrainTimeout);
  settings.mDrainNotice =
    std::min(settings.mDrainNotice, settings.mDrainTransactionTimeout);
  settings.mStoreSlowRetryDelay = std::min(
    settings.mStoreSlowRetryDelay, aBounds.mChangeInForce / kRetriesPerChange);
  settings.mStoreRetryDelay =
    std::min(settings.mStoreRetryDelay, settings.mStoreSlowRetryDelay);
  return settings;
}

} // namespace catkinloom
