#include "clStoreFollower.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Failed calls after which a follower that has a picture to go on with asks
/// less often.
constexpr std::uint32_t kQuickProbes = 6;

} // namespace

store_follower::store_follower(session_context& aContext,
                               std::string aPrefix,
                               store_retry aRetry,
                               list_handler aOnList,
                               change_handler aOnChange,
                               reach_handler aOnReach)
  : mContext(aContext)
  , mPrefix(std::move(aPrefix))
  , mRetry(aRetry)
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
      PauseAfterFailure();
      continue;
    }
    while (Watch()) {
    }
  }
}

void
store_follower::PauseAfterFailure()
{
  const session_settings& settings = mContext.mSettings;
  ++mFailures;
  const bool isQuick = !mHasListed || mFailures <= kQuickProbes;
  if (mRetry == store_retry::Probing && isQuick) {
    mContext.mLoop.Sleep(settings.mStoreRetryPause);
    return;
  }
  mContext.AwaitStore(settings.mStoreLongPause);
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
  mFailures = 0;
  mMustList = false;
  mOnList(listing.value());
  mWatchFrom = listing.value().mAsOf;
  mListedAt = sentAt;
  mHasListed = true;
  return true;
}

void
store_follower::RenewWatch()
{
  if (mWatch) {
    mWatch->mIsGivenUp = true;
    mWatch->mEnded.Raise();
  }
}

void
store_follower::ListAnew()
{
  mMustList = true;
  RenewWatch();
}

std::optional<result<store_changes>>
store_follower::AwaitChanges(milliseconds aWait)
{
  auto watch = std::make_shared<pending_watch>(mContext.mLoop);
  mWatch = watch;
  mContext.mLoop.Spawn([this, watch, aWait, from = mWatchFrom] {
    watch->mAnswer = mContext.mPorts.mStore.Watch(mPrefix, from, aWait);
    watch->mEnded.Raise();
  });
  while (!watch->mAnswer && !watch->mIsGivenUp) {
    watch->mEnded.WaitUntil(mContext.Now() + aWait);
  }
  mWatch.reset();
  return std::move(watch->mAnswer);
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
  const auto answer = AwaitChanges(wait);
  if (!answer) {
    return !mMustList;
  }
  const result<store_changes>& changes = *answer;
  mOnReach(bool(changes), changes ? "" : changes.error().mDetail);
  if (!changes) {
    PauseAfterFailure();
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
