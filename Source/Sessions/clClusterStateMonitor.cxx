#include "clClusterStateMonitor.h"

#include "clLog.h"
#include "clStoreKeys.h"

#include <algorithm>
#include <fmt/ranges.h>
#include <set>

namespace catkinloom {

namespace {

/// Time for which a proxy still counts after its key was last seen: a key may
/// expire while its proxy is running and has connections open.
constexpr milliseconds kProxyRetention{ 4000 };

/// Minimum time between two refreshes while the store has no evidence for a
/// group.  Well below the lifetime of evidence, so that the other groups do not
/// run out of it.
constexpr milliseconds kIncompleteRefreshInterval{ 120 };

std::string
RemovePrefix(const std::string& aKey, std::string_view aPrefix)
{
  return aKey.substr(aPrefix.size());
}

bool
HasPrefix(const std::string& aKey, std::string_view aPrefix)
{
  return std::string_view(aKey).substr(0, aPrefix.size()) == aPrefix;
}

/// The record of a service that a listing has none of.
failover_record
AbsentRecord(const store_listing& aListing)
{
  failover_record record;
  record.mVersion = { aListing.mGeneration, 0 };
  return record;
}

/// The same for a membership record.
membership_record
AbsentMembership(const store_listing& aListing)
{
  membership_record record;
  record.mVersion = { aListing.mGeneration, 0 };
  return record;
}

} // namespace

cluster_state_monitor::cluster_state_monitor(session_context& aContext)
  : mContext(aContext)
  , mLeadershipLease(aContext,
                     [this](bool aSucceeded, std::string_view aCause) {
                       RecordStoreCall(aSucceeded, aCause);
                     })
  , mDesiredStateWatcher(
      aContext,
      std::string(aContext.mPorts.mDirectory.OperatorPrefix()),
      store_retry::Probing,
      aContext.mSettings.mDesiredWatchTimeout,
      [this](const store_listing& aListing) {
        for (const store_item& item : aListing.mItems) {
          ApplyDesiredStateItem(item);
        }
      },
      [this](const std::vector<store_event>& aEvents) {
        for (const store_event& event : aEvents) {
          if (!event.mDeleted) {
            ApplyDesiredStateItem(event.mItem);
          }
        }
      },
      [this](bool aSucceeded, std::string_view aCause) {
        RecordStoreCall(aSucceeded, aCause);
      })
  , mDirectory(
      aContext,
      std::string(aContext.mPorts.mDirectory.InstancePrefix()),
      store_retry::Waiting,
      aContext.mSettings.mDirectoryWatchTimeout,
      [this](const store_listing& aListing) {
        mInstances.clear();
        for (const store_item& item : aListing.mItems) {
          ApplyInstance(item, false);
        }
        UpdateGroupInstances();
        mContext.mDirectoryListedAt = mContext.Now();
      },
      [this](const std::vector<store_event>& aEvents) {
        for (const store_event& event : aEvents) {
          ApplyInstance(event.mItem, event.mDeleted);
        }
        UpdateGroupInstances();
      },
      [this](bool aSucceeded, std::string_view aCause) {
        RecordStoreCall(aSucceeded, aCause);
      })
  , mInternalWatcher(
      aContext,
      std::string(store_keys::kInternalPrefix),
      store_retry::Waiting,
      aContext.mSettings.mWatchTimeout,
      [this](const store_listing& aListing) {
        for (auto& [name, proxy] : mProxies) {
          proxy.mIsRegistered = false;
        }
        for (const store_item& item : aListing.mItems) {
          ApplyInternalItem(item, false);
        }
        for (const std::string& service :
             ServicesWithoutRecord(aListing, store_keys::kFailoverPrefix)) {
          mContext.Group(service).Leadership().OnRecordChange(
            AbsentRecord(aListing));
        }
        for (const std::string& service :
             ServicesWithoutRecord(aListing, store_keys::kMembershipPrefix)) {
          mContext.Group(service).ApplyMembership(AbsentMembership(aListing));
        }
        mContext.mAreRecordsListed = true;
        UpdateProxyCount();
      },
      [this](const std::vector<store_event>& aEvents) {
        for (const store_event& event : aEvents) {
          ApplyInternalItem(event.mItem, event.mDeleted);
        }
        UpdateProxyCount();
      },
      [this](bool aSucceeded, std::string_view aCause) {
        RecordStoreCall(aSucceeded, aCause);
      })
{
}

void
cluster_state_monitor::Start()
{
  mContext.mLoop.Spawn([this] { mDesiredStateWatcher.Run(); });
  mContext.mLoop.Spawn([this] { mDirectory.Run(); });
  mContext.mLoop.Spawn([this] { mInternalWatcher.Run(); });
}

bool
cluster_state_monitor::HasInitialState() const
{
  return mContext.mDesired != nullptr && mDirectory.HasListed() &&
         mInternalWatcher.HasListed();
}

void
cluster_state_monitor::UpdateMetrics() const
{
  mContext.mMetrics.mDesiredCheckAge.Set(
    std::chrono::duration<double>(mContext.Now() -
                                  mDesiredStateWatcher.CheckedAt())
      .count());
}

void
cluster_state_monitor::RecordStoreCall(bool aSucceeded, std::string_view aCause)
{
  mContext.mMetrics.mStoreCalls.Increment();
  if (!aSucceeded) {
    mContext.mMetrics.mStoreFailures.Increment();
  }
  RecordGeneration();
  if (aSucceeded == mStoreReached) {
    return;
  }
  mStoreReached = aSucceeded;
  mContext.mStoreReachedSince =
    aSucceeded ? std::optional(mContext.Now()) : std::nullopt;
  Log(log_level::Info,
      "store",
      "Store {}. cause={}",
      aSucceeded ? "reached; watches restart and instances are listed again"
                 : "lost; the last known state stays in use",
      aCause);
  if (aSucceeded) {
    mContext.mStoreReached.Notify();
    mDesiredStateWatcher.RestartWatch();
    mInternalWatcher.RestartWatch();
    // A failover may only start once the listed instances are known again.
    mDirectory.Relist();
  }
}

void
cluster_state_monitor::RecordGeneration()
{
  const store_generation generation = mContext.mPorts.mStore.Generation();
  if (generation == mGeneration) {
    return;
  }
  Log(log_level::Info,
      "store",
      "Generation of the store changed; after a restore all keys are listed "
      "again. before={} now={}",
      mGeneration,
      generation);
  const bool isRestored = mGeneration != 0;
  mGeneration = generation;
  mContext.mMetrics.mStoreGeneration.Set(static_cast<double>(generation));
  if (isRestored) {
    mDesiredStateWatcher.Relist();
    mInternalWatcher.Relist();
    mDirectory.Relist();
  }
}

void
cluster_state_monitor::ApplyInternalItem(const store_item& aItem, bool aDeleted)
{
  if (HasPrefix(aItem.mKey, store_keys::kFailoverPrefix) && !aDeleted) {
    ApplyFailoverRecord(RemovePrefix(aItem.mKey, store_keys::kFailoverPrefix),
                        aItem);
  } else if (HasPrefix(aItem.mKey, store_keys::kMembershipPrefix) &&
             !aDeleted) {
    ApplyMembershipRecord(
      RemovePrefix(aItem.mKey, store_keys::kMembershipPrefix), aItem);
  } else if (HasPrefix(aItem.mKey, store_keys::kProxyPrefix)) {
    mProxies[RemovePrefix(aItem.mKey, store_keys::kProxyPrefix)] = {
      !aDeleted, mContext.Now()
    };
  }
}

void
cluster_state_monitor::ApplyDesiredStateItem(const store_item& aItem)
{
  if (aItem.mKey != mContext.mPorts.mDirectory.DesiredStateKey()) {
    return;
  }
  auto decoded = mContext.mPorts.mDirectory.DecodeDesiredState(aItem.mValue);
  if (!decoded) {
    Log(log_level::Warning,
        "desired",
        "Desired state can't be read, the one in force stays. revision={} "
        "cause={}",
        aItem.mRevision,
        decoded.error().mDetail);
    return;
  }
  if (mContext.mDesired && !IsNewer(decoded.value(), *mContext.mDesired)) {
    return;
  }
  auto next = std::make_shared<desired_state>(std::move(decoded.value()));
  for (const auto& [name, service] : next->mServices) {
    mContext.Group(name).SetDeclared(service);
  }
  Log(log_level::Info,
      "desired",
      "New desired state in force; its routes and services replace the former "
      "ones. version={} revision={} routes={} services={}",
      next->mVersion,
      aItem.mRevision,
      next->mRoutes.size(),
      next->mServices.size());
  mContext.mMetrics.mDesiredVersion.Set(static_cast<double>(next->mVersion));
  mContext.mDesired = std::move(next);
  // Instances of its services may have been listed before this state was read.
  UpdateGroupInstances();
  mContext.mDesiredKnown.Notify();
}

void
cluster_state_monitor::ApplyInstance(const store_item& aItem, bool aDeleted)
{
  const directory_codec& codec = mContext.mPorts.mDirectory;
  const std::string id = RemovePrefix(aItem.mKey, codec.InstancePrefix());
  if (aDeleted) {
    mInstances.erase(id);
    return;
  }
  const auto entry = codec.DecodeInstance(id, aItem.mValue);
  if (!entry) {
    Log(
      log_level::Info,
      "directory",
      "Entry names no instance to use; its instance counts as missing. key={} "
      "cause={}",
      aItem.mKey,
      entry.error().mDetail);
    mInstances.erase(id);
    return;
  }
  mInstances[id] = entry.value();
}

void
cluster_state_monitor::UpdateGroupInstances()
{
  std::map<std::string, std::vector<instance_entry>> byService;
  for (const auto& [id, entry] : mInstances) {
    byService[entry.mService].push_back(entry);
  }
  for (const auto& [service, group] : mContext.mGroups) {
    byService.try_emplace(service);
  }
  for (const auto& [service, entries] : byService) {
    const bool isDeclared =
      mContext.mDesired && mContext.mDesired->mServices.count(service) > 0;
    if (isDeclared || mContext.mGroups.count(service) > 0) {
      mContext.Group(service).ApplyEntries(entries);
    }
  }
}

void
cluster_state_monitor::ExpireMissingEntries()
{
  UpdateProxyCount();
  for (const auto& [service, group] : mContext.mGroups) {
    for (const auto& instance : group->Instances()) {
      if (instance->mMissingSince) {
        UpdateGroupInstances();
        return;
      }
    }
  }
}

void
cluster_state_monitor::ApplyFailoverRecord(const std::string& aService,
                                           const store_item& aItem)
{
  auto record = DecodeFailoverRecord(aItem.mValue);
  if (!record) {
    Log(log_level::Warning,
        "failover",
        "Failover record not valid; the last one stays in use. service={} "
        "cause={}",
        aService,
        record.error().mDetail);
    return;
  }
  record.value().mVersion = { aItem.mGeneration, aItem.mRevision };
  upstream_group& group = mContext.Group(aService);
  const record_version before = group.Leadership().Record().mVersion;
  group.Leadership().OnRecordChange(record.value());
  if (record.value().mVersion > before) {
    Log(log_level::Info,
        "failover",
        "Record read; the leader that it names is adopted, unless a restore of "
        "the store brought it back. service={} revision={} contested={} "
        "holder={} may_lead=[{}] leader={} generation={} written_in={}",
        aService,
        aItem.mRevision,
        record.value().mPhase == failover_phase::InProgress,
        record.value().mHolder,
        fmt::join(record.value().mPossibleLeaders, ","),
        record.value().mLeader,
        aItem.mGeneration,
        record.value().mWrittenIn);
    group.NotifyAll();
  }
}

void
cluster_state_monitor::ApplyMembershipRecord(const std::string& aService,
                                             const store_item& aItem)
{
  auto record = DecodeMembershipRecord(aService, aItem.mValue);
  if (!record) {
    Log(log_level::Warning,
        "failover",
        "Membership record not valid; the last one stays in use. service={} "
        "cause={}",
        aService,
        record.error().mDetail);
    return;
  }
  record.value().mVersion = { aItem.mGeneration, aItem.mRevision };
  mContext.Group(aService).ApplyMembership(record.value());
}

void
cluster_state_monitor::UpdateProxyCount()
{
  const time_point oldest = mContext.Now() - kProxyRetention;
  std::erase_if(mProxies, [oldest](const auto& aProxy) {
    return !aProxy.second.mIsRegistered && aProxy.second.mLastSeenAt < oldest;
  });
  const auto others = mProxies.size() - mProxies.count(mContext.Name());
  const auto proxies = static_cast<std::uint32_t>(others + 1);
  if (proxies != mContext.mUpstreams.mProxies) {
    Log(log_level::Info,
        "proxies",
        "Proxies that share the connections changed; connection shares are "
        "adjusted. "
        "before={} now={}",
        mContext.mUpstreams.mProxies,
        proxies);
  }
  mContext.mUpstreams.mProxies = proxies;
}

void
cluster_state_monitor::RefreshLeadership()
{
  const bool isTooSoon = mContext.Now() < mRefreshedAt + RefreshInterval();
  if (mIsRefreshing || isTooSoon) {
    return;
  }
  mRefreshedAt = mContext.Now();
  mIsRefreshing = true;
  mContext.mLoop.Spawn([this] {
    UpdateLeadership();
    mIsRefreshing = false;
    mIsRefreshComplete = IsProvenAt(mRefreshedAt);
    for (const auto& [service, group] : mContext.mGroups) {
      group->Changed().Notify();
    }
  });
}

milliseconds
cluster_state_monitor::RefreshInterval() const
{
  // During a store outage the groups themselves are queried instead, so that
  // the store is called only now and then.
  if (!mStoreReached) {
    return mContext.mSettings.mStoreSlowRetryDelay;
  }
  // The end of a refresh wakes the statements that wait for evidence, and those
  // that are still without it ask for the next one.
  return mIsRefreshComplete ? milliseconds(0) : kIncompleteRefreshInterval;
}

bool
cluster_state_monitor::IsProvenAt(time_point aMoment) const
{
  return std::all_of(mContext.mGroups.begin(),
                     mContext.mGroups.end(),
                     [aMoment](const auto& aGroup) {
                       return aGroup.second->Leadership().IsProvenAt(aMoment);
                     });
}

void
cluster_state_monitor::UpdateLeadership()
{
  const bool wasHeld = mLeadershipLease.IsHeld();
  if (wasHeld && RenewLeadershipLease()) {
    return;
  }
  // The records are needed at once, so they are read before the lease is
  // acquired.
  if (!ReadFailoverRecords(wasHeld && mLeadershipLease.IsHeld())) {
    return;
  }
  if (!mLeadershipLease.IsHeld() && mLeadershipLease.Acquire()) {
    ReadFailoverRecords(true);
  }
}

bool
cluster_state_monitor::RenewLeadershipLease()
{
  bool allUnderLease = true;
  for (const auto& [service, group] : mContext.mGroups) {
    allUnderLease = allUnderLease && group->Leadership().HasLease();
  }
  const time_point sentAt = mContext.Now();
  if (!allUnderLease) {
    return false;
  }
  if (!mLeadershipLease.Renew()) {
    if (!mLeadershipLease.IsHeld()) {
      for (const auto& [service, group] : mContext.mGroups) {
        group->Leadership().OnLeaseEnded();
      }
    }
    return false;
  }
  for (const auto& [service, group] : mContext.mGroups) {
    group->Leadership().OnLeaseRenewed(sentAt);
  }
  return true;
}

bool
cluster_state_monitor::ReadFailoverRecords(bool aUnderLease)
{
  const time_point sentAt = mContext.Now();
  const auto listing = mContext.mPorts.mStore.List(
    std::string(store_keys::kFailoverPrefix), mContext.mSettings.mStoreTimeout);
  RecordStoreCall(bool(listing), listing ? "" : listing.error().mDetail);
  if (!listing) {
    return false;
  }
  for (const store_item& item : listing.value().mItems) {
    const std::string service =
      RemovePrefix(item.mKey, store_keys::kFailoverPrefix);
    ApplyFailoverRecord(service, item);
    group_leadership& leadership = mContext.Group(service).Leadership();
    const record_version version{ item.mGeneration, item.mRevision };
    if (leadership.Record().mVersion == version) {
      leadership.OnRecord(failover_record(leadership.Record()), sentAt);
    }
  }
  for (const std::string& service :
       ServicesWithoutRecord(listing.value(), store_keys::kFailoverPrefix)) {
    mContext.Group(service).Leadership().OnRecord(AbsentRecord(listing.value()),
                                                  sentAt);
  }
  for (const auto& [service, group] : mContext.mGroups) {
    if (aUnderLease) {
      group->Leadership().OnReadUnderLease();
    }
  }
  return true;
}

std::vector<std::string>
cluster_state_monitor::ServicesWithoutRecord(const store_listing& aListing,
                                             std::string_view aPrefix) const
{
  std::set<std::string> recorded;
  for (const store_item& item : aListing.mItems) {
    if (HasPrefix(item.mKey, aPrefix)) {
      recorded.insert(RemovePrefix(item.mKey, aPrefix));
    }
  }
  std::vector<std::string> missing;
  for (const auto& [service, group] : mContext.mGroups) {
    if (recorded.count(service) == 0) {
      missing.push_back(service);
    }
  }
  return missing;
}

bool
cluster_state_monitor::IsRegistered() const
{
  const auto own = mProxies.find(mContext.Name());
  return own != mProxies.end() && own->second.mIsRegistered;
}

bool
cluster_state_monitor::HasRegistrationLease() const
{
  return mRegistrationLease != 0 &&
         mRegistrationGeneration == mContext.mPorts.mStore.Generation();
}

void
cluster_state_monitor::RunRegistration()
{
  const session_settings& settings = mContext.mSettings;
  while (!mContext.mDraining) {
    bool isLeaseRenewed = false;
    if (!HasRegistrationLease()) {
      mRegistrationLease = 0;
    } else {
      const auto renewed =
        mContext.mPorts.mStore.RenewLease(mRegistrationLease);
      RecordStoreCall(bool(renewed), renewed ? "" : renewed.error().mDetail);
      isLeaseRenewed = renewed && renewed.value() && HasRegistrationLease();
      if (renewed && !renewed.value()) {
        mRegistrationLease = 0;
      }
    }
    const bool done = (isLeaseRenewed && IsRegistered()) || Register();
    if (done) {
      mContext.mLoop.Sleep(settings.mRegistrationRenewalInterval);
    } else {
      mContext.AwaitStore(settings.mStoreSlowRetryDelay);
    }
  }
}

bool
cluster_state_monitor::Register()
{
  const session_settings& settings = mContext.mSettings;
  coordination_store& store = mContext.mPorts.mStore;
  if (mRegistrationLease == 0) {
    const auto lease = store.GrantLease(settings.mRegistrationLifetime);
    RecordStoreCall(bool(lease), lease ? "" : lease.error().mDetail);
    if (!lease) {
      return false;
    }
    mRegistrationLease = lease.value();
    mRegistrationGeneration = store.Generation();
  }
  const std::string key =
    std::string(store_keys::kProxyPrefix) + mContext.Name();
  const auto written =
    store.Overwrite(key, "{}", mRegistrationLease, settings.mStoreTimeout);
  RecordStoreCall(bool(written), written ? "" : written.error().mDetail);
  const bool done =
    written && written.value().mOutcome == store_write_outcome::Written;
  if (written && written.value().mOutcome == store_write_outcome::LeaseEnded) {
    mRegistrationLease = 0;
  }
  Log(
    log_level::Info,
    "proxies",
    "Registration write finished; retried later if not done. done={} lease={}",
    done,
    mRegistrationLease);
  if (done) {
    mProxies[mContext.Name()] = { true, mContext.Now() };
  }
  return done;
}

void
cluster_state_monitor::Deregister()
{
  if (!HasRegistrationLease()) {
    return;
  }
  const auto ended = mContext.mPorts.mStore.RevokeLease(mRegistrationLease);
  if (!ended) {
    Log(log_level::Info,
        "proxies",
        "Registration lease not revoked; it expires without renewal. cause={}",
        ended.error().mDetail);
  }
  mRegistrationLease = 0;
}

} // namespace catkinloom
