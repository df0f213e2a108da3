#pragma once

#include "clSessionContext.h"

#include <map>
#include <string>

namespace catkinloom {

/// Keeps this proxy's picture of the coordination store: the desired state,
/// the instances, who leads, and which proxies live.
///
/// A watch brings changes at once; a complete reading every few seconds finds
/// what a watch has missed.  While the store is out the last picture holds.
class state_keeper
{
public:
  explicit state_keeper(session_context& aContext);

  /// Reads and watches until the process ends; runs in a fiber.
  void Run();

  /// Registers this proxy and renews its lease; runs in a fiber.
  void RunRegistration();

  /// Asks the store anew who leads; one question is under way at a time.
  void RefreshLeadership();

  /// Entries that were missing may have been missing for long enough now.
  void ReviewInstances();

  /// Everything that serving needs was read.
  bool IsComplete() const { return mListed && mContext.mDesired != nullptr; }

  /// Ends the registration, so that the others take this proxy's share.
  void Leave();

private:
  bool ListAll();
  void WatchUntilListIsDue();
  void ApplyItem(const store_item& aItem, bool aDeleted);
  void ApplyDesiredState(const store_item& aItem);
  void ApplyInstance(const std::string& aId,
                     const store_item& aItem,
                     bool aDeleted);
  void ApplyListedInstances(const store_listing& aListing);
  void ApplyRecord(const std::string& aService, const store_item& aItem);
  void ApplyProxies();
  void PushInstances();
  void TakeLeadership();
  result<store_listing> List(std::string_view aPrefix);
  void NoteStore(bool aIsReached, std::string_view aCause);

  session_context& mContext;
  std::map<std::string, instance_entry> mInstances;
  struct proxy_presence
  {
    bool mIsRegistered = false;
    /// When its key was last known to exist.
    time_point mSeenAt;
  };

  std::map<std::string, proxy_presence> mProxies;
  store_revision mWatchFrom = 0;
  time_point mListedAt;
  bool mListed = false;
  bool mStoreReached = false;
  bool mRefreshing = false;
  store_lease mLease = 0;
};

} // namespace catkinloom
