#include "clStoreWatcher.h"

#include "clLog.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Failed calls in a row after which a watcher that already has a listing
/// retries at the long interval.
constexpr std::uint32_t kMaxShortDelays = 6;

/// Size by which the response to a watch may exceed the last listing.  It holds
/// every value that a key had since the last response, and a listing only the
/// newest one.
constexpr std::size_t kMaxSurplusBytes = 65536;

} // namespace

store_watcher::store_watcher(session_context& aContext,
                             std::string aPrefix,
                             store_retry aRetry,
                             milliseconds aMaxWait,
                             list_handler aOnList,
                             change_handler aOnChange,
                             store_call_handler aOnStoreCall)
  : mContext(aContext)
  , mPrefix(std::move(aPrefix))
  , mRetry(aRetry)
  , mMaxWait(aMaxWait)
  , mOnList(std::move(aOnList))
  , mOnChange(std::move(aOnChange))
  , mOnStoreCall(std::move(aOnStoreCall))
{
}

void
store_watcher::Run()
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
store_watcher::PauseAfterFailure()
{
  const session_settings& settings = mContext.mSettings;
  ++mConsecutiveFailures;
  const bool usesShortDelay =
    !mHasListed || mConsecutiveFailures <= kMaxShortDelays;
  if (mRetry == store_retry::Probing && usesShortDelay) {
    mContext.mLoop.Sleep(settings.mStoreRetryDelay);
    return;
  }
  mContext.AwaitStore(settings.mStoreSlowRetryDelay);
}

void
store_watcher::RecordFailure(std::string_view aCall,
                             prometheus::Counter& aCounter,
                             time_point aSentAt,
                             std::string_view aCause) const
{
  aCounter.Increment();
  Log(
    log_level::Info,
    "store",
    "Call failed; the keys are listed again after a delay. call={} prefix={} "
    "taken_ms={} after={} failures={} cause={}",
    aCall,
    mPrefix,
    std::chrono::duration_cast<milliseconds>(mContext.Now() - aSentAt).count(),
    mWatchFrom,
    mConsecutiveFailures,
    aCause);
}

bool
store_watcher::List()
{
  const time_point sentAt = mContext.Now();
  const auto listing =
    mContext.mPorts.mStore.List(mPrefix, mContext.mSettings.mStoreTimeout);
  mOnStoreCall(bool(listing), listing ? "" : listing.error().mDetail);
  if (!listing) {
    RecordFailure("list",
                  mContext.mMetrics.mListingFailures,
                  sentAt,
                  listing.error().mDetail);
    return false;
  }
  mConsecutiveFailures = 0;
  if (listing.value().mGeneration != mContext.mPorts.mStore.Generation()) {
    return false;
  }
  mMustRelist = false;
  mGeneration = listing.value().mGeneration;
  mOnList(listing.value());
  mWatchFrom = listing.value().mRevision;
  mListedBytes = listing.value().mBytes;
  mListedAt = sentAt;
  mCheckedAt = mContext.Now();
  mHasListed = true;
  return true;
}

void
store_watcher::RestartWatch()
{
  if (!mWatch || mWatch->mIsAbandoned || mWatch->mCall.mIsAnswered) {
    return;
  }
  mContext.mMetrics.mWatchRestarts.Increment();
  mWatch->mIsAbandoned = true;
  mWatch->mEnded.Notify();
  if (mWatch->mCall.mCancel) {
    mWatch->mCall.mCancel();
  }
}

void
store_watcher::Relist()
{
  mMustRelist = true;
  RestartWatch();
}

std::optional<result<store_changes>>
store_watcher::AwaitChanges(milliseconds aWait)
{
  auto watch = std::make_shared<pending_watch>(mContext.mLoop);
  mWatch = watch;
  mContext.mLoop.Spawn([this, watch, aWait, from = mWatchFrom] {
    if (watch->mIsAbandoned) {
      return;
    }
    watch->mAnswer = mContext.mPorts.mStore.Watch(
      mPrefix, from, aWait, mListedBytes + kMaxSurplusBytes, watch->mCall);
    watch->mEnded.Notify();
  });
  while (!watch->mAnswer && !watch->mIsAbandoned) {
    watch->mEnded.WaitUntil(mContext.Now() + aWait);
  }
  mWatch.reset();
  return std::move(watch->mAnswer);
}

bool
store_watcher::Watch()
{
  // A revision of an earlier generation says nothing about the present one,
  // even if the store accepts a watch from it.
  if (mMustRelist || mGeneration != mContext.mPorts.mStore.Generation()) {
    return false;
  }
  const session_settings& settings = mContext.mSettings;
  const nanoseconds left = mListedAt + settings.mListInterval - mContext.Now();
  const auto wait = std::chrono::duration_cast<milliseconds>(
    std::min<nanoseconds>(left, mMaxWait));
  if (wait <= milliseconds(0)) {
    return false;
  }
  const time_point sentAt = mContext.Now();
  const auto answer = AwaitChanges(wait);
  if (!answer) {
    return true;
  }
  const result<store_changes>& changes = *answer;
  mOnStoreCall(bool(changes), changes ? "" : changes.error().mDetail);
  if (!changes) {
    RecordFailure("watch",
                  mContext.mMetrics.mWatchFailures,
                  sentAt,
                  changes.error().mDetail);
    PauseAfterFailure();
    return false;
  }
  if (changes.value().mGeneration != mGeneration) {
    return false;
  }
  if (changes.value().mNeedsListing) {
    Log(log_level::Info,
        "store",
        "Watch can't continue, its history was dropped or is larger than a "
        "listing; the keys are listed again. prefix={} after={}",
        mPrefix,
        mWatchFrom);
    return false;
  }
  mCheckedAt = mContext.Now();
  mWatchFrom = std::max(mWatchFrom, changes.value().mRevision);
  if (!changes.value().mEvents.empty()) {
    mOnChange(changes.value().mEvents);
    mContext.mLoop.Sleep(settings.mWatchBatchDelay);
  }
  return true;
}

} // namespace catkinloom
