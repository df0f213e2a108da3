#pragma once

#include "clSessionContext.h"
#include "clSessionState.h"

#include <memory>
#include <optional>
#include <string>

namespace catkinloom {

/// A caller's transaction and the upstream connection that it holds.
struct open_transaction
{
  statement mBeginStatement;
  /// When the caller began it.
  time_point mBeganAt;
  /// When its last statement was answered.
  time_point mIdleSince;
  /// Empty until its first statement needs an instance.
  acquired_connection mUpstreamConnection;
  bool mHasWritten = false;
};

/// One caller's session as statements run in it.
struct active_session
{
  std::string mDatabase;
  session_state mState;
  std::optional<open_transaction> mTransaction;
  /// The route of the present statement or transaction.
  std::shared_ptr<const desired_state> mDesired;
  const database_route* mRoute = nullptr;
};

/// How one statement was answered.
struct statement_outcome
{
  /// Empty when it succeeded.
  std::optional<statement_error> mError;
  std::string mDetail;
  /// The instance's own lines; empty when the proxy answers itself.
  std::string mLines;
  std::optional<log_position> mPosition;
  /// For the log: who served it, and how often it was tried.
  std::string mInstance;
  std::uint32_t mAttempts = 0;
};

/// Runs callers' statements on upstream instances: chooses the instance,
/// prepares its connection, checks that its data is fresh enough, and decides
/// what the caller may be told.
class statement_service
{
public:
  explicit statement_service(session_context& aContext);

  /// Runs one statement that came at aReceivedAt.
  statement_outcome ExecuteStatement(active_session& aSession,
                                     const statement& aStatement,
                                     time_point aReceivedAt);

  /// Ends a transaction that its caller left, or that was idle too long.
  void AbortTransaction(active_session& aSession);

private:
  using handler = statement_outcome (statement_service::*)(active_session&,
                                                           const statement&,
                                                           time_point);

  /// One statement on its way to an instance.
  struct retry_state
  {
    time_point mReceivedAt;
    time_point mDeadline;
    std::uint32_t mExcluded = 0;
    std::uint32_t mAttempts = 0;
  };

  /// What an instance must be asked so that its data is fresh enough.
  struct freshness_requirement
  {
    bool mLeaderOnly = true;
    std::optional<log_position> mFloor;
    /// The leader that was proven; empty when no proof is needed.
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

  /// Begins the transaction at an instance; empty on success.
  std::optional<statement_outcome> OpenTransaction(active_session& aSession,
                                                   retry_state& aRetry);

  /// Works out what makes a read fresh enough; waits for evidence if needed.
  result<freshness_requirement> DetermineFreshness(
    const active_session& aSession,
    upstream_group& aGroup,
    access_mode aMode,
    retry_state& aRetry);
  bool AwaitLeadershipEvidence(upstream_group& aGroup, retry_state& aRetry);

  result<acquired_connection> AcquireConnection(
    const active_session& aSession,
    upstream_group& aGroup,
    const freshness_requirement& aFreshness,
    retry_state& aRetry);

  /// Evidence named another leader than the present one, and there is time to
  /// look for new evidence.
  bool NeedsNewEvidence(const result<acquired_connection>& aAcquired,
                        const retry_state& aRetry) const;

  /// Brings a connection to the session's values; the error that stops it.
  std::optional<statement_error> PrepareConnection(
    const active_session& aSession,
    upstream_group& aGroup,
    acquired_connection& aConnection,
    const std::optional<prepared_statement>& aNeeded,
    nanoseconds aTimeout);

  std::string Encode(const statement& aStatement,
                     const std::optional<prepared_statement>& aPrepared,
                     std::optional<log_position> aFloor) const;

  /// True when the statement surely did not run and may be tried elsewhere.
  bool PrepareRetry(upstream_group& aGroup,
                    const upstream_instance& aInstance,
                    const statement_reply& aReply,
                    access_mode aMode,
                    retry_state& aRetry);

  /// Sends a statement of an open transaction, again while the instance has no
  /// slot for it.
  statement_reply ExchangeInTransaction(upstream_group& aGroup,
                                        acquired_connection& aConnection,
                                        const std::string& aBytes,
                                        retry_state& aRetry,
                                        bool aIsCommit);

  statement_outcome FailTransaction(active_session& aSession,
                                    statement_error aError,
                                    std::string aDetail);
  void EndTransaction(active_session& aSession, bool aIsEndedUpstream);
  void RollBackAndRelease(upstream_group& aGroup,
                          acquired_connection aConnection);
  bool ResolveRoute(active_session& aSession) const;
  std::optional<prepared_statement> FindPrepared(
    const active_session& aSession,
    const statement& aStatement) const;
  upstream_group& GroupOf(const active_session& aSession)
  {
    return mContext.Group(aSession.mRoute->mService);
  }
  nanoseconds RemainingTime(const retry_state& aRetry) const;
  /// Time to wait for one answer that may be asked for elsewhere or again.
  nanoseconds AnswerTimeoutFor(const upstream_instance& aInstance,
                               const retry_state& aRetry) const;
  void CountRead(upstream_group& aGroup, const upstream_instance& aInstance);

  session_context& mContext;
};

} // namespace catkinloom
