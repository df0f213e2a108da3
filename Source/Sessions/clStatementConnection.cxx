#include "clStatementConnection.h"

#include "clLog.h"

namespace catkinloom {

namespace {

/// Name of the barrier's statement on the instance.  Names of callers'
/// statements begin with another letter.
constexpr std::string_view kBarrierName = "f";

/// Number of pairs of statements of a barrier.  Acknowledgements of earlier
/// statements could pass for those of a single pair.
constexpr std::size_t kBarrierPairs = 2;

/// What a line adds to a response.
enum class line_effect
{
  Added,
  /// The response is complete.
  Completed,
  Undecodable,
};

line_effect
AddLine(statement_reply& aReply,
        const statement_codec& aCodec,
        std::string_view aLine)
{
  const auto decoded = aCodec.DecodeUpstreamLine(aLine);
  if (!decoded) {
    Log(log_level::Warning,
        "upstream",
        "Upstream response could not be decoded; connection closed. cause={}",
        decoded.error().mDetail);
    return line_effect::Undecodable;
  }
  const upstream_line& line = decoded.value();
  if (line.mKind == upstream_line_kind::Ready) {
    aReply.mPhase = line.mPhase;
    aReply.mPosition = line.mPosition;
    return line_effect::Completed;
  }
  if (aReply.mHasResult) {
    // A response has one result, and no row after it.
    return line_effect::Undecodable;
  }
  aCodec.AppendRelayed(aReply.mLines, aLine);
  if (line.mKind == upstream_line_kind::Row) {
    ++aReply.mRows;
    aReply.mLastRow = line.mContent;
    return line_effect::Added;
  }
  aReply.mHasResult = true;
  aReply.mText = line.mContent;
  if (line.mKind != upstream_line_kind::Error) {
    return line_effect::Added;
  }
  aReply.mError = line.mError;
  // After either error the instance closes the connection without READY.
  const bool isLast = line.mError == statement_error::WrongInstance ||
                      line.mError == statement_error::ConnectionLimit;
  return isLast ? line_effect::Completed : line_effect::Added;
}

} // namespace

statement_connection::statement_connection(event_loop& aLoop,
                                           const statement_codec& aCodec,
                                           std::size_t aMaxLineBytes)
  : mLoop(aLoop)
  , mCodec(aCodec)
  , mStream(std::make_shared<line_stream>(aLoop, aMaxLineBytes))
{
}

statement_reply
statement_connection::Open(const instance_entry& aEntry,
                           const std::string& aProxy,
                           nanoseconds aConnectTimeout,
                           nanoseconds aAnswerTimeout)
{
  const time_point start = mLoop.Clock().Now();
  if (const auto connected = mStream->Connect(aEntry.mAddress, aConnectTimeout);
      !connected) {
    Log(log_level::Info,
        "upstream",
        "Connection failed; nothing was sent. instance={} cause={}",
        aEntry.mId,
        connected.error().mDetail);
    statement_reply reply;
    if (connected.error().mKind == error_kind::UpstreamRefused) {
      reply.mOutcome = exchange_outcome::NoListener;
    }
    return reply;
  }
  statement_batch batch;
  batch.Add({ response_kind::Opened, std::nullopt }, [&](std::string& aOut) {
    mCodec.AppendOpen(aOut, aEntry.mService, aProxy, aEntry.mId);
  });
  const nanoseconds remaining = aAnswerTimeout - (mLoop.Clock().Now() - start);
  statement_reply reply =
    Exchange(batch, std::max<nanoseconds>(remaining, milliseconds(1)));
  if (!reply.IsSuccess()) {
    Close();
  }
  return reply;
}

bool
statement_connection::IsReusable()
{
  if (!mStream->ReadAvailable()) {
    return false;
  }
  std::string_view line;
  statement_reply response;
  bool isPartial = false;
  while (mStream->NextBufferedLine(line)) {
    const line_effect effect = AddLine(response, mCodec, line);
    isPartial = effect == line_effect::Added;
    if (isPartial) {
      continue;
    }
    if (effect == line_effect::Undecodable || !mCheck.IsForeign(response)) {
      return false;
    }
    ++mForeignResponses;
    response = {};
  }
  return !isPartial && !mStream->HasBufferedData();
}

statement_reply
statement_connection::Exchange(const statement_batch& aBatch,
                               nanoseconds aTimeout)
{
  const time_point sentAt = mLoop.Clock().Now();
  const time_point deadline = sentAt + aTimeout;
  mLastUsedAt = sentAt;
  statement_reply reply;
  reply.mSentAt = sentAt;
  if (!IsOpen()) {
    return reply;
  }
  // What a new connection receives before its first message is sent answers
  // that message: an instance may refuse a connection at once.
  const bool isOpening =
    aBatch.mExpected.front().mKind == response_kind::Opened;
  if (!isOpening && !IsReusable()) {
    reply.mIsOutOfStep = IsOpen();
    Close();
    return reply;
  }
  std::string withBarrier;
  if (aBatch.mHasBarrier) {
    withBarrier = aBatch.mBytes;
    AppendBarrier(withBarrier, aBatch.mExpected.back().mPhase);
  }
  if (!mStream->Write(aBatch.mHasBarrier ? withBarrier : aBatch.mBytes,
                      aTimeout)) {
    reply.mOutcome = exchange_outcome::Broken;
    Close();
    return reply;
  }
  response_verdict verdict = response_verdict::Accepted;
  for (const expected_response& step : aBatch.mExpected) {
    expected_response expected = step;
    if (step.mKind == response_kind::Signed && !step.mPhase) {
      expected.mPhase = mPhase;
    }
    reply = ReadResponse(expected, deadline, verdict);
    reply.mSentAt = sentAt;
    const bool isLast = &step == &aBatch.mExpected.back();
    if (!reply.IsAnswered() || (!isLast && !reply.IsSuccess())) {
      Close();
    }
    if (!IsOpen()) {
      break;
    }
  }
  const bool needsBarrier =
    aBatch.mHasBarrier || verdict == response_verdict::UnconfirmedError;
  if (needsBarrier && reply.IsAnswered() && !IsOpen()) {
    reply.mOutcome = exchange_outcome::Broken;
    reply.mError.reset();
  } else if (IsOpen() && aBatch.mHasBarrier) {
    ReadBarrier(reply, aBatch.mExpected.back().mPhase, deadline);
  } else if (IsOpen() && needsBarrier) {
    ConfirmError(reply, aBatch.mExpected.back(), aTimeout, deadline);
  }
  if (reply.IsAnswered()) {
    mPhase = reply.mPhase;
  }
  reply.mForeignResponses = mForeignResponses;
  mForeignResponses = 0;
  mLastUsedAt = mLoop.Clock().Now();
  return reply;
}

statement_reply
statement_connection::ReadResponse(const expected_response& aExpected,
                                   time_point aDeadline,
                                   response_verdict& aVerdict)
{
  while (true) {
    statement_reply reply = ReadAny(aDeadline);
    if (!reply.IsAnswered()) {
      return reply;
    }
    aVerdict = mCheck.Check(reply, aExpected);
    if (aVerdict == response_verdict::OutOfStep) {
      reply.mOutcome = exchange_outcome::Broken;
      reply.mIsOutOfStep = true;
    }
    if (aVerdict != response_verdict::Foreign) {
      return reply;
    }
    ++mForeignResponses;
  }
}

void
statement_connection::AppendBarrier(std::string& aOut,
                                    std::optional<session_phase> aPhase) const
{
  for (std::size_t i = 0; i < kBarrierPairs; ++i) {
    if (aPhase == session_phase::Idle) {
      mCodec.AppendBeginRead(aOut);
      mCodec.AppendRollback(aOut);
    } else {
      mCodec.AppendPrepare(aOut, kBarrierName, access_mode::Read, kBarrierName);
      mCodec.AppendDeallocate(aOut, kBarrierName);
    }
  }
}

void
statement_connection::ConfirmError(statement_reply& aReply,
                                   const expected_response& aExpected,
                                   nanoseconds aTimeout,
                                   time_point aDeadline)
{
  const bool isPhasePossible =
    aReply.mPhase == mPhase || aReply.mPhase == aExpected.mPhase ||
    (aReply.mPhase == session_phase::TransactionFailed &&
     mPhase == session_phase::InTransaction);
  std::string barrier;
  AppendBarrier(barrier, aReply.mPhase);
  if (isPhasePossible && mStream->Write(barrier, aTimeout)) {
    ReadBarrier(aReply, aReply.mPhase, aDeadline);
    return;
  }
  aReply.mIsOutOfStep = !isPhasePossible;
  aReply.mOutcome = exchange_outcome::Broken;
  aReply.mError.reset();
  Close();
}

void
statement_connection::ReadBarrier(statement_reply& aReply,
                                  std::optional<session_phase> aSentIn,
                                  time_point aDeadline)
{
  const bool isIdle = aSentIn == session_phase::Idle;
  for (std::size_t i = 0; i < 2 * kBarrierPairs; ++i) {
    const session_phase phase =
      isIdle && i % 2 == 0 ? session_phase::InTransaction : aReply.mPhase;
    response_verdict verdict = response_verdict::Accepted;
    const statement_reply barrier = ReadResponse(
      { response_kind::Acknowledgement, phase }, aDeadline, verdict);
    // A failed transaction refuses every statement but its end.
    const bool isRefused = barrier.IsAnswered() && barrier.mError &&
                           barrier.mPhase == session_phase::TransactionFailed &&
                           phase == session_phase::TransactionFailed;
    if (barrier.IsSuccess() || isRefused) {
      continue;
    }
    aReply.mIsOutOfStep = barrier.IsAnswered() || barrier.mIsOutOfStep;
    aReply.mOutcome =
      barrier.IsAnswered() ? exchange_outcome::Broken : barrier.mOutcome;
    aReply.mError.reset();
    Close();
    return;
  }
}

statement_reply
statement_connection::ReadAny(time_point aDeadline)
{
  statement_reply reply;
  while (true) {
    std::string_view line;
    const nanoseconds remaining =
      std::max<nanoseconds>(aDeadline - mLoop.Clock().Now(), milliseconds(1));
    const line_read_result readResult = mStream->ReadLine(line, remaining);
    if (readResult != line_read_result::Line) {
      reply.mOutcome = readResult == line_read_result::TimedOut
                         ? exchange_outcome::TimedOut
                         : exchange_outcome::Broken;
      return reply;
    }
    const line_effect effect = AddLine(reply, mCodec, line);
    if (effect == line_effect::Undecodable) {
      reply.mOutcome = exchange_outcome::Broken;
      return reply;
    }
    if (effect == line_effect::Completed) {
      reply.mOutcome = exchange_outcome::Answered;
      return reply;
    }
  }
}

} // namespace catkinloom
