#pragma once

#include "clConcurrencyLimit.h"
#include "clConnectionShare.h"
#include "clDesiredState.h"
#include "clEventLoop.h"
#include "clFiberSignal.h"
#include "clInstanceSelector.h"
#include "clLeadership.h"
#include "clMembershipRecord.h"
#include "clPrimaryHealth.h"
#include "clSessionMetrics.h"
#include "clStatementConnection.h"
#include "clStatementQueue.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinloom {

/// One upstream instance and this proxy's connections to it.
struct upstream_instance
{
  instance_entry mEntry;
  /// Time since which the directory has had no entry for it.
  std::optional<time_point> mMissingSince;
  /// Removed from the group; its connections are closed when released.
  bool mRemoved = false;
  /// Time since which this incarnation is known to have ended, so that it has
  /// confirmed no commit: nothing listens at its address, or another instance
  /// does.
  std::optional<time_point> mEndedSince;
  std::vector<std::unique_ptr<statement_connection>> mIdle;
  /// Connections of this proxy: idle, in use and being opened.
  std::uint32_t mConnectionCount = 0;
  /// Connections acquired by a statement or transaction, or being opened for
  /// one.
  std::uint32_t mInFlight = 0;
  /// Statements waiting for a response, including connections being opened.
  std::uint32_t mExecuting = 0;
  concurrency_limit mLimit;
  log_position mPosition;
  /// Last known end of its log in an earlier incarnation.
  log_position mPreviousLogEnd;
  /// Highest term in its status responses.
  term_number mTerm = 0;
  /// It reports itself as primary, in the directory or in a status response.
  bool mReportsPrimary = false;
  /// Since when it has reported this role.
  time_point mRoleSince;
  /// It has reported itself as primary, in this incarnation or an earlier one.
  bool mHasLed = false;
  /// It did not respond to a new connection; not selected before this time.
  time_point mAvoidedUntil;
  /// Failed connection attempts since its last response.
  std::uint32_t mConnectFailures = 0;
  /// Connections that are being opened.
  std::uint32_t mOpening = 0;
  time_point mLastAnsweredAt;
  /// It is at its connection limit or too busy to accept; no connection is
  /// opened before this time.
  time_point mOpenBlockedUntil;
  /// It lagged behind a requested log position; not selected for newer
  /// positions before this time.
  time_point mLaggingUntil;
  /// Smoothed response time.
  nanoseconds mResponseTime{ 0 };
  primary_health mHealth;
  /// It has sent a response again; until this time a connection on which it
  /// refused a statement is not used again.
  time_point mRepeatsUntil;
};

/// A connection acquired by one statement or transaction.
struct acquired_connection
{
  std::shared_ptr<upstream_instance> mInstance;
  std::unique_ptr<statement_connection> mConnection;

  explicit operator bool() const { return mConnection != nullptr; }
};

/// Requirements of a statement for the connection that it acquires.
struct connection_request
{
  const session_state* mSession = nullptr;
  instance_requirements mRequirements;
  /// 0 is the highest priority.
  std::uint32_t mPriority = 0;
  time_point mReceivedAt;
  /// A connection acquired by this time still meets the target latency.
  time_point mTargetDeadline;
  time_point mDeadline;
  /// Leader confirmed by evidence; no other leader may serve the statement.
  /// Empty if the statement needs no evidence.
  std::string mProvenLeader;
  /// Wait for a leader that does not respond: it is being replaced, or responds
  /// again.  False if this proxy can't learn of a new leader.
  bool mMayAwaitLeader = true;
};

/// What a response tells about the instance.
enum class exchange_kind
{
  /// The response takes no slot, so its time does not reflect the load.
  Preparation,
  /// The response time reflects the load of the instance.
  Access,
  /// The response time includes the wait for a replica.
  Commit,
};

/// State shared by all groups of one proxy.
struct upstream_environment
{
  event_loop& mLoop;
  const statement_codec& mCodec;
  const session_settings& mSettings;
  session_metrics& mMetrics;
  std::string mProxy;
  std::string mZone;
  /// Number of proxies that share the instances' connections, this one
  /// included.
  std::uint32_t mProxies = 1;
  /// When this proxy started.
  time_point mStartedAt;
  /// Time by which every statement has a response or an error, since the
  /// process ends soon after; empty while it does not drain.
  std::optional<time_point> mStatementsEndAt{};

  /// The earlier one of a statement's deadline and mStatementsEndAt.
  time_point LimitDeadline(time_point aDeadline) const
  {
    return std::min(aDeadline, mStatementsEndAt.value_or(aDeadline));
  }
};

/// One database group: its instances, its leader and the statements that wait
/// for a connection.
class upstream_group
{
public:
  upstream_group(upstream_environment& aEnvironment, std::string aService);

  const std::string& Service() const { return mService; }
  void SetDeclared(const declared_service& aDeclared) { mDeclared = aDeclared; }
  const declared_service& Declared() const { return mDeclared; }

  /// Replaces the directory entries of this service.  An instance whose entry
  /// is missing is removed after mMissingEntryGrace.
  void ApplyEntries(const std::vector<instance_entry>& aEntries);

  /// Adopts the store's record of the members.  A recorded member that this
  /// proxy has never seen counts as an instance whose entry is missing, so that
  /// it is either found or lost; one that another proxy dropped is no longer
  /// awaited.
  void ApplyMembership(const membership_record& aRecord);

  /// The newest known membership record.
  const membership_record& Membership() const { return mMembership; }

  /// The group as this proxy knows it, for NextMembership.
  group_observation Observe() const;

  /// An instance is lost, in the incarnation of aEntry; see
  /// group_leadership::OnMemberLost.
  void RecordLoss(const instance_entry& aEntry, time_point aMoment);

  /// Lost members whose commits no known position covers.
  std::vector<instance_entry> UncoveredLosses() const;

  /// Acquires a connection to an instance that meets the requirements.  Errors,
  /// all before anything is sent: Overloaded, NoCurrentPrimary, and
  /// LeaderChanged if the leader is not the one confirmed by evidence.
  result<acquired_connection> AcquireConnection(
    const connection_request& aRequest);

  /// Returns a connection to the pool; a closed one no longer counts towards
  /// the instance's limit.
  void ReleaseConnection(acquired_connection aAcquired);

  /// Sends a batch over an acquired connection and updates the instance's state
  /// from the response; see statement_connection::Exchange.
  statement_reply Exchange(acquired_connection& aAcquired,
                           const statement_batch& aBatch,
                           nanoseconds aTimeout,
                           exchange_kind aKind);

  /// True if the instance responds to a new connection, even with a refusal.
  /// Existing connections are no test: a single one may be unresponsive while
  /// the instance is running.
  bool RespondsToNewConnection(upstream_instance& aInstance);

  /// Sends a command to an instance.  Errors: UpstreamUnreachable,
  /// UpstreamRefused, and BadRequest if its status can't be decoded.
  result<instance_status> SendCommand(upstream_instance& aInstance,
                                      instance_command aCommand,
                                      term_number aTerm);

  /// Sends a command to several instances concurrently; the results are in the
  /// order of aInstances.
  std::vector<result<instance_status>> SendToEach(
    const std::vector<std::shared_ptr<upstream_instance>>& aInstances,
    const std::function<instance_command(const upstream_instance&)>& aCommand,
    term_number aTerm);

  /// Requests the status of every instance and determines the leader and the
  /// evidence for it from the responses.  Does nothing while another poll of
  /// the group is in progress.
  void PollGroup();

  std::shared_ptr<upstream_instance> Find(const std::string& aId) const;
  std::shared_ptr<upstream_instance> Leader() const;
  /// The current instances.  Returns a copy because the directory may change
  /// while the calling fiber is suspended.
  std::vector<std::shared_ptr<upstream_instance>> Instances() const
  {
    return mInstances;
  }

  /// True if the instances were known for at least mMissingEntryGrace before
  /// aMoment and each has a directory entry, so that no entry is missing
  /// because of a store outage.
  bool IsCompleteSince(time_point aMoment) const;

  /// Bit of the instance in instance_requirements::mExcluded; 0 if it is
  /// unknown.
  std::uint32_t ExclusionBit(const upstream_instance& aInstance) const;

  group_leadership& Leadership() { return mLeadership; }
  /// Last known address of the leader; empty if it was never listed.
  std::string LeaderAddress() const;

  /// Notified when instances, leadership or evidence change.
  fiber_signal& Changed() { return mChanged; }
  /// Notifies all fibers that wait for a connection or for Changed().
  void NotifyAll();

  void CloseAllIdle();

  /// Closes the connections on which a statement waits for its response, so
  /// that the statement ends without one.
  void BreakOffExchanges();

  /// Closes connections that were idle for longer than their lifetime.
  void CloseExpiredIdle();

private:
  /// Adopts the role that an instance reports.
  void RecordRole(upstream_instance& aInstance, bool aLeads);
  void MarkRemoved(upstream_instance& aInstance);
  /// Adds the recorded members that this proxy has never seen as instances
  /// whose entry is missing.
  void RestoreMembers();
  void SortInstances();
  /// Removes what aDropped contains from the missing instances and the losses.
  void ForgetMembers(const std::vector<instance_entry>& aDropped);
  /// Finds out whether an instance whose directory entry is missing has ended.
  void ProbeMissing(std::shared_ptr<upstream_instance> aInstance);
  /// Updates mEndedSince from the response to an opened connection.
  void RecordOpenReply(upstream_instance& aInstance,
                       const statement_reply& aReply);
  bool HasLostEvidence(const connection_request& aRequest) const
  {
    return !aRequest.mProvenLeader.empty() &&
           aRequest.mProvenLeader != mLeadership.Leader();
  }
  /// True if requests to the leader have been without response for
  /// mLeaderResponseTimeout.
  bool IsLeaderSilent() const;
  /// Removes an idle connection from the pool for a command; null if none can
  /// be used.
  std::unique_ptr<statement_connection> TakeReusable(
    upstream_instance& aInstance);
  /// Opens a connection outside the pool for a command; null on failure.
  std::unique_ptr<statement_connection> OpenCommandConnection(
    upstream_instance& aInstance);
  /// aUpToHardLimit: also allows connections that are reserved for restarting
  /// proxies.
  std::vector<instance_candidate> Candidates(bool aUpToHardLimit) const;
  instance_selection Select(const instance_requirements& aRequirements,
                            time_point aNow) const;
  connection_share Share() const;
  /// Closes the expired idle connections of one instance; true if it still has
  /// idle connections beyond the soft limit.
  bool CloseExpiredIdleOf(upstream_instance& aInstance);
  /// Starts a fiber that closes connections beyond the soft limit after
  /// mSurplusIdleLifetime.
  void ScheduleIdleCleanup();
  /// Removes the idle connection that needs the least preparation from the
  /// pool; null if there is none.
  std::unique_ptr<statement_connection> AcquireIdle(
    upstream_instance& aInstance,
    const session_state& aSession);
  /// Opens a connection in a separate fiber for the first statement in the
  /// queue, so that a slow connection attempt does not delay statements that
  /// another connection could serve.
  void StartOpening(std::shared_ptr<upstream_instance> aInstance);
  void OpenConnection(const std::shared_ptr<upstream_instance>& aInstance);
  /// Records a failed connection attempt and when the next one is allowed.
  void RecordOpenFailure(upstream_instance& aInstance,
                         const statement_reply& aReply);
  void RecordAnswered(upstream_instance& aInstance);
  /// Requests the status of the leader, since its directory entry does not
  /// necessarily change when it becomes primary again.  One poll at a time.
  void PollLeader();
  /// Notifies the next waiting statement that may use the instance.
  void NotifyNext(const upstream_instance& aInstance);
  void RecordReply(upstream_instance& aInstance,
                   const statement_reply& aReply,
                   bool aIsCommit);
  /// True if a connection may be used for another statement.  An error on it
  /// must be a promise, so an instance that repeats its responses may send only
  /// one on each connection.
  bool IsTrusted(const upstream_instance& aInstance,
                 const statement_connection& aConnection) const;
  /// Counts and logs received responses that belong to no outstanding
  /// statement.
  void RecordForeign(upstream_instance& aInstance,
                     const statement_reply& aReply);
  time_point Now() const { return mEnvironment.mLoop.Clock().Now(); }

  upstream_environment& mEnvironment;
  std::string mService;
  declared_service mDeclared;
  std::vector<std::shared_ptr<upstream_instance>> mInstances;
  group_leadership mLeadership;
  membership_record mMembership;
  /// Incarnations that this proxy has counted as instances of the group; those
  /// that are neither recorded nor instances are dropped.
  std::vector<instance_entry> mSeenMembers;
  /// Lost members; see UncoveredLosses.
  std::vector<instance_entry> mLosses;
  fiber_signal mChanged;
  statement_queue mWaiting;
  /// When the first directory entries were received; empty before.
  std::optional<time_point> mKnownSince;
  /// Address of the latest leader that the directory no longer lists.
  std::string mRemovedLeaderAddress;
  /// Connections on which a statement waits for its response.
  std::vector<statement_connection*> mExchanging;
  bool mIsPollingGroup = false;
  bool mIsIdleCleanupScheduled = false;
  bool mIsPollingLeader = false;
  /// Earliest time of the next poll of the leader.
  time_point mNextLeaderPollAt;
};

} // namespace catkinloom
