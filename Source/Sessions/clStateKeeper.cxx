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
{
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
}

result<store_listing>
state_keeper::List(std::string_view aPrefix)
{
  auto listing = mContext.mPorts.mStore.List(std::string(aPrefix),
                                             mContext.mSettings.mStoreTimeout);
  NoteStore(bool(listing), listing ? "" : listing.error().mDetail);
  return listing;
}

void
state_keeper::Run()
{
  while (true) {
    if (!ListAll()) {
      mContext.mLoop.Sleep(mContext.mSettings.mStoreRetryPause);
      continue;
    }
    WatchUntilListIsDue();
  }
}

bool
state_keeper::ListAll()
{
  const directory_codec& codec = mContext.mPorts.mDirectory;
  const auto desired = List(codec.OperatorPrefix());
  if (!desired) {
    return false;
  }
  for (const store_item& item : desired.value().mItems) {
    ApplyItem(item, false);
  }
  const auto instances = List(codec.InstancePrefix());
  if (!instances) {
    return false;
  }
  const time_point sentAt = mContext.Now();
  const auto own = List(store_keys::kOwn);
  if (!own) {
    return false;
  }
  for (auto& [name, proxy] : mProxies) {
    proxy.mIsRegistered = false;
  }
  for (const store_item& item : own.value().mItems) {
    ApplyItem(item, false);
  }
  ApplyListedInstances(instances.value());
  ApplyProxies();
  // The earliest of the three readings is where the watch goes on.
  mWatchFrom = std::min(
    { desired.value().mAsOf, instances.value().mAsOf, own.value().mAsOf });
  mListedAt = sentAt;
  mListed = true;
  return true;
}

void
state_keeper::WatchUntilListIsDue()
{
  const session_settings& settings = mContext.mSettings;
  while (true) {
    const nanoseconds left =
      mListedAt + settings.mListInterval - mContext.Now();
    const auto wait = std::min<nanoseconds>(left, settings.mWatchWait);
    if (wait <= nanoseconds(0)) {
      return;
    }
    const auto changes = mContext.mPorts.mStore.Watch(
      "",
      mWatchFrom,
      std::max(std::chrono::duration_cast<milliseconds>(wait),
               milliseconds(1)));
    NoteStore(bool(changes), changes ? "" : changes.error().mDetail);
    if (!changes) {
      mContext.mLoop.Sleep(settings.mStoreRetryPause);
      return;
    }
    if (changes.value().mHistoryLost) {
      return;
    }
    for (const store_event& event : changes.value().mEvents) {
      ApplyItem(event.mItem, event.mDeleted);
    }
    mWatchFrom = std::max(mWatchFrom, changes.value().mAsOf);
    if (!changes.value().mEvents.empty()) {
      PushInstances();
    }
  }
}

void
state_keeper::ApplyItem(const store_item& aItem, bool aDeleted)
{
  const directory_codec& codec = mContext.mPorts.mDirectory;
  if (aItem.mKey == codec.DesiredStateKey() && !aDeleted) {
    ApplyDesiredState(aItem);
  } else if (IsUnder(aItem.mKey, codec.InstancePrefix())) {
    ApplyInstance(RestOf(aItem.mKey, codec.InstancePrefix()), aItem, aDeleted);
  } else if (IsUnder(aItem.mKey, store_keys::kFailover) && !aDeleted) {
    ApplyRecord(RestOf(aItem.mKey, store_keys::kFailover), aItem);
  } else if (IsUnder(aItem.mKey, store_keys::kProxies)) {
    mProxies[RestOf(aItem.mKey, store_keys::kProxies)] = { !aDeleted,
                                                           mContext.Now() };
    ApplyProxies();
  }
}

void
state_keeper::ApplyDesiredState(const store_item& aItem)
{
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
  mContext.mDesiredKnown.Raise();
}

void
state_keeper::ApplyInstance(const std::string& aId,
                            const store_item& aItem,
                            bool aDeleted)
{
  if (aDeleted) {
    mInstances.erase(aId);
    return;
  }
  const auto entry =
    mContext.mPorts.mDirectory.DecodeInstance(aId, aItem.mValue);
  if (!entry) {
    Log(log_level::Info,
        "directory",
        "Entry names no instance to use. key={} cause={}",
        aItem.mKey,
        entry.error().mDetail);
    mInstances.erase(aId);
    return;
  }
  mInstances[aId] = entry.value();
}

void
state_keeper::ApplyListedInstances(const store_listing& aListing)
{
  mInstances.clear();
  for (const store_item& item : aListing.mItems) {
    ApplyItem(item, false);
  }
  PushInstances();
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
  group.Leadership().OnRecordNews(record.value());
  if (aItem.mRevision > before) {
    Log(log_level::Info,
        "failover",
        "Record read. service={} revision={} leader={} contested={} holder={}",
        aService,
        aItem.mRevision,
        record.value().mLeader,
        record.value().mPhase == failover_phase::Contested,
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
  if (mRefreshing) {
    return;
  }
  mRefreshing = true;
  mContext.mLoop.Spawn([this] {
    TakeLeadership();
    mRefreshing = false;
  });
}

void
state_keeper::TakeLeadership()
{
  const time_point sentAt = mContext.Now();
  const auto listing = List(store_keys::kFailover);
  if (!listing) {
    return;
  }
  std::set<std::string> recorded;
  for (const store_item& item : listing.value().mItems) {
    const std::string service = RestOf(item.mKey, store_keys::kFailover);
    recorded.insert(service);
    ApplyRecord(service, item);
    auto record = DecodeFailoverRecord(item.mValue);
    if (record) {
      record.value().mRevision = item.mRevision;
      mContext.Group(service).Leadership().OnRecord(record.value(), sentAt);
    }
  }
  for (const auto& [service, group] : mContext.mGroups) {
    if (recorded.count(service) == 0) {
      group->Leadership().OnRecord({}, sentAt);
    }
    group->Changed().Raise();
  }
}

void
state_keeper::RunRegistration()
{
  const session_settings& settings = mContext.mSettings;
  coordination_store& store = mContext.mPorts.mStore;
  const std::string key = std::string(store_keys::kProxies) + mContext.Name();
  while (!mContext.mDraining) {
    if (mLease != 0) {
      const auto kept = store.KeepLease(mLease);
      NoteStore(bool(kept), kept ? "" : kept.error().mDetail);
      const auto own = mProxies.find(mContext.Name());
      const bool registered =
        own != mProxies.end() && own->second.mIsRegistered;
      if (kept && kept.value() && registered) {
        mContext.mLoop.Sleep(settings.mRegistrationRenewal);
        continue;
      }
      if (kept && !kept.value()) {
        mLease = 0;
      }
    }
    if (mLease == 0) {
      const auto lease = store.OpenLease(settings.mRegistrationLifetime);
      NoteStore(bool(lease), lease ? "" : lease.error().mDetail);
      mLease = lease ? lease.value() : 0;
    }
    if (mLease != 0) {
      const auto listing = List(key);
      const bool exists = listing && !listing.value().mItems.empty();
      const store_revision revision =
        exists ? listing.value().mItems.front().mRevision : 0;
      const auto written =
        store.Put(key, "{}", revision, mLease, settings.mStoreTimeout);
      const bool done =
        written && written.value().mEnd == store_write_end::Written;
      Log(log_level::Info,
          "proxies",
          "Registration written. done={} lease={}",
          done,
          mLease);
      if (done) {
        mProxies[mContext.Name()] = { true, mContext.Now() };
        mContext.mLoop.Sleep(settings.mRegistrationRenewal);
        continue;
      }
    }
    mContext.mLoop.Sleep(settings.mStoreRetryPause * 2);
  }
}

void
state_keeper::Leave()
{
  if (mLease == 0) {
    return;
  }
  const auto ended = mContext.mPorts.mStore.EndLease(mLease);
  if (!ended) {
    Log(log_level::Info,
        "proxies",
        "Registration could not be ended; it lapses. cause={}",
        ended.error().mDetail);
  }
  mLease = 0;
}

} // namespace catkinloom
