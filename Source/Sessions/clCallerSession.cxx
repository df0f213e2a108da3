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
  , mAnsweredAt(aContext.Now())
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
  mStream->AwaitBytes([self = shared_from_this()](bool aIsOpen) {
    if (!aIsOpen) {
      self->End();
      return;
    }
    self->mWorking = true;
    self->mContext.mLoop.Spawn([self] { self->Work(); });
  });
}

void
caller_session::Work()
{
  const time_point receivedAt = mContext.Now();
  mServed = false;
  std::string_view line;
  bool goOn = true;
  while (goOn && mStream->TakeLine(line)) {
    goOn = Handle(line, receivedAt);
  }
  if (goOn && mStream->IsLineTooLong()) {
    mContext.mPorts.mStatements.AppendError(
      mOut, statement_error::TooLarge, "message too long");
    goOn = false;
  }
  if (!mOut.empty()) {
    goOn = mStream->Write(mOut, mContext.mSettings.mCallerWriteTimeout) && goOn;
    mOut.clear();
  }
  mWorking = false;
  mAnsweredAt = mContext.Now();
  if (!goOn || (mEndWhenIdle && mServed && !IsInTransaction())) {
    End();
    return;
  }
  AwaitMessages();
}

bool
caller_session::Handle(std::string_view aLine, time_point aReceivedAt)
{
  const auto decoded = mContext.mPorts.mStatements.DecodeCallerMessage(aLine);
  if (!decoded) {
    Log(log_level::Info,
        "caller",
        "Message can't be read. cause={}",
        decoded.error().mDetail);
    mContext.mPorts.mStatements.AppendError(
      mOut, statement_error::Malformed, decoded.error().mDetail);
    if (mOpened) {
      mContext.mPorts.mStatements.AppendReady(
        mOut, mSession.mState.mPhase, std::nullopt);
    }
    return mOpened;
  }
  const caller_message& message = decoded.value();
  if (message.mKind == caller_message_kind::Close) {
    return false;
  }
  if (message.mKind == caller_message_kind::Open) {
    return Open(message.mDatabase);
  }
  if (!mOpened) {
    mContext.mPorts.mStatements.AppendError(
      mOut, statement_error::Malformed, "no session is open");
    return false;
  }
  Run(message.mStatement, aReceivedAt);
  return true;
}

bool
caller_session::Open(const std::string& aDatabase)
{
  const statement_codec& codec = mContext.mPorts.mStatements;
  if (!mContext.mDesired) {
    // This process has just started and asks the store; the answer is due.
    mContext.mDesiredKnown.WaitUntil(mContext.Now() +
                                     mContext.mSettings.mOpenWait);
  }
  const auto& desired = mContext.mDesired;
  const bool known = desired && desired->mRoutes.count(aDatabase) > 0;
  if (mOpened || !known) {
    const statement_error why = mOpened   ? statement_error::Malformed
                                : desired ? statement_error::NoSuchDatabase
                                          : statement_error::Busy;
    LogDecision(mContext.Now(),
                true,
                "caller",
                "Session refused. database={} error={} version={}",
                aDatabase,
                StatementErrorName(why),
                desired ? desired->mVersion : 0);
    codec.AppendError(mOut, why, aDatabase);
    return false;
  }
  mOpened = true;
  mSession.mDatabase = aDatabase;
  codec.AppendReady(mOut, session_phase::Idle, std::nullopt);
  return true;
}

void
caller_session::Run(const statement& aStatement, time_point aReceivedAt)
{
  const statement_outcome outcome =
    mService.ExecuteStatement(mSession, aStatement, aReceivedAt);
  Answer(aStatement, outcome, aReceivedAt);
}

void
caller_session::Answer(const statement& aStatement,
                       const statement_outcome& aOutcome,
                       time_point aReceivedAt)
{
  const statement_codec& codec = mContext.mPorts.mStatements;
  if (aOutcome.mError) {
    codec.AppendError(mOut, *aOutcome.mError, aOutcome.mDetail);
  } else if (aOutcome.mLines.empty()) {
    codec.AppendDone(mOut);
  } else {
    mOut += aOutcome.mLines;
  }
  codec.AppendReady(mOut, mSession.mState.mPhase, aOutcome.mPosition);
  const time_point now = mContext.Now();
  const nanoseconds taken = now - aReceivedAt;
  mContext.mMetrics.mStatementSeconds.Observe(
    std::chrono::duration<double>(taken).count());
  const std::string_view end =
    aOutcome.mError ? StatementErrorName(*aOutcome.mError) : "done";
  mContext.mMetrics.CountStatement(std::string(end));
  if (aOutcome.mInstance.empty() && !aOutcome.mError) {
    return;
  }
  mServed = true;
  LogDecision(now,
              aOutcome.mError.has_value(),
              "route",
              "Statement answered. id={} database={} instance={} end={} "
              "tries={} taken_ms={} version={} detail=\"{}\"",
              aStatement.mId,
              mSession.mDatabase,
              aOutcome.mInstance,
              end,
              aOutcome.mAttempts,
              std::chrono::duration_cast<milliseconds>(taken).count(),
              mSession.mDesired ? mSession.mDesired->mVersion : 0,
              aOutcome.mDetail);
}

void
caller_session::EndWhenIdle(nanoseconds aQuiet)
{
  mEndWhenIdle = true;
  const bool quiet = mContext.Now() - mAnsweredAt >= aQuiet;
  if (!mWorking && quiet && !IsInTransaction()) {
    // The pending wait for messages ends the session.
    mStream->Close();
  }
}

void
caller_session::EndIdleTransaction(time_point aNow)
{
  if (mWorking || !mSession.mTransaction || !mSession.mDesired) {
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
    "Transaction ended, its caller paused too long. id={} database={}",
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
