#pragma once

#include "clLeadershipLease.h"
#include "clSessionContext.h"
#include "clStoreWatcher.h"

#include <map>
#include <string>

namespace catkinloom {

/// Keeps this proxy's picture of the coordination store: the desired state,
/// the instances, who leads, and which proxies live.  While the store is out
/// the last picture holds.
class cluster_state_monitor
{
public:
  explicit cluster_state_monitor(session_context& aContext);

  /// Starts to follow the store, each part in a fiber of its own.
  void Start();

  /// Registers this proxy and renews its lease; runs in a fiber.
  void RunRegistration();

  /// Asks the store anew who leads; one question is under way at a time.
  void RefreshLeadership();

  /// Entries that were missing may have been missing for long enough now.
  void ExpireMissingEntries();

  /// Everything that serving needs was read.
  bool HasInitialState() const;

  /// Ends the registration, so that the others take this proxy's share.
  void Deregister();

private:
  struct proxy_registration
  {
    bool mIsRegistered = false;
    /// When its key was last known to exist.
    time_point mLastSeenAt;
  };

  void ApplyDesiredStateItem(const store_item& aItem);
  void ApplyInstance(const store_item& aItem, bool aDeleted);
  void ApplyInternalItem(const store_item& aItem, bool aDeleted);
  void ApplyFailoverRecord(const std::string& aService,
                           const store_item& aItem);
  void ApplyProxies();
  void UpdateGroupInstances();
  void UpdateLeadership();
  bool RenewLeadershipLease();
  bool ReadFailoverRecords(bool aUnderLease);
  bool IsRegistered() const;
  bool Register();
  void RecordStoreCall(bool aSucceeded, std::string_view aCause);

  session_context& mContext;
  leadership_lease mLeadershipLease;
  store_watcher mDesiredStateWatcher;
  store_watcher mDirectory;
  store_watcher mInternalWatcher;
  std::map<std::string, instance_entry> mInstances;
  std::map<std::string, proxy_registration> mProxies;
  bool mStoreReached = false;
  bool mIsRefreshing = false;
  time_point mRefreshedAt;
  store_lease_id mRegistrationLease = 0;
};

} // namespace catkinloom
