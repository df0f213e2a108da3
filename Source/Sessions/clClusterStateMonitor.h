#pragma once

#include "clLeadershipLease.h"
#include "clSessionContext.h"
#include "clStoreWatcher.h"

#include <map>
#include <string>

namespace catkinloom {

/// Keeps this proxy's view of the coordination store up to date: the desired
/// state, the instances, the leaders and the running proxies.  During a store
/// outage the last known view stays in use.
class cluster_state_monitor
{
public:
  explicit cluster_state_monitor(session_context& aContext);

  /// Starts the watchers of the store, each in its own fiber.
  void Start();

  /// Registers this proxy and renews its registration lease until it drains;
  /// runs in a fiber.
  void RunRegistration();

  /// Starts to read the leaders from the store again, or to renew the evidence
  /// of leadership; at most one such refresh runs at a time.
  void RefreshLeadership();

  /// Exports how long ago the desired state was last checked.
  void UpdateMetrics() const;

  /// Drops proxies and instances whose entry has been missing for longer than
  /// their grace period.
  void ExpireMissingEntries();

  /// True once everything that is needed to serve callers has been read.
  bool HasInitialState() const;

  /// Revokes the registration lease, so that the other proxies take over this
  /// proxy's share of the connections.
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
  void ApplyMembershipRecord(const std::string& aService,
                             const store_item& aItem);
  /// Names of the services that the listing has no key of below aPrefix.
  std::vector<std::string> ServicesWithoutRecord(
    const store_listing& aListing,
    std::string_view aPrefix) const;
  /// Drops proxies whose retention has ended and updates the number of proxies
  /// that share the connections.
  void UpdateProxyCount();
  void UpdateGroupInstances();
  void UpdateLeadership();
  /// Minimum time between the beginnings of two refreshes.
  milliseconds RefreshInterval() const;
  /// True if the leader of every group is proven to be the only one at aMoment.
  bool IsProvenAt(time_point aMoment) const;
  /// Renews the lease, which extends the evidence of every group.  False if the
  /// lease does not cover every group or was not renewed: the records must be
  /// read then.
  bool RenewLeadershipLease();
  /// Reads the records of all groups; false if the store call failed.
  /// aUnderLease: this proxy holds its leadership lease.
  bool ReadFailoverRecords(bool aUnderLease);
  bool IsRegistered() const;
  bool HasRegistrationLease() const;
  bool Register();
  /// Counts a store call and logs when the store becomes reachable or
  /// unreachable.  Once it is reachable, restarts the watches and lists the
  /// instances.
  void RecordStoreCall(bool aSucceeded, std::string_view aCause);
  /// Detects that the store was restored from an older copy; everything is
  /// listed again then.
  void RecordGeneration();

  session_context& mContext;
  leadership_lease mLeadershipLease;
  store_watcher mDesiredStateWatcher;
  store_watcher mDirectory;
  /// Watches the failover and membership records, and the registrations of
  /// proxies.
  store_watcher mInternalWatcher;
  std::map<std::string, instance_entry> mInstances;
  std::map<std::string, proxy_registration> mProxies;
  bool mStoreReached = false;
  store_generation mGeneration = 0;
  bool mIsRefreshing = false;
  time_point mRefreshedAt;
  /// The last refresh brought evidence for every group.
  bool mIsRefreshComplete = true;
  store_lease_id mRegistrationLease = 0;
  /// Generation of the store in which that lease was granted.
  store_generation mRegistrationGeneration = 0;
};

} // namespace catkinloom
