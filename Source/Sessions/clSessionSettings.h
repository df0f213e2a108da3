#pragma once

#include "clClock.h"
#include "clLeadership.h"
#include "clSessionFile.h"

#include <cstdint>
#include <string>

namespace catkinloom {

/// Limits, time-outs and intervals of the session proxy.  Units are in the
/// types; docs/CONFIGURATION.md explains the values.
struct session_settings
{
  /// Maximum length of a line from a caller or an instance.
  std::size_t mMaxLineBytes = 1048576;
  /// Time-out of a TCP connect to an instance.
  milliseconds mConnectTimeout{ 250 };
  /// Time-out of the instance's response to a new connection.
  milliseconds mAcceptTimeout{ 1500 };
  /// Time-out of a rollback.
  milliseconds mRollbackTimeout{ 600 };
  /// Delay before a statement is retried after an instance reported that it was
  /// overloaded.
  milliseconds mBusyRetryDelay{ 15 };
  /// Time-out of writing a response to a caller; its connection is closed then.
  milliseconds mCallerWriteTimeout{ 5000 };
  /// Maximum time for which a new session waits for the first desired state.
  milliseconds mMaxSessionOpenWait{ 1700 };
  /// Idle time after which a connection is closed.
  milliseconds mIdleLifetime{ 2000 };
  /// The same for connections beyond the soft limit of this proxy's share.
  milliseconds mSurplusIdleLifetime{ 200 };
  /// Time for which an instance counts the connections of a process that ended
  /// without closing them.
  milliseconds mLostConnectionLifetime{ 3000 };
  /// Delay before an instance is tried again after a failed connection attempt;
  /// doubled with repeated failures.
  milliseconds mConnectRetryDelay{ 200 };
  /// Time for which a replica that lagged behind a requested log position gets
  /// no statements that need newer positions.
  milliseconds mLaggingBackoff{ 100 };
  /// Delay before a statement is retried after the leader refused it or while
  /// no leader is known.
  milliseconds mLeaderRetryDelay{ 60 };
  /// Interval between status polls of a leader that does not report itself as
  /// primary.
  milliseconds mLeaderPollInterval{ 300 };
  /// Maximum wait for evidence of leadership.
  milliseconds mMaxEvidenceWait{ 400 };
  /// Maximum wait for a leader during a failover.
  milliseconds mMaxLeaderWait{ 1000 };
  /// Time-out of a call to the store.
  milliseconds mStoreTimeout{ 400 };
  /// Maximum duration of a watch.  TCP keep-alive detects most unresponsive
  /// connections earlier.  Nothing else detects a watch that the store does not
  /// serve although its connection is open.
  milliseconds mWatchTimeout{ 10000 };
  /// The same for a watch of the directory: an instance that is leaving must
  /// get no new work within its drain time, 7 s.
  milliseconds mDirectoryWatchTimeout{ 5000 };
  /// The same for a watch of the desired state.
  milliseconds mDesiredWatchTimeout{ 1500 };
  /// Delay before a watch is continued after changes, so that changes in quick
  /// succession arrive together.
  milliseconds mWatchBatchDelay{ 100 };
  /// Interval between complete listings of the store.  A watch continues where
  /// the last one ended and reports when it can't, so that a listing finds a
  /// difference only after a fault.
  milliseconds mListInterval{ 60000 };
  /// Delay after a failed call to the store.
  milliseconds mStoreRetryDelay{ 150 };
  /// The same where an earlier retry would not serve any statement sooner.
  milliseconds mStoreSlowRetryDelay{ 600 };
  /// Lifetime of this proxy's registration without renewal.
  milliseconds mRegistrationLifetime{ 6000 };
  milliseconds mRegistrationRenewalInterval{ 2000 };
  /// Lifetime of a leadership lease in the store without renewal.
  milliseconds mLeadershipLeaseLifetime{ 10000 };
  /// Time without a directory entry after which an instance is removed.
  milliseconds mMissingEntryGrace{ 2500 };
  /// Time without a response from the leader, while requests are pending, after
  /// which it is probed.
  milliseconds mLeaderResponseTimeout{ 250 };
  /// Time without an acknowledged commit, while commits are pending, after
  /// which the leader is considered disconnected from its replicas.
  milliseconds mCommitAckTimeout{ 600 };
  /// Time-out of a command or status request to an instance.
  milliseconds mCommandTimeout{ 250 };
  /// Time-out of the first response on a connection that a possibly overloaded
  /// instance has accepted.
  milliseconds mBusyInstanceTimeout{ 1500 };
  /// Interval between checks whether a group's leader must be replaced.
  milliseconds mHealthCheckInterval{ 100 };
  /// Time after which another proxy takes over a failover attempt that has sent
  /// no promotion command.
  milliseconds mAttemptLifetime{ 1500 };
  /// Time after a proxy's last update of a failover record for which no other
  /// proxy may send a promotion command.
  milliseconds mHolderLease{ 3700 };
  /// Maximum wait for a replica to catch up with a leader that stepped down.
  milliseconds mMaxCatchUpWait{ 400 };
  /// Time-out of a promotion command to the platform.
  milliseconds mPromoteTimeout{ 500 };
  /// The platform refuses a promotion whose fencing token is older than the
  /// newest that it has seen.
  bool mFencedPromotions = true;
  /// Time after the write of a record in which the promotion command that it
  /// names may be sent.
  milliseconds mPromotionSendWindow{ 1500 };
  /// Time from the write of a record for which the promotion command that it
  /// names may still be executed if it has no response.  Used only if the
  /// platform does not check fencing tokens.
  milliseconds mUnansweredCommandLifetime{ 10000 };
  /// Maximum time for a promotion to take effect.
  milliseconds mPromotionEffectTimeout{ 2500 };
  /// Time for the load balancer to notice that this VM is draining.
  milliseconds mDrainNotice{ 2200 };
  /// Time after the start of a drain in which open transactions may end.
  milliseconds mDrainTransactionTimeout{ 3000 };
  /// Idle time after which a draining proxy ends a session between two
  /// operations.
  milliseconds mDrainIdleTime{ 500 };
  /// Time after the start of a drain in which new callers are accepted.
  milliseconds mDrainAcceptTime{ 3500 };
  /// Time after the start of a drain by which every statement has a response or
  /// an error.
  milliseconds mDrainStatementTimeout{ 5400 };
  /// Time after the start of a drain at which the process exits, even if
  /// sessions are open.
  milliseconds mDrainTimeout{ 5600 };
  leadership_settings mLeadership;
};

/// Derives settings that meet the bounds of an installation.
session_settings
SettingsFor(const installation_bounds& aBounds, bool aFencedPromotions);

} // namespace catkinloom
