#pragma once

#include "clEventLoop.h"
#include "clInstanceEntry.h"
#include "clLineStream.h"
#include "clResponseCheck.h"
#include "clSessionSettings.h"
#include "clSessionState.h"
#include "clStatementBatch.h"
#include "clStatementCodec.h"

#include <memory>
#include <optional>
#include <string>

namespace catkinloom {

/// How one exchange with an instance ended.
enum class exchange_outcome
{
  /// The complete response was received.
  Answered,
  /// Nothing was sent.
  NotSent,
  /// Nothing was sent: no process listens at the instance's address.
  NoListener,
  /// The connection failed before the response was complete, or what was
  /// received is not the response.
  Broken,
  /// The response was not complete within the time limit.
  TimedOut,
};

/// An instance's response to one statement.
struct statement_reply : received_response
{
  exchange_outcome mOutcome = exchange_outcome::NotSent;
  /// All lines of the response except the final READY line, unchanged, for
  /// forwarding to the caller.
  std::string mLines;
  /// Content of the last row.
  std::string mLastRow;
  std::optional<log_position> mPosition;
  time_point mSentAt;
  /// Responses to earlier statements that were received, and ignored.
  std::uint32_t mForeignResponses = 0;
  /// The connection was closed since what was received on it fits no statement.
  bool mIsOutOfStep = false;

  /// The statement was not sent.
  bool IsUnsent() const
  {
    return mOutcome == exchange_outcome::NotSent ||
           mOutcome == exchange_outcome::NoListener;
  }
  /// The response is complete; it may be an error.
  bool IsAnswered() const { return mOutcome == exchange_outcome::Answered; }
  bool IsSuccess() const { return IsAnswered() && !mError; }
  bool HasError(statement_error aError) const
  {
    return IsAnswered() && mError == aError;
  }
};

/// One connection to an upstream instance, used by one fiber at a time.
///
/// The connection is closed after an exchange whose response is incomplete,
/// because a late response would be taken for that of the next statement.
/// Responses to earlier statements are recognised by response_check.
class statement_connection
{
public:
  statement_connection(event_loop& aLoop,
                       const statement_codec& aCodec,
                       std::size_t aMaxLineBytes);

  /// Connects to the instance; any other instance at its address rejects the
  /// connection.  The reply's error is the reason for a rejection.
  statement_reply Open(const instance_entry& aEntry,
                       const std::string& aProxy,
                       nanoseconds aTimeout)
  {
    return Open(aEntry, aProxy, aTimeout, aTimeout);
  }

  /// As above, with a shorter limit for the TCP connection than for the whole
  /// call: an overloaded instance accepts at once and responds late.
  /// aAnswerTimeout counts from the start of the call.
  statement_reply Open(const instance_entry& aEntry,
                       const std::string& aProxy,
                       nanoseconds aConnectTimeout,
                       nanoseconds aAnswerTimeout);

  /// Sends the statements of a batch at once and reads their responses.
  /// Returns the response to the last one.  If an earlier one is not
  /// successful, returns its response and closes the connection, since the
  /// later statements were executed without its effect.
  statement_reply Exchange(const statement_batch& aBatch, nanoseconds aTimeout);

  bool IsOpen() const { return mStream->IsOpen(); }
  /// Ignores responses to earlier statements that were received meanwhile.
  /// False if the instance closed the connection or sent something else.
  bool IsReusable();
  /// True if a new connection should take the place of this one.
  bool IsUsedUp() const { return mCheck.IsFull(); }
  /// True if an error was received on this connection.
  bool HasReceivedError() const { return mCheck.HasReceivedError(); }
  void Close() { mStream->Close(); }

  /// Values and prepared statements that the instance has acknowledged on this
  /// connection.
  connection_session_state mKnownState;
  time_point mLastUsedAt;

private:
  /// Reads responses until one belongs to the statement that was sent.  The
  /// verdict on it is stored in aVerdict.
  statement_reply ReadResponse(const expected_response& aExpected,
                               time_point aDeadline,
                               response_verdict& aVerdict);
  /// Reads one complete response.
  statement_reply ReadAny(time_point aDeadline);
  /// Encodes statements without effect, whose responses show that the one
  /// before them was the last that was outstanding.  Outside a transaction they
  /// differ in their phases, so that no single response passes for both.
  /// aPhase is the phase in which the instance executes them.
  void AppendBarrier(std::string& aOut,
                     std::optional<session_phase> aPhase) const;
  /// Sends a barrier after an error that may be an earlier one; see
  /// ReadBarrier.
  void ConfirmError(statement_reply& aReply,
                    const expected_response& aExpected,
                    nanoseconds aTimeout,
                    time_point aDeadline);
  /// Reads the responses to the barrier that was sent for aSentIn.  Marks
  /// aReply as unanswered and closes the connection if they show that aReply
  /// belongs to another statement.
  void ReadBarrier(statement_reply& aReply,
                   std::optional<session_phase> aSentIn,
                   time_point aDeadline);

  event_loop& mLoop;
  const statement_codec& mCodec;
  std::shared_ptr<line_stream> mStream;
  response_check mCheck;
  /// Phase of the session after the last response.
  session_phase mPhase = session_phase::Idle;
  /// Responses ignored since the last exchange.
  std::uint32_t mForeignResponses = 0;
};

} // namespace catkinloom
