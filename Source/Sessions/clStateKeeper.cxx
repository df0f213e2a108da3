#include "clStateKeeper.h"

#include "clLog.h"
#include "clStoreKeys.h"

#include <set>

namespace catkinloom {

namespace {

/// Time for which a proxy counts after its key was last seen: keys may vanish
/// while their proxy lives and holds connections.
constexpr milliseconds kProxyMemory{ 4000 };

std::string
RestOf(const std::string& aKey, std::string_view aPrefix)
{
  return aKey.substr(aPrefix.size());
}

bool
IsUnder(const std::string& aKey, std::string_view aPrefix)
{
  return std::string_view(aKey).substr(0, aPrefix.size()) == aPrefix;
}

} // namespace

state_keeper::state_keeper(session_context& aContext)
  : mContext(aContext)
  , mLeadershipLease(aContext,
                     [this](bool aIsReached, std::string_view aCause) {
                       NoteStore(aIsReached, aCause);
                     })
  , mOperator(
      aContext,
      std::string(aContext.mPorts.mDirectory.OperatorPrefix()),
      store_retry::Probing,
      [this](const store_listing& aListing) {
        for (const store_item& item : aListing.mItems) {
          ApplyOperatorItem(item);
        }
      },
      [this](const std::vector<store_event>& aEvents) {
        for (const store_event& event : aEvents) {
          if (!event.mDeleted) {
            ApplyOperatorItem(event.mItem);
          }
        }
      },
      [this](bool aIsReached, std::string_view aCause) {
        NoteStore(aIsReached, aCause);
      })
  , mDirectory(
      aContext,
      std::string(aContext.mPorts.mDirectory.InstancePrefix()),
      store_retry::Waiting,
      [this](const store_listing& aListing) {
        mInstances.clear();
        for (const store_item& item : aListing.mItems) {
          ApplyInstance(item, false);
        }
        PushInstances();
        mContext.mDirectoryListedAt = mContext.Now();
      },
      [this](const std::vector<store_event>& aEvents) {
        for (const store_event& event : aEvents) {
          ApplyInstance(event.mItem, event.mDeleted);
        }
        PushInstances();
      },
      [this](bool aIsReached, std::string_view aCause) {
        NoteStore(aIsReached, aCause);
      })
  , mOwn(
      aContext,
      std::string(store_keys::kOwn),
      store_retry::Waiting,
      [this](const store_listing& aListing) {
        for (auto& [name, proxy] : mProxies) {
          proxy.mIsRegistered = false;
        }
        for (const store_item& item : aListing.mItems) {
          ApplyOwnItem(item, false);
        }
        ApplyProxies();
      },
      [this](const std::vector<store_event>& aEvents) {
        for (const store_event& event : aEvents) {
          ApplyOwnItem(event.mItem, event.mDeleted);
        }
        ApplyProxies();
      },
      [this](bool aIsReached, std::string_view aCause) {
        NoteStore(aIsReached, aCause);
      })
{
}

void
state_keeper::Start()
{
  mContext.mLoop.Spawn([this] { mOperator.Run(); });
  mContext.mLoop.Spawn([this] { mDirectory.Run(); });
  mContext.mLoop.Spawn([this] { mOwn.Run(); });
}

bool
state_keeper::IsComplete() const
{
  return mContext.mDesired != nullptr && mDirectory.HasListed() &&
         mOwn.HasListed();
}

void
state_keeper::NoteStore(bool aIsReached, std::string_view aCause)
{
  mContext.mMetrics.mStoreCalls.Increment();
  if (!aIsReached) {
    mContext.mMetrics.mStoreFailures.Increment();
  }
  if (aIsReached == mStoreReached) {
    return;
  }
  mStoreReached = aIsReached;
  mContext.mStoreReachedSince =
    aIsReached ? std::optional(mContext.Now()) : std::nullopt;
  Log(log_level::Info,
      "store",
      "Store {}. cause={}",
      aIsReached ? "reached" : "lost",
      aCause);
  if (aIsReached) {
    mContext.mStoreReached.Raise();
    mOperator.RenewWatch();
    mOwn.RenewWatch();
    // Who is still there decides whether a lost leader may be replaced.
    mDirectory.ListAnew();
  }
}

void
state_keeper::ApplyOwnItem(const store_item& aItem, bool aDeleted)
{
  if (IsUnder(aItem.mKey, store_keys::kFailover) && !aDeleted) {
    ApplyRecord(RestOf(aItem.mKey, store_keys::kFailover), aItem);
  } else if (IsUnder(aItem.mKey, store_keys::kProxies)) {
    mProxies[RestOf(aItem.mKey, store_keys::kProxies)] = { !aDeleted,
                                                           mContext.Now() };
  }
}

void
state_keeper::ApplyOperatorItem(const store_item& aItem)
{
  if (aItem.mKey != mContext.mPorts.mDirectory.DesiredStateKey()) {
    return;
  }
  auto offered = mContext.mPorts.mDirectory.DecodeDesiredState(aItem.mValue);
  if (!offered) {
    Log(log_level::Warning,
        "desired",
        "Desired state can't be read, the one in force stays. revision={} "
        "cause={}",
        aItem.mRevision,
        offered.error().mDetail);
    return;
  }
  if (mContext.mDesired && !IsNewer(offered.value(), *mContext.mDesired)) {
    return;
  }
  auto next = std::make_shared<desired_state>(std::move(offered.value()));
  for (const auto& [name, service] : next->mServices) {
    mContext.Group(name).Declare(service);
  }
  Log(log_level::Info,
      "desired",
      "Desired state in force. version={} revision={} routes={} services={}",
      next->mVersion,
      aItem.mRevision,
      next->mRoutes.size(),
      next->mServices.size());
  mContext.mMetrics.mDesiredVersion.Set(static_cast<double>(next->mVersion));
  mContext.mDesired = std::move(next);
  // Instances of its services may have been listed before it.
  PushInstances();
  mContext.mDesiredKnown.Raise();
}

void
state_keeper::ApplyInstance(const store_item& aItem, bool aDeleted)
{
  const directory_codec& codec = mContext.mPorts.mDirectory;
  const std::string id = RestOf(aItem.mKey, codec.InstancePrefix());
  if (aDeleted) {
    mInstances.erase(id);
    return;
  }
  const auto entry = codec.DecodeInstance(id, aItem.mValue);
  if (!entry) {
    Log(log_level::Info,
        "directory",
        "Entry names no instance to use. key={} cause={}",
        aItem.mKey,
        entry.error().mDetail);
    mInstances.erase(id);
    return;
  }
  mInstances[id] = entry.value();
}

void
state_keeper::PushInstances()
{
  std::map<std::string, std::vector<instance_entry>> byService;
  for (const auto& [id, entry] : mInstances) {
    byService[entry.mService].push_back(entry);
  }
  for (const auto& [service, group] : mContext.mGroups) {
    byService.try_emplace(service);
  }
  for (const auto& [service, entries] : byService) {
    const bool known =
      mContext.mDesired && mContext.mDesired->mServices.count(service) > 0;
    if (known || mContext.mGroups.count(service) > 0) {
      mContext.Group(service).ApplyEntries(entries);
    }
  }
}

void
state_keeper::ReviewInstances()
{
  ApplyProxies();
  for (const auto& [service, group] : mContext.mGroups) {
    for (const auto& instance : group->Instances()) {
      if (instance->mMissingSince) {
        PushInstances();
        return;
      }
    }
  }
}

void
state_keeper::ApplyRecord(const std::string& aService, const store_item& aItem)
{
  auto record = DecodeFailoverRecord(aItem.mValue);
  if (!record) {
    Log(log_level::Warning,
        "failover",
        "Record can't be read. service={} cause={}",
        aService,
        record.error().mDetail);
    return;
  }
  record.value().mRevision = aItem.mRevision;
  upstream_group& group = mContext.Group(aService);
  const store_revision before = group.Leadership().Record().mRevision;
  group.Leadership().OnRecordChange(record.value());
  if (aItem.mRevision > before) {
    Log(log_level::Info,
        "failover",
        "Record read. service={} revision={} leader={} contested={} holder={}",
        aService,
        aItem.mRevision,
        record.value().mLeader,
        record.value().mPhase == failover_phase::InProgress,
        record.value().mHolder);
    group.WakeAll();
  }
}

void
state_keeper::ApplyProxies()
{
  const time_point oldest = mContext.Now() - kProxyMemory;
  std::erase_if(mProxies, [oldest](const auto& aProxy) {
    return !aProxy.second.mIsRegistered && aProxy.second.mSeenAt < oldest;
  });
  const auto others = mProxies.size() - mProxies.count(mContext.Name());
  const auto proxies = static_cast<std::uint32_t>(others + 1);
  if (proxies != mContext.mUpstreams.mProxies) {
    Log(log_level::Info,
        "proxies",
        "Proxies that share the connections changed. before={} now={}",
        mContext.mUpstreams.mProxies,
        proxies);
  }
  mContext.mUpstreams.mProxies = proxies;
}

void
state_keeper::RefreshLeadership()
{
  // While the store is out the groups themselves are asked instead.
  const bool isTooSoon =
    !mStoreReached &&
    mContext.Now() < mRefreshedAt + mContext.mSettings.mStoreLongPause;
  if (mRefreshing || isTooSoon) {
    return;
  }
  mRefreshedAt = mContext.Now();
  mRefreshing = true;
  mContext.mLoop.Spawn([this] {
    TakeLeadership();
    mRefreshing = false;
    for (const auto& [service, group] : mContext.mGroups) {
      group->Changed().Raise();
    }
  });
}

void
state_keeper::TakeLeadership()
{
  const bool wasHeld = mLeadershipLease.IsHeld();
  if (wasHeld && RenewLeadershipLease()) {
    return;
  }
  // A first answer is wanted now; the permit comes after it.
  if (!ReadRecords(wasHeld && mLeadershipLease.IsHeld())) {
    return;
  }
  if (!mLeadershipLease.IsHeld() && mLeadershipLease.Acquire()) {
    ReadRecords(true);
  }
}

bool
state_keeper::RenewLeadershipLease()
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
state_keeper::ReadRecords(bool aUnderLease)
{
  const time_point sentAt = mContext.Now();
  const auto listing = mContext.mPorts.mStore.List(
    std::string(store_keys::kFailover), mContext.mSettings.mStoreTimeout);
  NoteStore(bool(listing), listing ? "" : listing.error().mDetail);
  if (!listing) {
    return false;
  }
  std::set<std::string> recorded;
  for (const store_item& item : listing.value().mItems) {
    const std::string service = RestOf(item.mKey, store_keys::kFailover);
    recorded.insert(service);
    ApplyRecord(service, item);
    group_leadership& leadership = mContext.Group(service).Leadership();
    if (leadership.Record().mRevision == item.mRevision) {
      leadership.OnRecord(failover_record(leadership.Record()), sentAt);
    }
  }
  for (const auto& [service, group] : mContext.mGroups) {
    if (recorded.count(service) == 0) {
      group->Leadership().OnRecord({}, sentAt);
    }
    if (aUnderLease) {
      group->Leadership().OnReadUnderLease();
    }
  }
  return true;
}

bool
state_keeper::IsRegistered() const
{
  const auto own = mProxies.find(mContext.Name());
  return own != mProxies.end() && own->second.mIsRegistered;
}

void
state_keeper::RunRegistration()
{
  const session_settings& settings = mContext.mSettings;
  while (!mContext.mDraining) {
    bool kept = false;
    if (mRegistrationLease != 0) {
      const auto renewed =
        mContext.mPorts.mStore.RenewLease(mRegistrationLease);
      NoteStore(bool(renewed), renewed ? "" : renewed.error().mDetail);
      kept = renewed && renewed.value();
      if (renewed && !renewed.value()) {
        mRegistrationLease = 0;
      }
    }
    const bool done = (kept && IsRegistered()) || Register();
    if (done) {
      mContext.mLoop.Sleep(settings.mRegistrationRenewal);
    } else {
      mContext.AwaitStore(settings.mStoreLongPause);
    }
  }
}

bool
state_keeper::Register()
{
  const session_settings& settings = mContext.mSettings;
  coordination_store& store = mContext.mPorts.mStore;
  if (mRegistrationLease == 0) {
    const auto lease = store.GrantLease(settings.mRegistrationLifetime);
    NoteStore(bool(lease), lease ? "" : lease.error().mDetail);
    if (!lease) {
      return false;
    }
    mRegistrationLease = lease.value();
  }
  const std::string key = std::string(store_keys::kProxies) + mContext.Name();
  const auto written =
    store.PutOwn(key, "{}", mRegistrationLease, settings.mStoreTimeout);
  NoteStore(bool(written), written ? "" : written.error().mDetail);
  const bool done =
    written && written.value().mOutcome == store_write_outcome::Written;
  if (written && written.value().mOutcome == store_write_outcome::LeaseEnded) {
    mRegistrationLease = 0;
  }
  Log(log_level::Info,
      "proxies",
      "Registration written. done={} lease={}",
      done,
      mRegistrationLease);
  if (done) {
    mProxies[mContext.Name()] = { true, mContext.Now() };
  }
  return done;
}

void
state_keeper::Deregister()
{
  if (mRegistrationLease == 0) {
    return;
  }
  const auto ended = mContext.mPorts.mStore.RevokeLease(mRegistrationLease);
  if (!ended) {
    Log(log_level::Info,
        "proxies",
        "Registration could not be ended; it lapses. cause={}",
        ended.error().mDetail);
  }
  mRegistrationLease = 0;
}

} // namespace catkinloom
