#pragma once

#include "clConcurrencyLimit.h"
#include "clConnectionShare.h"
#include "clDesiredState.h"
#include "clEventLoop.h"
#include "clFiberSignal.h"
#include "clInstanceSelector.h"
#include "clLeadership.h"
#include "clPrimaryHealth.h"
#include "clSessionMetrics.h"
#include "clStatementConnection.h"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinloom {

/// One upstream instance and this proxy's connections to it.
struct upstream_instance
{
  instance_entry mEntry;
  /// The directory no longer names it.
  std::optional<time_point> mMissingSince;
  /// It has left for good; its connections are closed as they come back.
  bool mRemoved = false;
  std::vector<std::unique_ptr<statement_connection>> mIdle;
  /// Connections of this proxy: idle, used, and being opened.
  std::uint32_t mConnectionCount = 0;
  /// Connections lent to a statement or transaction, or being opened for one.
  std::uint32_t mInFlight = 0;
  /// Statements that wait for its answer, connections being opened included.
  std::uint32_t mExecuting = 0;
  concurrency_limit mLimit;
  log_position mPosition;
  /// End of its log in a former life, as far as it was known.
  log_position mPreviousLogEnd;
  /// Newest term that it told when asked about itself.
  term_number mTerm = 0;
  /// It said that it leads, in the directory or in an answer.
  bool mReportsPrimary = false;
  /// It did not answer a new connection; it is not tried until then.
  time_point mAvoidedUntil;
  /// Connections that failed since it last answered.
  std::uint32_t mConnectFailures = 0;
  /// Connections that are being opened.
  std::uint32_t mOpening = 0;
  time_point mLastAnsweredAt;
  /// It has too many connections; none is opened until then.
  time_point mOpenBlockedUntil;
  time_point mLaggingUntil;
  nanoseconds mAnswerTime{ 0 };
  primary_health mHealth;
};

/// A connection lent to one statement or transaction.
struct acquired_connection
{
  std::shared_ptr<upstream_instance> mInstance;
  std::unique_ptr<statement_connection> mConnection;

  explicit operator bool() const { return mConnection != nullptr; }
};

/// What a statement needs of the connection that it is lent.
struct connection_request
{
  const session_state* mSession = nullptr;
  placement_requirements mNeed;
  /// 0 goes first.
  std::uint32_t mPriority = 0;
  time_point mReceivedAt;
  /// If it is lent a connection by then, its answer is in time for the caller.
  time_point mTargetDeadline;
  time_point mDeadline;
  /// The leader that evidence names; another one must not serve.  Empty when
  /// the statement needs no evidence.
  std::string mProvenLeader;
};

/// What all groups of one proxy share.
struct upstream_environment
{
  event_loop& mLoop;
  const statement_codec& mCodec;
  const session_settings& mSettings;
  session_metrics& mMetrics;
  std::string mProxy;
  std::string mZone;
  /// Proxies that share the instances' connections, this one included.
  std::uint32_t mProxies = 1;
};

/// One database group as this proxy uses it: its instances, who leads them,
/// and the statements that wait for a connection.
class upstream_group
{
public:
  upstream_group(upstream_environment& aEnvironment, std::string aService);

  const std::string& Service() const { return mService; }
  void SetDeclared(const declared_service& aDeclared) { mDeclared = aDeclared; }
  const declared_service& Declared() const { return mDeclared; }

  /// Takes the directory's present entries of this service.
  void ApplyEntries(const std::vector<instance_entry>& aEntries);

  /// Lends a connection to an instance that meets the need.  Errors, all
  /// before anything was sent: Overloaded, NoCurrentPrimary, and LeaderChanged
  /// when another instance leads than evidence named.
  result<acquired_connection> AcquireConnection(
    const connection_request& aRequest);

  /// Takes a connection back; a closed one frees its place.
  void ReleaseConnection(acquired_connection aAcquired);

  /// Sends a statement over a lent connection, and records what its answer
  /// tells about the instance.
  statement_reply Exchange(acquired_connection& aAcquired,
                           std::string_view aBytes,
                           nanoseconds aTimeout,
                           bool aIsCommit);

  /// True when the instance answers a new connection, be it with a refusal.
  /// Open connections prove nothing: they may have gone silent alone.
  bool RespondsToNewConnection(const upstream_instance& aInstance);

  /// Sends an order to an instance.  Errors: UpstreamUnreachable.
  result<instance_status> SendCommand(upstream_instance& aInstance,
                                      instance_command aCommand,
                                      term_number aTerm);

  /// Sends an order to several instances at the same time; the answers stand
  /// in the instances' order.
  std::vector<result<instance_status>> SendToEach(
    const std::vector<std::shared_ptr<upstream_instance>>& aInstances,
    const std::function<instance_command(const upstream_instance&)>& aCommand,
    term_number aTerm);

  /// Asks every instance about itself, and takes from the answers who leads
  /// and evidence for it.  One such question is under way at a time.
  void PollGroup();

  std::shared_ptr<upstream_instance> Find(const std::string& aId) const;
  std::shared_ptr<upstream_instance> Leader() const;
  /// The present instances, as a copy: the directory may change whenever the
  /// calling fiber is suspended.
  std::vector<std::shared_ptr<upstream_instance>> Instances() const
  {
    return mInstances;
  }

  /// The instances are known since long before aMoment, and each of them is in
  /// the directory: no entry lapsed with the store.
  bool IsCompleteSince(time_point aMoment) const;

  /// Number by which a placement names the instance.
  std::uint32_t PlacementBit(const upstream_instance& aInstance) const;

  group_leadership& Leadership() { return mLeadership; }

  /// Raised when instances, leadership or evidence change.
  fiber_signal& Changed() { return mChanged; }
  /// Wakes what waits for a connection or for news.
  void NotifyAll();

  void CloseAllIdle();

  /// Closes connections that nothing has used for a while.
  void CloseExpiredIdle();

private:
  struct queued_request
  {
    const connection_request* mRequest = nullptr;
    fiber_wait* mWait = nullptr;
    /// It was woken and has not run yet.
    bool mIsNotified = false;
  };

  void MarkRemoved(upstream_instance& aInstance);
  bool HasLostEvidence(const connection_request& aRequest) const
  {
    return !aRequest.mProvenLeader.empty() &&
           aRequest.mProvenLeader != mLeadership.Leader();
  }
  /// Opens a connection apart from the pool, for an order.
  std::unique_ptr<statement_connection> OpenCommandConnection(
    const upstream_instance& aInstance);
  /// aUpToHardLimit: connections kept for returning proxies may be opened too.
  std::vector<instance_candidate> Candidates(bool aUpToHardLimit) const;
  placement Select(const placement_requirements& aNeed, time_point aNow) const;
  connection_share Share() const
  {
    return ShareOf(mDeclared.mMaxConnections, mEnvironment.mProxies);
  }
  /// Closes the spares of one instance; true when others may become spare soon.
  bool CloseExpiredIdleOf(upstream_instance& aInstance);
  /// Closes connections beyond the usual share once they were idle for long
  /// enough.
  void ScheduleIdleCleanup();
  std::unique_ptr<statement_connection> AcquireIdle(
    upstream_instance& aInstance,
    const session_state& aSession);
  /// Opens a connection in a fiber of its own, for whoever waits first: a slow
  /// opening holds up no statement that another connection could serve.
  void StartOpening(std::shared_ptr<upstream_instance> aInstance);
  void OpenConnection(const std::shared_ptr<upstream_instance>& aInstance);
  /// A connection could not be opened: learns why, and when to try again.
  void RecordOpenFailure(upstream_instance& aInstance,
                         const statement_reply& aReply);
  void RecordAnswered(upstream_instance& aInstance);
  /// Asks the instance that should lead whether it does, since its entry need
  /// not change when it leads again; one question at a time.
  void PollLeader();
  void WaitInQueue(const connection_request& aRequest, time_point aUntil);
  /// Wakes the statement that may use the instance and has most to gain: one
  /// that can still be in time goes before one that is late.
  void NotifyNext(const upstream_instance& aInstance);
  void RecordReply(upstream_instance& aInstance,
                   const statement_reply& aReply,
                   bool aIsCommit);
  time_point Now() const { return mEnvironment.mLoop.Clock().Now(); }

  upstream_environment& mEnvironment;
  std::string mService;
  declared_service mDeclared;
  std::vector<std::shared_ptr<upstream_instance>> mInstances;
  group_leadership mLeadership;
  fiber_signal mChanged;
  std::list<queued_request> mWaiting;
  /// When the first entries came; empty before.
  std::optional<time_point> mKnownSince;
  bool mIsPollingGroup = false;
  bool mIsIdleCleanupScheduled = false;
  bool mIsPollingLeader = false;
  /// The leader is not asked again before.
  time_point mNextLeaderPollAt;
};

} // namespace catkinloom
