#pragma once

#include "clSessionContext.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace catkinloom {

/// What a follower does while the store does not answer.
enum class store_retry
{
  /// Asks again and again, so that the store's return is noticed at once.
  Probing,
  /// Waits until another call was answered; each call is paid for.
  Waiting,
};

/// Follows every key under one prefix of the coordination store.
///
/// It lists the keys once and then watches; it lists anew when the store says
/// that it can't go on, and every now and then all the same.  While the store
/// is out it changes nothing.
class store_watcher
{
public:
  /// Takes a complete listing.
  using list_handler = std::function<void(const store_listing&)>;
  /// Takes the changes since.
  using change_handler = std::function<void(const std::vector<store_event>&)>;
  /// Told after each call whether the store was reached, and the cause if not.
  using store_call_handler = std::function<void(bool, std::string_view)>;

  store_watcher(session_context& aContext,
                std::string aPrefix,
                store_retry aRetry,
                list_handler aOnList,
                change_handler aOnChange,
                store_call_handler aOnStoreCall);

  /// Follows until the process ends; runs in a fiber.
  void Run();

  /// A complete listing was taken.
  bool HasListed() const { return mHasListed; }

  /// Sends the present watch anew.  A watch that was sent while the store did
  /// not answer may never be heard, although its connection looks sound.
  void RestartWatch();

  /// Reads every key anew.
  void Relist();

private:
  /// A watch on its way, in a fiber of its own so that it can be given up.
  struct pending_watch
  {
    explicit pending_watch(event_loop& aLoop)
      : mEnded(aLoop)
    {
    }

    fiber_signal mEnded;
    std::optional<result<store_changes>> mAnswer;
    bool mIsAbandoned = false;
  };

  bool List();
  bool Watch();
  /// The answer of a watch; empty when it was given up for a new one.
  std::optional<result<store_changes>> AwaitChanges(milliseconds aWait);
  void PauseAfterFailure();

  session_context& mContext;
  std::string mPrefix;
  store_retry mRetry;
  std::uint32_t mConsecutiveFailures = 0;
  list_handler mOnList;
  change_handler mOnChange;
  store_call_handler mOnStoreCall;
  std::shared_ptr<pending_watch> mWatch;
  store_revision mWatchFrom = 0;
  time_point mListedAt;
  bool mHasListed = false;
  bool mMustRelist = false;
};

} // namespace catkinloom
