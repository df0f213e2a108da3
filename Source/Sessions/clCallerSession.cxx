#include "clCallerSession.h"

#include "clDecisionLog.h"
#include "clLog.h"

namespace catkinloom {

caller_session::caller_session(session_context& aContext,
                               statement_service& aService,
                               std::shared_ptr<line_stream> aStream,
                               ended_handler aOnEnded)
  : mContext(aContext)
  , mService(aService)
  , mStream(std::move(aStream))
  , mOnEnded(std::move(aOnEnded))
  , mLastAnsweredAt(aContext.Now())
{
}

void
caller_session::Start()
{
  AwaitMessages();
}

void
caller_session::AwaitMessages()
{
  mStream->WaitReadable([self = shared_from_this()](bool aIsOpen) {
    if (!aIsOpen) {
      self->End();
      return;
    }
    self->mIsProcessing = true;
    self->mContext.mLoop.Spawn([self] { self->ProcessMessages(); });
  });
}

void
caller_session::ProcessMessages()
{
  const time_point receivedAt = mContext.Now();
  mHasCompletedOperation = false;
  std::string_view line;
  bool keepOpen = true;
  while (keepOpen && mStream->NextBufferedLine(line)) {
    keepOpen = HandleMessage(line, receivedAt);
  }
  if (keepOpen && mStream->IsLineTooLong()) {
    mContext.mPorts.mStatements.AppendError(
      mOutput, statement_error::TooLarge, "message too long");
    keepOpen = false;
  }
  if (!mOutput.empty()) {
    keepOpen =
      mStream->Write(mOutput, mContext.mSettings.mCallerWriteTimeout) &&
      keepOpen;
    mOutput.clear();
  }
  mIsProcessing = false;
  mLastAnsweredAt = mContext.Now();
  if (!keepOpen ||
      (mEndWhenIdle && mHasCompletedOperation && !IsInTransaction())) {
    End();
    return;
  }
  AwaitMessages();
}

bool
caller_session::HandleMessage(std::string_view aLine, time_point aReceivedAt)
{
  const auto decoded = mContext.mPorts.mStatements.DecodeCallerMessage(aLine);
  if (!decoded) {
    Log(
      log_level::Info,
      "caller",
      "Caller message could not be decoded; error returned to caller. cause={}",
      decoded.error().mDetail);
    mContext.mPorts.mStatements.AppendError(
      mOutput, statement_error::Malformed, decoded.error().mDetail);
    if (mIsOpen) {
      mContext.mPorts.mStatements.AppendReady(
        mOutput, mSession.mState.mPhase, std::nullopt);
    }
    return mIsOpen;
  }
  const caller_message& message = decoded.value();
  if (message.mKind == caller_message_kind::Close) {
    return false;
  }
  if (message.mKind == caller_message_kind::Open) {
    return Open(message.mDatabase);
  }
  if (!mIsOpen) {
    mContext.mPorts.mStatements.AppendError(
      mOutput, statement_error::Malformed, "no session is open");
    return false;
  }
  RunStatement(message.mStatement, aReceivedAt);
  return true;
}

bool
caller_session::Open(const std::string& aDatabase)
{
  const statement_codec& codec = mContext.mPorts.mStatements;
  if (!mContext.mDesired) {
    // Shortly after a start, the first response of the store is still pending.
    mContext.mDesiredKnown.WaitUntil(mContext.Now() +
                                     mContext.mSettings.mMaxSessionOpenWait);
  }
  const auto& desired = mContext.mDesired;
  const bool isKnown = desired && desired->mRoutes.count(aDatabase) > 0;
  if (mIsOpen || !isKnown) {
    const statement_error reason = mIsOpen   ? statement_error::Malformed
                                   : desired ? statement_error::NoSuchDatabase
                                             : statement_error::Busy;
    LogDecision(mContext.Now(),
                true,
                "caller",
                "Session open request rejected; connection closes. database={} "
                "error={} version={}",
                aDatabase,
                StatementErrorName(reason),
                desired ? desired->mVersion : 0);
    codec.AppendError(mOutput, reason, aDatabase);
    return false;
  }
  mIsOpen = true;
  mSession.mDatabase = aDatabase;
  codec.AppendReady(mOutput, session_phase::Idle, std::nullopt);
  return true;
}

void
caller_session::RunStatement(const statement& aStatement,
                             time_point aReceivedAt)
{
  const statement_outcome outcome =
    mService.ExecuteStatement(mSession, aStatement, aReceivedAt);
  AppendResponse(aStatement, outcome, aReceivedAt);
}

void
caller_session::AppendResponse(const statement& aStatement,
                               const statement_outcome& aOutcome,
                               time_point aReceivedAt)
{
  const statement_codec& codec = mContext.mPorts.mStatements;
  if (aOutcome.mError) {
    codec.AppendError(mOutput, *aOutcome.mError, aOutcome.mDetail);
  } else if (aOutcome.mLines.empty()) {
    codec.AppendDone(mOutput);
  } else {
    mOutput += aOutcome.mLines;
  }
  codec.AppendReady(mOutput, mSession.mState.mPhase, aOutcome.mPosition);
  const time_point now = mContext.Now();
  const nanoseconds elapsed = now - aReceivedAt;
  mContext.mMetrics.mStatementSeconds.Observe(
    std::chrono::duration<double>(elapsed).count());
  const std::string_view outcomeName =
    aOutcome.mError ? StatementErrorName(*aOutcome.mError) : "done";
  mContext.mMetrics.CountStatement(std::string(outcomeName));
  if (aOutcome.mInstance.empty() && !aOutcome.mError) {
    return;
  }
  mHasCompletedOperation = true;
  LogDecision(now,
              aOutcome.mError.has_value(),
              "route",
              "Statement answered; response queued for caller. id={} "
              "database={} instance={} end={} "
              "tries={} taken_ms={} version={} detail=\"{}\"",
              aStatement.mId,
              mSession.mDatabase,
              aOutcome.mInstance,
              outcomeName,
              aOutcome.mAttempts,
              std::chrono::duration_cast<milliseconds>(elapsed).count(),
              mSession.mDesired ? mSession.mDesired->mVersion : 0,
              aOutcome.mDetail);
}

void
caller_session::EndWhenIdle(nanoseconds aMinIdleTime)
{
  mEndWhenIdle = true;
  const bool isIdle = mContext.Now() - mLastAnsweredAt >= aMinIdleTime;
  if (!mIsProcessing && isIdle && !IsInTransaction()) {
    // Closing the stream completes the pending WaitReadable, which ends the
    // session.
    mStream->Close();
  }
}

void
caller_session::EndIdleTransaction(time_point aNow)
{
  if (mIsProcessing || !mSession.mTransaction || !mSession.mDesired) {
    return;
  }
  const open_transaction& transaction = *mSession.mTransaction;
  if (!transaction.mUpstreamConnection ||
      aNow - transaction.mIdleSince <
        mSession.mDesired->mTransactionIdleTimeout) {
    return;
  }
  LogDecision(
    aNow,
    true,
    "caller",
    "Transaction ended, its caller paused too long; rolling back. id={} "
    "database={}",
    transaction.mBeginStatement.mId,
    mSession.mDatabase);
  mService.AbortTransaction(mSession);
  mSession.mTransaction.emplace();
  mSession.mState.mPhase = session_phase::TransactionFailed;
}

void
caller_session::Abort()
{
  mEndWhenIdle = true;
  mStream->Close();
}

void
caller_session::End()
{
  if (mEnded) {
    return;
  }
  mEnded = true;
  mService.AbortTransaction(mSession);
  mStream->Close();
  mOnEnded(*this);
}

} // namespace catkinloom
