#include "clSessionSettings.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Time before the end of the grace in which the process itself must end.
constexpr milliseconds kExitMargin{ 400 };

/// Share of the grace, in hundredths, in which callers are still accepted.
constexpr int kAcceptingPercent = 58;

/// Part of the time for a change that one pause of a call to the store may
/// take, as a divisor.
constexpr int kPausesPerChange = 5;

} // namespace

session_settings
SettingsFor(const installation_bounds& aBounds, bool aFencedPromotions)
{
  session_settings settings;
  settings.mFencedPromotions = aFencedPromotions;
  settings.mDrainTimeout =
    std::max(aBounds.mGrace - kExitMargin, aBounds.mGrace / 2);
  settings.mDrainTransactions = aBounds.mGrace / 2;
  settings.mDrainAccepting = std::min(
    std::max(aBounds.mGrace * kAcceptingPercent / 100, settings.mDrainNotice),
    settings.mDrainTimeout);
  settings.mDrainNotice =
    std::min(settings.mDrainNotice, settings.mDrainTransactions);
  settings.mStoreLongPause = std::min(
    settings.mStoreLongPause, aBounds.mChangeInForce / kPausesPerChange);
  settings.mStoreRetryPause =
    std::min(settings.mStoreRetryPause, settings.mStoreLongPause);
  return settings;
}

} // namespace catkinloom
