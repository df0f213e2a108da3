#include "clStatementService.h"

#include "clConnectionPreparation.h"
#include "clLog.h"

#include <array>

namespace catkinloom {

namespace {

/// Multiple of an instance's smoothed response time after which a response
/// counts as lost.
constexpr int kResponseTimeFactor = 8;

/// Lower bound of the response time-out, so that a short stall of an instance
/// does not cause a retry.
constexpr milliseconds kMinAnswerTimeout{ 250 };

/// Divisor of a route's target latency.  The quotient is the time in which a
/// statement should acquire a connection; the rest is left for its execution.
constexpr int kConnectionWaitDivisor = 2;

/// Attempts at one statement before the error is returned to its caller.
constexpr std::uint32_t kMaxAttempts = 6;

statement_outcome
Fail(statement_error aError, std::string aDetail)
{
  statement_outcome outcome;
  outcome.mError = aError;
  outcome.mDetail = std::move(aDetail);
  return outcome;
}

} // namespace

statement_service::statement_service(session_context& aContext)
  : mContext(aContext)
{
}

statement_outcome
statement_service::ExecuteStatement(active_session& aSession,
                                    const statement& aStatement,
                                    time_point aReceivedAt)
{
  // In the order of statement_kind.
  static constexpr std::array<handler, 10> kHandlers{
    &statement_service::Begin,      &statement_service::Commit,
    &statement_service::Rollback,   &statement_service::Access,
    &statement_service::Access,     &statement_service::SetValue,
    &statement_service::Prepare,    &statement_service::Access,
    &statement_service::Deallocate, &statement_service::RejectUnknown,
  };
  const bool endsTransaction = aStatement.mKind == statement_kind::Commit ||
                               aStatement.mKind == statement_kind::Rollback;
  if (aSession.mState.mPhase == session_phase::TransactionFailed &&
      !endsTransaction) {
    return Fail(statement_error::Malformed, "the transaction has failed");
  }
  const auto kind = static_cast<std::size_t>(aStatement.mKind);
  return (this->*kHandlers[kind])(aSession, aStatement, aReceivedAt);
}

bool
statement_service::ResolveRoute(active_session& aSession) const
{
  aSession.mDesired = mContext.mDesired;
  aSession.mRoute = nullptr;
  if (!aSession.mDesired) {
    return false;
  }
  const auto found = aSession.mDesired->mRoutes.find(aSession.mDatabase);
  if (found == aSession.mDesired->mRoutes.end()) {
    return false;
  }
  aSession.mRoute = &found->second;
  return true;
}

statement_outcome
statement_service::Begin(active_session& aSession,
                         const statement& aStatement,
                         time_point aReceivedAt)
{
  if (aSession.mTransaction) {
    return Fail(statement_error::Malformed, "a transaction is open");
  }
  const auto& transactionsEndAt = mContext.mTransactionsEndAt;
  if (transactionsEndAt && mContext.Now() >= *transactionsEndAt) {
    return Fail(statement_error::Busy, "the proxy ends");
  }
  if (!ResolveRoute(aSession)) {
    return Fail(statement_error::NoSuchDatabase, aSession.mDatabase);
  }
  aSession.mTransaction.emplace();
  aSession.mTransaction->mBeginStatement = aStatement;
  aSession.mTransaction->mBeganAt = aReceivedAt;
  aSession.mTransaction->mIdleSince = aReceivedAt;
  aSession.mState.mPhase = session_phase::InTransaction;
  return {};
}

statement_outcome
statement_service::SetValue(active_session& aSession,
                            const statement& aStatement,
                            time_point)
{
  aSession.mState.mValues[aStatement.mName] = aStatement.mContent;
  return {};
}

statement_outcome
statement_service::Prepare(active_session& aSession,
                           const statement& aStatement,
                           time_point)
{
  aSession.mState.mPrepared[aStatement.mName] = { aStatement.mMode,
                                                  aStatement.mContent };
  return {};
}

statement_outcome
statement_service::Deallocate(active_session& aSession,
                              const statement& aStatement,
                              time_point)
{
  if (aSession.mState.mPrepared.erase(aStatement.mName) == 0) {
    return Fail(statement_error::NoSuchStatement, aStatement.mName);
  }
  return {};
}

statement_outcome
statement_service::RejectUnknown(active_session&, const statement&, time_point)
{
  return Fail(statement_error::Malformed, "unknown statement");
}

std::optional<prepared_statement>
statement_service::FindPrepared(const active_session& aSession,
                                const statement& aStatement) const
{
  const auto found = aSession.mState.mPrepared.find(aStatement.mName);
  if (found == aSession.mState.mPrepared.end()) {
    return std::nullopt;
  }
  return found->second;
}

statement_outcome
statement_service::Access(active_session& aSession,
                          const statement& aStatement,
                          time_point aReceivedAt)
{
  if (!aSession.mTransaction && IsEnding()) {
    return Fail(statement_error::Busy, "the proxy ends");
  }
  access_mode mode = aStatement.mKind == statement_kind::Write
                       ? access_mode::Write
                       : access_mode::Read;
  if (aStatement.mKind == statement_kind::Execute) {
    const auto prepared = FindPrepared(aSession, aStatement);
    if (!prepared) {
      return Fail(statement_error::NoSuchStatement, aStatement.mName);
    }
    mode = prepared->mMode;
  }
  retry_state retry;
  retry.mReceivedAt = aReceivedAt;
  if (aSession.mTransaction) {
    retry.mDeadline = aReceivedAt + aSession.mRoute->mStatementTimeout;
    aSession.mTransaction->mHasWritten |= mode == access_mode::Write;
    return AccessInTransaction(aSession, aStatement, retry);
  }
  if (!ResolveRoute(aSession)) {
    return Fail(statement_error::NoSuchDatabase, aSession.mDatabase);
  }
  retry.mDeadline = aReceivedAt + aSession.mRoute->mStatementTimeout;
  return AccessAutocommit(aSession, aStatement, mode, retry);
}

nanoseconds
statement_service::RemainingTime(const retry_state& aRetry) const
{
  return std::max<nanoseconds>(DeadlineOf(aRetry) - mContext.Now(),
                               milliseconds(1));
}

time_point
statement_service::DeadlineOf(const retry_state& aRetry) const
{
  return mContext.mUpstreams.LimitDeadline(aRetry.mDeadline);
}

bool
statement_service::IsEnding() const
{
  const auto& end = mContext.mUpstreams.mStatementsEndAt;
  return end && mContext.Now() + kMinAnswerTimeout >= *end;
}

nanoseconds
statement_service::AnswerTimeoutFor(const upstream_instance& aInstance,
                                    const retry_state& aRetry) const
{
  const nanoseconds remaining = RemainingTime(aRetry);
  // A statement that is slow by itself would exceed a short limit on every
  // attempt, so repeated attempts get all the remaining time.
  if (aRetry.mAttempts > 1) {
    return remaining;
  }
  const nanoseconds deadlineShare = (aRetry.mDeadline - aRetry.mReceivedAt) / 3;
  const nanoseconds timeout =
    std::max<nanoseconds>({ aInstance.mResponseTime * kResponseTimeFactor,
                            kMinAnswerTimeout,
                            deadlineShare });
  return timeout + kMinAnswerTimeout < remaining ? timeout : remaining;
}

bool
statement_service::IsCutOff(const group_leadership& aLeadership) const
{
  return !mContext.mStoreReachedSince && aLeadership.HasEvidenceTimedOut();
}

bool
statement_service::AwaitLeadershipEvidence(upstream_group& aGroup,
                                           retry_state& aRetry)
{
  group_leadership& leadership = aGroup.Leadership();
  const time_point until = std::min(
    DeadlineOf(aRetry), mContext.Now() + mContext.mSettings.mMaxEvidenceWait);
  if (leadership.NeedsEvidence(mContext.Now())) {
    mContext.mRefreshLeadership();
  }
  if (IsCutOff(leadership) && !leadership.IsProvenAt(aRetry.mReceivedAt)) {
    mContext.mLoop.Spawn([&aGroup] { aGroup.PollGroup(); });
    return false;
  }
  std::uint32_t rounds = 0;
  while (!leadership.IsProvenAt(aRetry.mReceivedAt)) {
    const time_point now = mContext.Now();
    if (now >= until) {
      leadership.OnEvidenceTimeout();
      return false;
    }
    // The first round queries only the store.  Later rounds also query the
    // group, since the store may be slow or report a failover in progress.
    if (rounds > 0) {
      mContext.mRefreshLeadership();
      aGroup.PollGroup();
    }
    ++rounds;
    if (!leadership.IsProvenAt(aRetry.mReceivedAt)) {
      aGroup.Changed().WaitUntil(
        std::min(now + mContext.mSettings.mLeaderRetryDelay, until));
    }
  }
  return true;
}

result<statement_service::freshness_requirement>
statement_service::DetermineFreshness(const active_session& aSession,
                                      upstream_group& aGroup,
                                      access_mode aMode,
                                      retry_state& aRetry)
{
  freshness_requirement requirement;
  const database_route& route = *aSession.mRoute;
  if (route.mConsistency != read_consistency::Current) {
    auto floor =
      aGroup.Leadership().FloorSince(aRetry.mReceivedAt - route.mMaxAge);
    if (floor) {
      if (route.mConsistency == read_consistency::ReadYourWrites) {
        floor = std::max(*floor, aSession.mState.mFloor);
      }
      requirement.mFloor = floor;
      requirement.mLeaderOnly = aMode == access_mode::Write;
      return requirement;
    }
  }
  const bool isAutocommitWrite =
    aMode == access_mode::Write && !aSession.mTransaction;
  if (!isAutocommitWrite && !AwaitLeadershipEvidence(aGroup, aRetry)) {
    return error{ error_kind::NoCurrentPrimary, "leader not proven" };
  }
  if (!isAutocommitWrite) {
    requirement.mProvenLeader = aGroup.Leadership().Leader();
  }
  return requirement;
}

result<acquired_connection>
statement_service::AcquireConnection(const active_session& aSession,
                                     upstream_group& aGroup,
                                     const freshness_requirement& aFreshness,
                                     retry_state& aRetry)
{
  connection_request request;
  request.mSession = &aSession.mState;
  request.mRequirements.mLeaderOnly = aFreshness.mLeaderOnly;
  request.mRequirements.mFloor = aFreshness.mFloor.value_or(log_position{});
  request.mRequirements.mExcluded = aRetry.mExcluded;
  request.mPriority = aSession.mRoute->mPriority;
  request.mReceivedAt = aRetry.mReceivedAt;
  request.mTargetDeadline =
    aRetry.mReceivedAt +
    aSession.mRoute->mTargetLatency / kConnectionWaitDivisor;
  request.mDeadline = aRetry.mDeadline;
  request.mProvenLeader = aFreshness.mProvenLeader;
  request.mMayAwaitLeader = mContext.mStoreReachedSince.has_value();
  return aGroup.AcquireConnection(request);
}

bool
statement_service::NeedsNewEvidence(
  const result<acquired_connection>& aAcquired,
  const retry_state& aRetry) const
{
  return !aAcquired && mContext.Now() < DeadlineOf(aRetry) &&
         aAcquired.error().mKind == error_kind::LeaderChanged;
}

bool
statement_service::PrepareConnection(
  const active_session& aSession,
  upstream_group& aGroup,
  acquired_connection& aConnection,
  const std::optional<prepared_statement>& aNeeded,
  nanoseconds aTimeout)
{
  connection_session_state& knownState = aConnection.mConnection->mKnownState;
  const connection_preparation plan =
    PlanPreparation(aSession.mState, knownState, aNeeded);
  if (plan.IsEmpty()) {
    return true;
  }
  statement_batch batch;
  const std::size_t count = AppendPreparation(
    batch,
    mContext.mPorts.mStatements,
    plan,
    aSession.mTransaction ? session_phase::InTransaction : session_phase::Idle);
  mContext.mMetrics.mInternalStatements.Increment(static_cast<double>(count));
  const statement_reply reply =
    aGroup.Exchange(aConnection, batch, aTimeout, exchange_kind::Preparation);
  if (!reply.IsSuccess()) {
    // The values and prepared statements on the connection are now unknown.
    aConnection.mConnection->Close();
    return false;
  }
  ApplyPreparation(plan, knownState);
  return true;
}

statement_batch
statement_service::Encode(const statement& aStatement,
                          const std::optional<prepared_statement>& aPrepared,
                          const statement_connection& aConnection,
                          std::optional<log_position> aFloor) const
{
  statement_batch batch;
  const statement_codec& codec = mContext.mPorts.mStatements;
  const bool endsTransaction = aStatement.mKind == statement_kind::Commit;
  const expected_response expected{ response_kind::Signed,
                                    endsTransaction
                                      ? std::optional(session_phase::Idle)
                                      : std::nullopt };
  batch.Add(expected, [&](std::string& aOut) {
    if (aPrepared) {
      codec.AppendExecute(aOut,
                          aStatement.mId,
                          aConnection.mKnownState.mPrepared.at(*aPrepared),
                          aStatement.mContent,
                          aFloor);
    } else {
      codec.AppendStatement(aOut, aStatement.mId, aStatement.mText, aFloor);
    }
  });
  return batch;
}

bool
statement_service::PrepareRetry(upstream_group& aGroup,
                                const upstream_instance& aInstance,
                                const statement_reply& aReply,
                                access_mode aMode,
                                retry_state& aRetry)
{
  const bool notExecuted =
    aReply.IsUnsent() ||
    (aReply.IsAnswered() && aReply.mError && HasNoEffect(*aReply.mError));
  const bool isRepeatable =
    aMode == access_mode::Read &&
    (!aReply.IsAnswered() || aReply.HasError(statement_error::Failed));
  if (!(notExecuted || isRepeatable) || aRetry.mAttempts >= kMaxAttempts ||
      mContext.Now() >= DeadlineOf(aRetry)) {
    return false;
  }
  mContext.mMetrics.mRetries.Increment();
  if (aReply.HasError(statement_error::ReadOnly)) {
    mContext.mRefreshLeadership();
    aGroup.Changed().WaitUntil(
      std::min(DeadlineOf(aRetry),
               mContext.Now() + mContext.mSettings.mLeaderRetryDelay));
    return true;
  }
  const bool isLeader = aInstance.mEntry.mId == aGroup.Leadership().Leader();
  if (aReply.HasError(statement_error::Busy)) {
    mContext.mLoop.Sleep(mContext.mSettings.mBusyRetryDelay);
  } else if (!isLeader && !aReply.IsUnsent()) {
    aRetry.mExcluded |= aGroup.ExclusionBit(aInstance);
  }
  return true;
}

void
statement_service::CountRead(upstream_group& aGroup,
                             const upstream_instance& aInstance)
{
  const bool isLeader = aInstance.mEntry.mId == aGroup.Leadership().Leader();
  (isLeader ? mContext.mMetrics.mReadsByLeader
            : mContext.mMetrics.mReadsByReplica)
    .Increment();
}

statement_outcome
statement_service::AccessAutocommit(active_session& aSession,
                                    const statement& aStatement,
                                    access_mode aMode,
                                    retry_state& aRetry)
{
  upstream_group& group = GroupOf(aSession);
  std::optional<prepared_statement> prepared;
  if (aStatement.mKind == statement_kind::Execute) {
    prepared = FindPrepared(aSession, aStatement);
  }
  while (true) {
    ++aRetry.mAttempts;
    const auto requirement = DetermineFreshness(aSession, group, aMode, aRetry);
    if (!requirement) {
      return Fail(statement_error::Busy, requirement.error().mDetail);
    }
    auto acquired =
      AcquireConnection(aSession, group, requirement.value(), aRetry);
    if (NeedsNewEvidence(acquired, aRetry)) {
      continue;
    }
    if (!acquired) {
      return Fail(statement_error::Busy, acquired.error().mDetail);
    }
    acquired_connection connection = std::move(acquired.value());
    const std::shared_ptr<upstream_instance> instance = connection.mInstance;
    if (!PrepareConnection(
          aSession, group, connection, prepared, RemainingTime(aRetry))) {
      group.ReleaseConnection(std::move(connection));
      if (aRetry.mAttempts < kMaxAttempts &&
          mContext.Now() < DeadlineOf(aRetry)) {
        continue;
      }
      return Fail(statement_error::Busy,
                  "connection lost before the statement");
    }
    const bool isWrite = aMode == access_mode::Write;
    const auto floor = isWrite ? std::nullopt : requirement.value().mFloor;
    statement_reply reply = group.Exchange(
      connection,
      Encode(aStatement, prepared, *connection.mConnection, floor),
      isWrite ? RemainingTime(aRetry) : AnswerTimeoutFor(*instance, aRetry),
      isWrite ? exchange_kind::Commit : exchange_kind::Access);
    if (reply.IsAnswered() && reply.mPhase != session_phase::Idle) {
      // A statement outside a transaction must leave the connection idle.  Any
      // other state is unexpected, so the connection can't be reused.
      connection.mConnection->Close();
    }
    group.ReleaseConnection(std::move(connection));
    if (reply.IsSuccess()) {
      if (isWrite && reply.mPosition) {
        aSession.mState.mFloor =
          std::max(aSession.mState.mFloor, *reply.mPosition);
      }
      if (!isWrite) {
        CountRead(group, *instance);
      }
      statement_outcome outcome;
      outcome.mLines = std::move(reply.mLines);
      outcome.mPosition = reply.mPosition;
      outcome.mInstance = instance->mEntry.mId;
      outcome.mAttempts = aRetry.mAttempts;
      return outcome;
    }
    if (PrepareRetry(group, *instance, reply, aMode, aRetry)) {
      continue;
    }
    statement_outcome outcome;
    outcome.mInstance = instance->mEntry.mId;
    outcome.mAttempts = aRetry.mAttempts;
    if (reply.IsAnswered()) {
      outcome.mError = reply.mError;
      outcome.mDetail = "answered by the instance";
      return outcome;
    }
    if (reply.IsUnsent()) {
      outcome.mError = statement_error::Busy;
      outcome.mDetail = "connection lost before the statement";
      return outcome;
    }
    outcome.mError = reply.mOutcome == exchange_outcome::TimedOut
                       ? statement_error::TimedOut
                     : isWrite ? statement_error::InDoubt
                               : statement_error::Failed;
    outcome.mDetail = "no answer from the instance";
    return outcome;
  }
}

std::optional<statement_outcome>
statement_service::OpenTransaction(
  active_session& aSession,
  const std::optional<prepared_statement>& aNeeded,
  retry_state& aRetry)
{
  upstream_group& group = GroupOf(aSession);
  open_transaction& transaction = *aSession.mTransaction;
  const access_mode mode = transaction.mBeginStatement.mMode;
  retry_state retry = aRetry;
  retry.mReceivedAt = transaction.mBeganAt;
  while (true) {
    ++retry.mAttempts;
    const auto requirement = DetermineFreshness(aSession, group, mode, retry);
    if (!requirement) {
      return FailTransaction(
        aSession, statement_error::Busy, requirement.error().mDetail);
    }
    auto acquired =
      AcquireConnection(aSession, group, requirement.value(), retry);
    if (NeedsNewEvidence(acquired, retry)) {
      continue;
    }
    if (!acquired) {
      return FailTransaction(
        aSession, statement_error::Busy, acquired.error().mDetail);
    }
    acquired_connection connection = std::move(acquired.value());
    const std::shared_ptr<upstream_instance> instance = connection.mInstance;
    connection_session_state& knownState = connection.mConnection->mKnownState;
    const connection_preparation plan =
      PlanPreparation(aSession.mState, knownState, aNeeded);
    // BEGIN is sent together with the preparation: if a step fails, the
    // connection is closed, which ends the transaction.
    statement_batch batch;
    const statement_codec& codec = mContext.mPorts.mStatements;
    const std::size_t steps =
      AppendPreparation(batch, codec, plan, session_phase::Idle);
    mContext.mMetrics.mInternalStatements.Increment(static_cast<double>(steps));
    // Without a barrier, an earlier acknowledgement could hide that BEGIN was
    // refused, and the statements would run outside a transaction.
    batch.mHasBarrier = true;
    batch.Add({ response_kind::Acknowledgement, session_phase::InTransaction },
              [&](std::string& aOut) {
                codec.AppendStatement(aOut,
                                      transaction.mBeginStatement.mId,
                                      transaction.mBeginStatement.mText,
                                      requirement.value().mFloor);
              });
    const statement_reply reply = group.Exchange(
      connection, batch, RemainingTime(retry), exchange_kind::Preparation);
    if (connection.mConnection->IsOpen()) {
      ApplyPreparation(plan, knownState);
    }
    if (reply.IsSuccess()) {
      transaction.mUpstreamConnection = std::move(connection);
      aRetry.mAttempts = retry.mAttempts;
      return std::nullopt;
    }
    group.ReleaseConnection(std::move(connection));
    // BEGIN changes no data, so it may be retried like a read.
    if (!PrepareRetry(group, *instance, reply, access_mode::Read, retry)) {
      return FailTransaction(
        aSession, statement_error::Aborted, "the transaction did not begin");
    }
  }
}

statement_outcome
statement_service::FailTransaction(active_session& aSession,
                                   statement_error aError,
                                   std::string aDetail)
{
  EndTransaction(aSession, false);
  aSession.mTransaction.emplace();
  aSession.mState.mPhase = session_phase::TransactionFailed;
  return Fail(aError, std::move(aDetail));
}

statement_reply
statement_service::ExchangeInTransaction(upstream_group& aGroup,
                                         acquired_connection& aConnection,
                                         const statement_batch& aBatch,
                                         retry_state& aRetry,
                                         bool aIsCommit)
{
  while (true) {
    ++aRetry.mAttempts;
    statement_reply reply = aGroup.Exchange(aConnection,
                                            aBatch,
                                            RemainingTime(aRetry),
                                            aIsCommit ? exchange_kind::Commit
                                                      : exchange_kind::Access);
    // Busy means that no slot was free: the statement did not run, and the
    // transaction is still open.
    const bool mayRetry =
      reply.HasError(statement_error::Busy) &&
      reply.mPhase == session_phase::InTransaction &&
      aRetry.mAttempts < kMaxAttempts &&
      mContext.Now() + mContext.mSettings.mBusyRetryDelay < DeadlineOf(aRetry);
    if (!mayRetry) {
      return reply;
    }
    mContext.mMetrics.mRetries.Increment();
    mContext.mLoop.Sleep(mContext.mSettings.mBusyRetryDelay);
  }
}

statement_outcome
statement_service::AccessInTransaction(active_session& aSession,
                                       const statement& aStatement,
                                       retry_state& aRetry)
{
  open_transaction& transaction = *aSession.mTransaction;
  std::optional<prepared_statement> prepared;
  if (aStatement.mKind == statement_kind::Execute) {
    prepared = FindPrepared(aSession, aStatement);
  }
  if (!transaction.mUpstreamConnection) {
    if (auto failed = OpenTransaction(aSession, prepared, aRetry)) {
      return *failed;
    }
  }
  upstream_group& group = GroupOf(aSession);
  const std::string instance =
    transaction.mUpstreamConnection.mInstance->mEntry.mId;
  if (!PrepareConnection(aSession,
                         group,
                         transaction.mUpstreamConnection,
                         prepared,
                         RemainingTime(aRetry))) {
    return FailTransaction(
      aSession, statement_error::Aborted, "connection lost");
  }
  statement_reply reply =
    ExchangeInTransaction(group,
                          transaction.mUpstreamConnection,
                          Encode(aStatement,
                                 prepared,
                                 *transaction.mUpstreamConnection.mConnection,
                                 std::nullopt),
                          aRetry,
                          false);
  transaction.mIdleSince = mContext.Now();
  if (reply.IsSuccess()) {
    statement_outcome outcome;
    outcome.mLines = std::move(reply.mLines);
    outcome.mPosition = reply.mPosition;
    outcome.mInstance = instance;
    outcome.mAttempts = aRetry.mAttempts;
    return outcome;
  }
  // COMMIT was not sent, so the transaction has no lasting effect.
  const statement_error error = reply.IsAnswered() && HasNoEffect(*reply.mError)
                                  ? *reply.mError
                                  : statement_error::Aborted;
  statement_outcome outcome = FailTransaction(
    aSession,
    error,
    reply.IsAnswered() ? "refused by the instance" : "no answer");
  outcome.mInstance = instance;
  return outcome;
}

statement_outcome
statement_service::Commit(active_session& aSession,
                          const statement& aStatement,
                          time_point aReceivedAt)
{
  if (!aSession.mTransaction) {
    return Fail(statement_error::Malformed, "no transaction is open");
  }
  if (aSession.mState.mPhase == session_phase::TransactionFailed) {
    EndTransaction(aSession, false);
    return Fail(statement_error::Aborted, "the transaction had failed");
  }
  retry_state retry;
  retry.mReceivedAt = aReceivedAt;
  retry.mDeadline = aReceivedAt + aSession.mRoute->mStatementTimeout;
  if (!aSession.mTransaction->mUpstreamConnection) {
    if (auto failed = OpenTransaction(aSession, std::nullopt, retry)) {
      EndTransaction(aSession, false);
      return *failed;
    }
  }
  open_transaction& transaction = *aSession.mTransaction;
  upstream_group& group = GroupOf(aSession);
  const bool wrote = transaction.mHasWritten;
  const bool commitsStopped = group.Leadership().Record().mCommitsStopped;
  if (wrote && commitsStopped) {
    // During a failover the leader can't acknowledge commits.  A COMMIT that
    // is not sent has no effect, so the outcome is known.
    EndTransaction(aSession, false);
    return Fail(statement_error::Aborted, "the leader is being replaced");
  }
  statement_reply reply =
    ExchangeInTransaction(group,
                          transaction.mUpstreamConnection,
                          Encode(aStatement,
                                 std::nullopt,
                                 *transaction.mUpstreamConnection.mConnection,
                                 std::nullopt),
                          retry,
                          wrote);
  statement_outcome outcome;
  outcome.mInstance = transaction.mUpstreamConnection.mInstance->mEntry.mId;
  outcome.mPosition = reply.mPosition;
  EndTransaction(aSession,
                 reply.IsAnswered() && reply.mPhase == session_phase::Idle);
  if (reply.IsSuccess()) {
    if (wrote && reply.mPosition) {
      aSession.mState.mFloor =
        std::max(aSession.mState.mFloor, *reply.mPosition);
    }
    outcome.mLines = std::move(reply.mLines);
    return outcome;
  }
  outcome.mDetail = "commit not acknowledged";
  if (reply.IsAnswered()) {
    outcome.mError = reply.mError;
  } else if (!wrote || reply.IsUnsent()) {
    outcome.mError = statement_error::Aborted;
  } else {
    outcome.mError = reply.mOutcome == exchange_outcome::TimedOut
                       ? statement_error::TimedOut
                       : statement_error::InDoubt;
  }
  return outcome;
}

statement_outcome
statement_service::Rollback(active_session& aSession,
                            const statement&,
                            time_point)
{
  if (!aSession.mTransaction) {
    return Fail(statement_error::Malformed, "no transaction is open");
  }
  EndTransaction(aSession, false);
  return {};
}

void
statement_service::EndTransaction(active_session& aSession,
                                  bool aIsEndedUpstream)
{
  if (!aSession.mTransaction) {
    return;
  }
  acquired_connection connection =
    std::move(aSession.mTransaction->mUpstreamConnection);
  aSession.mTransaction.reset();
  aSession.mState.mPhase = session_phase::Idle;
  if (!connection) {
    return;
  }
  upstream_group& group = GroupOf(aSession);
  if (aIsEndedUpstream || !connection.mConnection->IsOpen()) {
    group.ReleaseConnection(std::move(connection));
    return;
  }
  RollBackAndRelease(group, std::move(connection));
}

void
statement_service::RollBackAndRelease(upstream_group& aGroup,
                                      acquired_connection aConnection)
{
  auto shared = std::make_shared<acquired_connection>(std::move(aConnection));
  mContext.mLoop.Spawn([this, &aGroup, shared] {
    statement_batch batch;
    batch.Add({ response_kind::Acknowledgement, session_phase::Idle },
              [&](std::string& aOut) {
                mContext.mPorts.mStatements.AppendRollback(aOut);
              });
    mContext.mMetrics.mInternalStatements.Increment();
    const statement_reply reply =
      aGroup.Exchange(*shared,
                      batch,
                      mContext.mSettings.mRollbackTimeout,
                      exchange_kind::Preparation);
    if (!reply.IsSuccess()) {
      shared->mConnection->Close();
    }
    aGroup.ReleaseConnection(std::move(*shared));
  });
}

void
statement_service::AbortTransaction(active_session& aSession)
{
  EndTransaction(aSession, false);
}

} // namespace catkinloom
