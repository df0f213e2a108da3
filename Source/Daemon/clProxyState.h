#pragma once

#include "clCallerTable.h"
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

/// Everything that the daemon's adapters share.  One thread uses it.
struct proxy_state
{
  proxy_state(event_loop& aLoop,
              daemon_settings aSettings,
              std::string aIdentity);

  time_point Now() const { return mLoop.Clock().Now(); }

  /// Fibers that wait for news about a group.
  fiber_signal& SignalOf(group_row_number aGroup);

  event_loop& mLoop;
  daemon_settings mSettings;
  /// Names this process start; a restarted daemon has another one.
  std::string mIdentity;
  manifest mManifest;
  std::uint64_t mManifestVersion = 0;
  group_table mGroups;
  request_table mRequests;
  caller_table mCallers;
  router mRouter;
  promotion_system mPromotion;
  retry_budget mRetryBudget;
  daemon_metrics mMetrics;
  bool mDraining = false;

private:
  std::vector<std::unique_ptr<fiber_signal>> mSignals;
};

} // namespace catkinloom
