#pragma once

#include "clClock.h"
#include "clLeadership.h"
#include "clSessionFile.h"

#include <cstdint>
#include <string>

namespace catkinloom {

/// Limits and pace of session serving.  Units are in the types;
/// docs/CONFIGURATION.md says where the figures come from.
struct session_settings
{
  /// Longest line of a caller or an instance.
  std::size_t mMaxLineBytes = 1048576;
  /// Time to connect to an instance.
  milliseconds mConnectTimeout{ 250 };
  /// Time to be accepted by an instance.
  milliseconds mAcceptTimeout{ 1500 };
  /// Time for an instance to roll a transaction back.
  milliseconds mRollbackTimeout{ 600 };
  /// Pause before a statement is offered again to an instance that had too much
  /// work.
  milliseconds mBusyRetryDelay{ 15 };
  /// Time for a caller to take its answer before it is given up.
  milliseconds mCallerWriteTimeout{ 5000 };
  /// Longest wait of an opening session for the first desired state.
  milliseconds mMaxSessionOpenWait{ 1700 };
  /// Time after which an idle connection is looked at before it is used.
  milliseconds mIdleCheckAge{ 1000 };
  /// Time after which a connection that nothing used is closed.
  milliseconds mIdleLifetime{ 2000 };
  /// The same for connections beyond the usual share of an instance's limit.
  milliseconds mSurplusIdleLifetime{ 200 };
  /// Pause before an instance that refused a connection is tried again.
  milliseconds mConnectRetryDelay{ 200 };
  /// Time for which a replica that lacked a position is not asked for newer
  /// ones.
  milliseconds mLaggingBackoff{ 100 };
  /// Pause before the leader is asked again after it refused to lead.
  milliseconds mLeaderRetryDelay{ 60 };
  /// Pause before an instance that should lead is asked again whether it does.
  milliseconds mLeaderPollInterval{ 300 };
  /// Longest wait for evidence of leadership.
  milliseconds mMaxEvidenceWait{ 400 };
  /// Longest wait for a leader while one is being replaced.
  milliseconds mMaxLeaderWait{ 1000 };
  /// Time for the store to answer a call.
  milliseconds mStoreTimeout{ 400 };
  /// Longest wait of a watch.  A connection that has gone silent is noticed by
  /// its keep-alive probes.
  milliseconds mWatchTimeout{ 10000 };
  /// Pause of a watch after changes, so that those of a moment in which much
  /// changes come together.
  milliseconds mWatchBatchDelay{ 100 };
  /// Pause between two complete readings of the store.  A watch goes on where
  /// the last one ended and says when it can't, so that this finds only what
  /// should not happen.
  milliseconds mListInterval{ 60000 };
  /// Pause after a failed call to the store.
  milliseconds mStoreRetryDelay{ 150 };
  /// The same where nothing is served sooner by asking again.
  milliseconds mStoreSlowRetryDelay{ 600 };
  /// Life of this proxy's registration without renewal.
  milliseconds mRegistrationLifetime{ 6000 };
  milliseconds mRegistrationRenewalInterval{ 2000 };
  /// Life of a permit's lease without renewal.
  milliseconds mLeadershipLeaseLifetime{ 10000 };
  /// Age of an instance's missing entry after which it counts as gone.
  milliseconds mMissingEntryGrace{ 2500 };
  /// Silence of the leader under load after which it is probed.
  milliseconds mLeaderResponseTimeout{ 250 };
  /// Time without an acknowledged commit, while commits wait, after which the
  /// leader counts as cut off from its replicas.
  milliseconds mCommitAckTimeout{ 600 };
  /// Time for an instance to answer an order or a question.
  milliseconds mCommandTimeout{ 250 };
  /// Time for an instance that has accepted a connection to answer on it.
  milliseconds mBusyInstanceTimeout{ 1500 };
  /// Pace at which the leaders' silence is looked at.
  milliseconds mHealthCheckInterval{ 100 };
  /// Time after which another proxy takes an attempt over that has ordered no
  /// promotion yet.
  milliseconds mAttemptLifetime{ 1500 };
  /// Time since a proxy's last word on a failover in which no other proxy may
  /// order one.
  milliseconds mHolderLease{ 3700 };
  /// Wait for a replica to be level with a leader that stepped down.
  milliseconds mMaxCatchUpWait{ 400 };
  /// Time for the platform to answer a promotion order.
  milliseconds mPromoteTimeout{ 500 };
  /// The platform refuses a promotion whose token is older than another's.
  bool mFencedPromotions = true;
  /// Time for which a promotion that got no answer may still be carried out;
  /// it counts only where the platform does not check tokens.
  milliseconds mUnansweredCommandLifetime{ 10000 };
  /// Longest time for a promotion to take effect.
  milliseconds mPromotionEffectTimeout{ 2500 };
  /// Time in which the balancer takes note that this VM leaves.
  milliseconds mDrainNotice{ 2200 };
  /// Time in which an open transaction may end after a drain began.
  milliseconds mDrainTransactionTimeout{ 3000 };
  /// Quiet time after which a draining proxy ends a session between two
  /// operations.
  milliseconds mDrainIdleTime{ 500 };
  /// Time after which no caller is accepted any more.
  milliseconds mDrainAcceptTime{ 3500 };
  /// Time after which the process ends, finished or not.
  milliseconds mDrainTimeout{ 5600 };
  leadership_settings mLeadership;
};

/// Settings that keep the bounds of an installation.
session_settings
SettingsFor(const installation_bounds& aBounds, bool aFencedPromotions);

} // namespace catkinloom
