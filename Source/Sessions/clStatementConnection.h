#pragma once

#include "clEventLoop.h"
#include "clInstanceEntry.h"
#include "clLineStream.h"
#include "clSessionSettings.h"
#include "clSessionState.h"
#include "clStatementCodec.h"

#include <memory>
#include <optional>
#include <string>

namespace catkinloom {

/// How one exchange with an instance ended.
enum class exchange_outcome
{
  /// The whole answer came.
  Answered,
  /// Nothing left this process.
  NotSent,
  /// The connection ended before the answer was whole.
  Broken,
  /// The answer did not come in time.
  TimedOut,
};

/// An instance's answer to one statement.
struct statement_reply
{
  exchange_outcome mOutcome = exchange_outcome::NotSent;
  /// Every line of the answer but the last, as it may be passed on.
  std::string mLines;
  /// Content of the last row.
  std::string mLastRow;
  /// Empty when the statement succeeded.
  std::optional<statement_error> mError;
  session_phase mPhase = session_phase::Idle;
  std::optional<log_position> mPosition;
  time_point mSentAt;

  bool IsAnswered() const { return mOutcome == exchange_outcome::Answered; }
  bool IsSuccess() const { return IsAnswered() && !mError; }
  bool HasError(statement_error aError) const
  {
    return IsAnswered() && mError == aError;
  }
};

/// One connection to an upstream instance, used by one fiber at a time.
///
/// After an exchange that was not answered in full the connection is closed,
/// since a late answer would be taken for the next statement's.
class statement_connection
{
public:
  statement_connection(event_loop& aLoop,
                       const statement_codec& aCodec,
                       std::size_t aMaxLineBytes);

  /// Connects to exactly this instance.  The reply's error tells why the
  /// instance refused.
  statement_reply Open(const instance_entry& aEntry,
                       const std::string& aProxy,
                       nanoseconds aTimeout)
  {
    return Open(aEntry, aProxy, aTimeout, aTimeout);
  }

  /// The same with a time of its own for the instance's answer: a busy
  /// instance accepts at once and answers late.
  statement_reply Open(const instance_entry& aEntry,
                       const std::string& aProxy,
                       nanoseconds aConnectTimeout,
                       nanoseconds aAnswerTimeout);

  /// Sends bytes that hold one statement and reads its whole answer.
  statement_reply Exchange(std::string_view aBytes, nanoseconds aTimeout);

  bool IsOpen() const { return mStream->IsOpen(); }
  bool IsQuiet() { return mStream->IsQuiet(); }
  void Close() { mStream->Close(); }

  /// What the connection is known to hold.
  connection_session_state mKnownState;
  /// When it was last used.
  time_point mLastUsedAt;

private:
  statement_reply ReadReply(time_point aSentAt, nanoseconds aTimeout);

  event_loop& mLoop;
  const statement_codec& mCodec;
  std::shared_ptr<line_stream> mStream;
};

} // namespace catkinloom
