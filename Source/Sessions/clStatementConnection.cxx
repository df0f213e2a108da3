#include "clStatementConnection.h"

#include "clLog.h"

namespace catkinloom {

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
  std::string bytes;
  mCodec.AppendOpen(bytes, aEntry.mService, aProxy, aEntry.mId);
  const nanoseconds remaining = aAnswerTimeout - (mLoop.Clock().Now() - start);
  statement_reply reply =
    Exchange(bytes, std::max<nanoseconds>(remaining, milliseconds(1)));
  if (!reply.IsSuccess()) {
    Close();
  }
  return reply;
}

statement_reply
statement_connection::ExchangeBatch(std::string_view aBytes,
                                    std::size_t aCount,
                                    nanoseconds aTimeout)
{
  const time_point sentAt = mLoop.Clock().Now();
  mLastUsedAt = sentAt;
  statement_reply reply;
  reply.mSentAt = sentAt;
  if (!IsOpen()) {
    return reply;
  }
  if (!mStream->Write(aBytes, aTimeout)) {
    reply.mOutcome = exchange_outcome::Broken;
    Close();
    return reply;
  }
  for (std::size_t i = 0; i < aCount && IsOpen(); ++i) {
    reply = ReadReply(sentAt, aTimeout);
    const bool isLast = i + 1 == aCount;
    if (!reply.IsAnswered() || (!isLast && !reply.IsSuccess())) {
      Close();
    }
  }
  mLastUsedAt = mLoop.Clock().Now();
  return reply;
}

statement_reply
statement_connection::ReadReply(time_point aSentAt, nanoseconds aTimeout)
{
  statement_reply reply;
  reply.mSentAt = aSentAt;
  const time_point deadline = aSentAt + aTimeout;
  while (true) {
    std::string_view line;
    const nanoseconds remaining =
      std::max<nanoseconds>(deadline - mLoop.Clock().Now(), milliseconds(1));
    const line_read_result readResult = mStream->ReadLine(line, remaining);
    if (readResult != line_read_result::Line) {
      reply.mOutcome = readResult == line_read_result::TimedOut
                         ? exchange_outcome::TimedOut
                         : exchange_outcome::Broken;
      return reply;
    }
    const auto decoded = mCodec.DecodeUpstreamLine(line);
    if (!decoded) {
      Log(log_level::Warning,
          "upstream",
          "Upstream response could not be decoded; connection closed. cause={}",
          decoded.error().mDetail);
      reply.mOutcome = exchange_outcome::Broken;
      return reply;
    }
    const upstream_line& decodedLine = decoded.value();
    if (decodedLine.mKind == upstream_line_kind::Ready) {
      reply.mPhase = decodedLine.mPhase;
      reply.mPosition = decodedLine.mPosition;
      reply.mOutcome = exchange_outcome::Answered;
      return reply;
    }
    mCodec.AppendRelayed(reply.mLines, line);
    if (decodedLine.mKind == upstream_line_kind::Row) {
      reply.mLastRow = decodedLine.mContent;
    }
    if (decodedLine.mKind == upstream_line_kind::Error) {
      reply.mError = decodedLine.mError;
      // After either error the instance closes the connection without READY.
      if (decodedLine.mError == statement_error::WrongInstance ||
          decodedLine.mError == statement_error::ConnectionLimit) {
        reply.mOutcome = exchange_outcome::Answered;
        return reply;
      }
    }
  }
}

} // namespace catkinloom
