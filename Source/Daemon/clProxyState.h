#pragma once

#include "clCallerClassTable.h"
#include "clDaemonMetrics.h"
#include "clDaemonSettings.h"
#include "clEventLoop.h"
#include "clFiberSignal.h"
#include "clGroupTable.h"
#include "clManifest.h"
#include "clPromotionSystem.h"
#include "clRequestTable.h"
#include "clRetryBudget.h"
#include "clRouter.h"

#include <memory>
#include <string>
#include <vector>

namespace catkinloom {

/// State shared by the daemon's adapters. Not thread-safe: only the event
/// loop's thread may use it.
struct proxy_state
{
  proxy_state(event_loop& aLoop,
              daemon_settings aSettings,
              std::string aIdentity);

  time_point Now() const { return mLoop.Clock().Now(); }

  /// Returns an id for a request to an instance; no other request of this proxy
  /// has it.
  std::string NextRequestId();

  /// Returns the signal that fibers use to wait for a change of a group's
  /// state.
  fiber_signal& SignalOf(group_row_number aGroup);

  event_loop& mLoop;
  daemon_settings mSettings;
  /// Identifies this run of the process; differs after a restart.
  std::string mIdentity;
  /// Active manifest. The tables below contain what it declares; mGroups only
  /// the groups that are placed on this proxy.
  manifest mManifest;
  /// Version of mManifest; 0 until a manifest is active.
  std::uint64_t mManifestVersion = 0;
  group_table mGroups;
  request_table mRequests;
  caller_class_table mCallers;
  router mRouter;
  promotion_system mPromotion;
  retry_budget mRetryBudget;
  daemon_metrics mMetrics;
  bool mDraining = false;

private:
  std::uint64_t mLastRequestNumber = 0;
  std::vector<std::unique_ptr<fiber_signal>> mSignals;
};

} // namespace catkinloom
