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

/// The adapters through which a proxy meets the outside.
struct session_ports
{
  const statement_codec& mStatements;
  const directory_codec& mDirectory;
  coordination_store& mStore;
  promotion_port& mPromotions;
};

/// What the parts of one proxy process share.
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
                  1 }
    , mDesiredKnown(aLoop)
    , mStoreReached(aLoop)
  {
  }

  time_point Now() const { return mLoop.Clock().Now(); }
  const std::string& Name() const { return mUpstreams.mProxy; }

  /// The group of a service; made when it is first asked for.
  upstream_group& Group(const std::string& aService)
  {
    auto& group = mGroups[aService];
    if (!group) {
      group = std::make_unique<upstream_group>(mUpstreams, aService);
    }
    return *group;
  }

  /// Suspends the calling fiber after a failed call to the store: until another
  /// call was answered, and aMaxWait at most.
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
  /// In force; null until the first one is known.
  std::shared_ptr<const desired_state> mDesired;
  /// Raised when the first desired state is known.
  fiber_signal mDesiredKnown;
  std::map<std::string, std::unique_ptr<upstream_group>> mGroups;
  /// Asks the store anew who leads; set by the store's keeper.
  std::function<void()> mRefreshLeadership;
  /// Since when the store has answered without a break; empty while it does
  /// not.
  std::optional<time_point> mStoreReachedSince;
  /// When the directory was last read as a whole; empty if it never was.
  std::optional<time_point> mDirectoryListedAt;
  /// Raised when the store answers again.
  fiber_signal mStoreReached;
  bool mDraining = false;
};

} // namespace catkinloom
