#pragma once

#include "clLineStream.h"
#include "clStatementService.h"

#include <functional>
#include <memory>
#include <string>

namespace catkinloom {

/// One caller's connection.  A fiber exists only while messages are processed;
/// an idle session costs only its socket and its state.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
  /// Called once, after the session has ended.
  using ended_handler = std::function<void(caller_session&)>;

  caller_session(session_context& aContext,
                 statement_service& aService,
                 std::shared_ptr<line_stream> aStream,
                 ended_handler aOnEnded);

  void Start();

  /// Ends the session after its next operation, or now if it has been idle for
  /// at least aMinIdleTime.  Ending it sooner could lose a message that the
  /// caller is about to send.  Never ends a session within a transaction.
  void EndWhenIdle(nanoseconds aMinIdleTime);

  /// Rolls back a transaction that has exceeded the idle time limit.  Only
  /// ROLLBACK or COMMIT is accepted afterwards.
  void EndIdleTransaction(time_point aNow);

  /// Closes the connection at once, also within a transaction or statement.
  void Abort();

  bool IsInTransaction() const { return mSession.mTransaction.has_value(); }
  bool IsProcessing() const { return mIsProcessing; }

private:
  void AwaitMessages();
  void ProcessMessages();
  bool HandleMessage(std::string_view aLine, time_point aReceivedAt);
  bool Open(const std::string& aDatabase);
  void RunStatement(const statement& aStatement, time_point aReceivedAt);
  void AppendResponse(const statement& aStatement,
                      const statement_outcome& aOutcome,
                      time_point aReceivedAt);
  void End();

  session_context& mContext;
  statement_service& mService;
  std::shared_ptr<line_stream> mStream;
  ended_handler mOnEnded;
  active_session mSession;
  std::string mOutput;
  /// The caller has opened its session on a database.
  bool mIsOpen = false;
  bool mIsProcessing = false;
  bool mEnded = false;
  bool mEndWhenIdle = false;
  /// Since processing last started, a statement ran on an instance or failed.
  bool mHasCompletedOperation = false;
  time_point mLastAnsweredAt;
};

} // namespace catkinloom
