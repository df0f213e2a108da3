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
        "Connection failed. instance={} cause={}",
        aEntry.mId,
        connected.error().mDetail);
    return {};
  }
  std::string bytes;
  mCodec.AppendOpen(bytes, aEntry.mService, aProxy, aEntry.mId);
  const nanoseconds left = aAnswerTimeout - (mLoop.Clock().Now() - start);
  statement_reply reply =
    Exchange(bytes, std::max<nanoseconds>(left, milliseconds(1)));
  if (!reply.IsSuccess()) {
    Close();
  }
  return reply;
}

statement_reply
statement_connection::Exchange(std::string_view aBytes, nanoseconds aTimeout)
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
  reply = ReadReply(sentAt, aTimeout);
  if (!reply.IsAnswered()) {
    Close();
  }
  mLastUsedAt = mLoop.Clock().Now();
  return reply;
}

statement_reply
statement_connection::ReadReply(time_point aSentAt, nanoseconds aTimeout)
{
  statement_reply reply;
  reply.mSentAt = aSentAt;
  const time_point until = aSentAt + aTimeout;
  while (true) {
    std::string_view line;
    const nanoseconds left =
      std::max<nanoseconds>(until - mLoop.Clock().Now(), milliseconds(1));
    const line_read end = mStream->ReadLine(line, left);
    if (end != line_read::Line) {
      reply.mOutcome = end == line_read::TimedOut ? exchange_outcome::TimedOut
                                                  : exchange_outcome::Broken;
      return reply;
    }
    const auto decoded = mCodec.DecodeUpstreamLine(line);
    if (!decoded) {
      Log(log_level::Warning,
          "upstream",
          "Answer can't be read, connection closed. cause={}",
          decoded.error().mDetail);
      reply.mOutcome = exchange_outcome::Broken;
      return reply;
    }
    const upstream_line& part = decoded.value();
    if (part.mKind == upstream_line_kind::Ready) {
      reply.mPhase = part.mPhase;
      reply.mPosition = part.mPosition;
      reply.mOutcome = exchange_outcome::Answered;
      return reply;
    }
    mCodec.AppendRelayed(reply.mLines, line);
    if (part.mKind == upstream_line_kind::Row) {
      reply.mLastRow = part.mContent;
    }
    if (part.mKind == upstream_line_kind::Error) {
      reply.mError = part.mError;
      // A refused opening is followed by the end of the connection.
      if (part.mError == statement_error::WrongInstance ||
          part.mError == statement_error::ConnectionLimit) {
        reply.mOutcome = exchange_outcome::Answered;
        return reply;
      }
    }
  }
}

} // namespace catkinloom
