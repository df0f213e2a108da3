#pragma once

#include "clSessionContext.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace catkinloom {

/// How a watcher retries while the store does not respond.
enum class store_retry
{
  /// Retries at short intervals, so that the store's recovery is detected soon.
  Probing,
  /// Waits until another call to the store has succeeded, since each call has a
  /// cost.
  Waiting,
};

/// Watches all keys under one prefix of the coordination store.
///
/// It lists the keys once and then watches for changes.  It lists them again
/// when the store has dropped the history that the watch needs, when the
/// changes since the last response are larger than a listing, when the store
/// was restored from an older copy, and regularly at a long interval.  During a
/// store outage it reports no changes.
class store_watcher
{
public:
  /// Receives a complete listing.
  using list_handler = std::function<void(const store_listing&)>;
  /// Receives the changes since the last listing or change.
  using change_handler = std::function<void(const std::vector<store_event>&)>;
  /// Called after each store call with its success, and the cause if it failed.
  using store_call_handler = std::function<void(bool, std::string_view)>;

  store_watcher(session_context& aContext,
                std::string aPrefix,
                store_retry aRetry,
                milliseconds aMaxWait,
                list_handler aOnList,
                change_handler aOnChange,
                store_call_handler aOnStoreCall);

  /// Watches until the process ends; runs in a fiber.
  void Run();

  /// True once a complete listing has been received.
  bool HasListed() const { return mHasListed; }

  /// When the last successful listing or watch ended; the epoch if there was
  /// none.
  time_point CheckedAt() const { return mCheckedAt; }

  /// Cancels the current watch and sends a new one, unless a response to it is
  /// arriving.  A watch that was sent during an outage may never be served,
  /// although its connection stays open.
  void RestartWatch();

  /// Lists all keys again.
  void Relist();

private:
  /// A watch under way, in its own fiber so that it can be abandoned.  Its
  /// connection is closed then: otherwise a later change would be sent on it as
  /// well.
  struct pending_watch
  {
    explicit pending_watch(event_loop& aLoop)
      : mEnded(aLoop)
    {
    }

    fiber_signal mEnded;
    store_call mCall;
    std::optional<result<store_changes>> mAnswer;
    bool mIsAbandoned = false;
  };

  /// Lists the keys; false if the call failed.
  bool List();
  /// Watches once; false if the keys must be listed again.
  bool Watch();
  /// Sends a watch and returns its response; empty if it was abandoned.
  std::optional<result<store_changes>> AwaitChanges(milliseconds aWait);
  void PauseAfterFailure();
  /// Logs and counts a failed call that was sent at aSentAt.
  void RecordFailure(std::string_view aCall,
                     prometheus::Counter& aCounter,
                     time_point aSentAt,
                     std::string_view aCause) const;

  session_context& mContext;
  std::string mPrefix;
  store_retry mRetry;
  /// Maximum duration of a watch.
  milliseconds mMaxWait;
  std::uint32_t mConsecutiveFailures = 0;
  list_handler mOnList;
  change_handler mOnChange;
  store_call_handler mOnStoreCall;
  std::shared_ptr<pending_watch> mWatch;
  store_revision mWatchFrom = 0;
  /// Generation of mWatchFrom.
  store_generation mGeneration = 0;
  /// Size of the last listing.
  std::size_t mListedBytes = 0;
  time_point mListedAt;
  time_point mCheckedAt;
  bool mHasListed = false;
  bool mMustRelist = false;
};

} // namespace catkinloom
