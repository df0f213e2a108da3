#pragma once

#include "clCoordinationStore.h"
#include "clDesiredState.h"
#include "clDirectoryCodec.h"
#include "clPromotionPort.h"
#include "clSessionMetrics.h"
#include "clUpstreamGroup.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace catkinloom {

/// Adapters of a proxy to external systems.
struct session_ports
{
  const statement_codec& mStatements;
  const directory_codec& mDirectory;
  coordination_store& mStore;
  promotion_port& mPromotions;
};

/// State shared by the components of one proxy process.
struct session_context
{
  session_context(event_loop& aLoop,
                  session_ports aPorts,
                  session_settings aSettings,
                  std::string aName,
                  std::string aZone)
    : mLoop(aLoop)
    , mPorts(aPorts)
    , mSettings(aSettings)
    , mUpstreams{ aLoop,    aPorts.mStatements, mSettings,
                  mMetrics, std::move(aName),   std::move(aZone),
                  1,        aLoop.Clock().Now() }
    , mDesiredKnown(aLoop)
    , mStoreReached(aLoop)
  {
  }

  time_point Now() const { return mLoop.Clock().Now(); }
  const std::string& Name() const { return mUpstreams.mProxy; }

  /// The group of a service; created on first use.
  upstream_group& Group(const std::string& aService)
  {
    auto& group = mGroups[aService];
    if (!group) {
      group = std::make_unique<upstream_group>(mUpstreams, aService);
    }
    return *group;
  }

  /// Suspends the calling fiber after a failed call to the store until another
  /// call succeeds, for at most aMaxWait.  While other calls succeed, it
  /// suspends for the retry delay.
  void AwaitStore(nanoseconds aMaxWait)
  {
    if (mStoreReachedSince) {
      mLoop.Sleep(std::min<nanoseconds>(aMaxWait, mSettings.mStoreRetryDelay));
      return;
    }
    mStoreReached.WaitUntil(Now() + aMaxWait);
  }

  event_loop& mLoop;
  session_ports mPorts;
  const session_settings mSettings;
  session_metrics mMetrics;
  upstream_environment mUpstreams;
  /// Desired state in force; null until the first one is known.
  std::shared_ptr<const desired_state> mDesired;
  /// Notified when the first desired state is known.
  fiber_signal mDesiredKnown;
  std::map<std::string, std::unique_ptr<upstream_group>> mGroups;
  /// Calls cluster_state_monitor::RefreshLeadership.
  std::function<void()> mRefreshLeadership;
  /// Time since which all calls to the store have succeeded; empty while the
  /// store is unavailable.
  std::optional<time_point> mStoreReachedSince;
  /// Time of the last complete listing of the directory; empty if there was
  /// none.
  std::optional<time_point> mDirectoryListedAt;
  /// The keys of the proxies were listed completely, the membership records
  /// among them.
  bool mAreRecordsListed = false;
  /// Notified when the store responds again.
  fiber_signal mStoreReached;
  bool mDraining = false;
  /// While this proxy drains: when it ends idle transactions and begins no more
  /// of them.
  std::optional<time_point> mTransactionsEndAt;
};

} // namespace catkinloom
