#pragma once

#include "clSessionContext.h"
#include "clSessionState.h"

#include <memory>
#include <optional>
#include <string>

namespace catkinloom {

/// An open transaction and the upstream connection bound to it.
struct open_transaction
{
  statement mBeginStatement;
  /// When the caller's BEGIN was received.
  time_point mBeganAt;
  /// When BEGIN was received or the last statement was answered, whichever is
  /// later.
  time_point mIdleSince;
  /// Acquired on the first statement that must run on an instance, not at
  /// BEGIN.  Empty before, and after the transaction has failed.
  acquired_connection mUpstreamConnection;
  bool mHasWritten = false;
};

/// State of a caller's session that statement execution needs.
struct active_session
{
  std::string mDatabase;
  session_state mState;
  std::optional<open_transaction> mTransaction;
  /// Desired state that owns mRoute.
  std::shared_ptr<const desired_state> mDesired;
  /// Route of the current statement or transaction.
  const database_route* mRoute = nullptr;
};

/// Result of one statement, to be sent to the caller.
struct statement_outcome
{
  /// Empty on success.
  std::optional<statement_error> mError;
  /// Text after the code in the ERROR line to the caller; part of the protocol,
  /// since callers may match it.
  std::string mDetail;
  /// Response lines of the instance, forwarded unchanged; empty when the proxy
  /// answers the statement itself.
  std::string mLines;
  std::optional<log_position> mPosition;
  /// For the log: instance that ran the statement, and number of attempts.
  std::string mInstance;
  std::uint32_t mAttempts = 0;
};

/// Executes callers' statements on upstream instances.
///
/// Selects an instance whose data is fresh enough, brings a connection to the
/// session's state, retries where that is safe, and maps the instance's
/// response to the result for the caller.
class statement_service
{
public:
  explicit statement_service(session_context& aContext);

  /// Executes one statement that was received at aReceivedAt.
  statement_outcome ExecuteStatement(active_session& aSession,
                                     const statement& aStatement,
                                     time_point aReceivedAt);

  /// Rolls back the session's open transaction, if any: its caller has
  /// disconnected, or the transaction exceeded the idle time limit.
  void AbortTransaction(active_session& aSession);

private:
  using handler = statement_outcome (statement_service::*)(active_session&,
                                                           const statement&,
                                                           time_point);

  /// Progress of one statement over its attempts.
  struct retry_state
  {
    time_point mReceivedAt;
    time_point mDeadline;
    /// Bit mask of instances that must not be selected again.
    std::uint32_t mExcluded = 0;
    std::uint32_t mAttempts = 0;
  };

  /// Constraints on the instance that may serve a statement.
  struct freshness_requirement
  {
    bool mLeaderOnly = true;
    /// Lowest log position that the instance must have applied.
    std::optional<log_position> mFloor;
    /// Leader that the evidence confirms; empty when none is required.
    std::string mProvenLeader;
  };

  statement_outcome Begin(active_session& aSession,
                          const statement& aStatement,
                          time_point aReceivedAt);
  statement_outcome Commit(active_session& aSession,
                           const statement& aStatement,
                           time_point aReceivedAt);
  statement_outcome Rollback(active_session& aSession,
                             const statement& aStatement,
                             time_point aReceivedAt);
  /// Executes a read, a write or a prepared statement.
  statement_outcome Access(active_session& aSession,
                           const statement& aStatement,
                           time_point aReceivedAt);
  statement_outcome SetValue(active_session& aSession,
                             const statement& aStatement,
                             time_point aReceivedAt);
  statement_outcome Prepare(active_session& aSession,
                            const statement& aStatement,
                            time_point aReceivedAt);
  statement_outcome Deallocate(active_session& aSession,
                               const statement& aStatement,
                               time_point aReceivedAt);
  statement_outcome RejectUnknown(active_session& aSession,
                                  const statement& aStatement,
                                  time_point aReceivedAt);

  statement_outcome AccessAutocommit(active_session& aSession,
                                     const statement& aStatement,
                                     access_mode aMode,
                                     retry_state& aRetry);
  statement_outcome AccessInTransaction(active_session& aSession,
                                        const statement& aStatement,
                                        retry_state& aRetry);

  /// Acquires a connection, prepares it for the transaction's first statement
  /// and sends BEGIN.  aNeeded is the prepared statement that the first
  /// statement executes, if any.  Returns the failure, or nothing on success.
  std::optional<statement_outcome> OpenTransaction(
    active_session& aSession,
    const std::optional<prepared_statement>& aNeeded,
    retry_state& aRetry);

  /// Derives the constraints from the route's consistency level.  May wait for
  /// evidence of leadership.  Errors: NoCurrentPrimary.
  result<freshness_requirement> DetermineFreshness(
    const active_session& aSession,
    upstream_group& aGroup,
    access_mode aMode,
    retry_state& aRetry);
  /// True if this proxy reaches neither the store nor the group, so that its
  /// caller should try another proxy at once.
  bool IsCutOff(const group_leadership& aLeadership) const;
  /// Waits for evidence that the leader still led when the statement was
  /// received.  Returns false on time-out, and at once if this proxy is cut
  /// off.
  bool AwaitLeadershipEvidence(upstream_group& aGroup, retry_state& aRetry);

  result<acquired_connection> AcquireConnection(
    const active_session& aSession,
    upstream_group& aGroup,
    const freshness_requirement& aFreshness,
    retry_state& aRetry);

  /// Returns true if the acquisition failed because the leader changed after
  /// the evidence was obtained, and the deadline allows another attempt.
  bool NeedsNewEvidence(const result<acquired_connection>& aAcquired,
                        const retry_state& aRetry) const;

  /// Applies the session's values and the prepared statement to a connection.
  /// False if the instance did not accept a step; the connection is closed
  /// then.
  bool PrepareConnection(const active_session& aSession,
                         upstream_group& aGroup,
                         acquired_connection& aConnection,
                         const std::optional<prepared_statement>& aNeeded,
                         nanoseconds aTimeout);

  /// Encodes a caller's statement.  aPrepared, if it executes one, is prepared
  /// on the connection.
  statement_batch Encode(const statement& aStatement,
                         const std::optional<prepared_statement>& aPrepared,
                         const statement_connection& aConnection,
                         std::optional<log_position> aFloor) const;

  /// Returns false if the statement must not be retried: it may have written,
  /// or the attempts or the time are used up.  Otherwise counts the retry,
  /// excludes the instance or waits where that is needed, and returns true.
  /// May suspend the fiber.
  bool PrepareRetry(upstream_group& aGroup,
                    const upstream_instance& aInstance,
                    const statement_reply& aReply,
                    access_mode aMode,
                    retry_state& aRetry);

  /// Sends a statement of an open transaction.  Repeats it while the instance
  /// rejects it with Busy for lack of a slot.
  statement_reply ExchangeInTransaction(upstream_group& aGroup,
                                        acquired_connection& aConnection,
                                        const statement_batch& aBatch,
                                        retry_state& aRetry,
                                        bool aIsCommit);

  /// Rolls back and returns the error.  The session accepts only ROLLBACK or
  /// COMMIT afterwards.
  statement_outcome FailTransaction(active_session& aSession,
                                    statement_error aError,
                                    std::string aDetail);
  /// Releases the transaction's connection.  Rolls back first unless the
  /// transaction has already ended on the instance (aIsEndedUpstream).
  void EndTransaction(active_session& aSession, bool aIsEndedUpstream);
  /// Rolls back in a separate fiber, so that the caller does not wait for it.
  void RollBackAndRelease(upstream_group& aGroup,
                          acquired_connection aConnection);
  /// Looks up the route of the session's database in the desired state in
  /// force.  Returns false if there is none.
  bool ResolveRoute(active_session& aSession) const;
  std::optional<prepared_statement> FindPrepared(
    const active_session& aSession,
    const statement& aStatement) const;
  upstream_group& GroupOf(const active_session& aSession)
  {
    return mContext.Group(aSession.mRoute->mService);
  }
  /// Deadline of the statement; earlier than that of its route while the proxy
  /// drains.
  time_point DeadlineOf(const retry_state& aRetry) const;
  nanoseconds RemainingTime(const retry_state& aRetry) const;
  /// True if the process ends before a new statement is likely to have its
  /// response.
  bool IsEnding() const;
  /// Time limit for the response to one attempt.  The first attempt gets less
  /// than the remaining time, so that a lost response leaves time for a retry.
  nanoseconds AnswerTimeoutFor(const upstream_instance& aInstance,
                               const retry_state& aRetry) const;
  void CountRead(upstream_group& aGroup, const upstream_instance& aInstance);

  session_context& mContext;
};

} // namespace catkinloom
