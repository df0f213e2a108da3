#include "clStoreFollower.h"

#include <algorithm>

namespace catkinloom {

store_follower::store_follower(session_context& aContext,
                               std::string aPrefix,
                               list_handler aOnList,
                               change_handler aOnChange,
                               reach_handler aOnReach)
  : mContext(aContext)
  , mPrefix(std::move(aPrefix))
  , mOnList(std::move(aOnList))
  , mOnChange(std::move(aOnChange))
  , mOnReach(std::move(aOnReach))
{
}

void
store_follower::Run()
{
  while (true) {
    if (!List()) {
      mContext.mLoop.Sleep(mContext.mSettings.mStoreRetryPause);
      continue;
    }
    while (Watch()) {
    }
  }
}

bool
store_follower::List()
{
  const time_point sentAt = mContext.Now();
  const auto listing =
    mContext.mPorts.mStore.List(mPrefix, mContext.mSettings.mStoreTimeout);
  mOnReach(bool(listing), listing ? "" : listing.error().mDetail);
  if (!listing) {
    return false;
  }
  mOnList(listing.value());
  mWatchFrom = listing.value().mAsOf;
  mListedAt = sentAt;
  mHasListed = true;
  return true;
}

bool
store_follower::Watch()
{
  const session_settings& settings = mContext.mSettings;
  const nanoseconds left = mListedAt + settings.mListInterval - mContext.Now();
  const auto wait = std::chrono::duration_cast<milliseconds>(
    std::min<nanoseconds>(left, settings.mWatchWait));
  if (wait <= milliseconds(0)) {
    return false;
  }
  const auto changes = mContext.mPorts.mStore.Watch(mPrefix, mWatchFrom, wait);
  mOnReach(bool(changes), changes ? "" : changes.error().mDetail);
  if (!changes) {
    mContext.mLoop.Sleep(settings.mStoreRetryPause);
    return false;
  }
  if (changes.value().mHistoryLost) {
    return false;
  }
  mWatchFrom = std::max(mWatchFrom, changes.value().mAsOf);
  if (!changes.value().mEvents.empty()) {
    mOnChange(changes.value().mEvents);
    mContext.mLoop.Sleep(settings.mWatchPause);
  }
  return true;
}

} // namespace catkinloom
