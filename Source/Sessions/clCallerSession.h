#pragma once

#include "clLineStream.h"
#include "clStatementService.h"

#include <functional>
#include <memory>
#include <string>

namespace catkinloom {

/// One caller's connection.  A fiber runs only while there are messages; an
/// idle session holds its socket and its state.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
  /// Called once when the session has ended.
  using ended_handler = std::function<void(caller_session&)>;

  caller_session(session_context& aContext,
                 statement_service& aService,
                 std::shared_ptr<line_stream> aStream,
                 ended_handler aOnEnded);

  void Start();

  /// Ends the session after its next operation, or now if its caller has been
  /// quiet for aMinIdleTime: a caller that is about to send would lose its
  /// message.
  void EndWhenIdle(nanoseconds aMinIdleTime);

  /// Ends a transaction whose caller has paused for too long.
  void EndIdleTransaction(time_point aNow);

  /// Ends the session now, whatever it does.
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
  bool mIsOpen = false;
  bool mIsProcessing = false;
  bool mEnded = false;
  bool mEndWhenIdle = false;
  /// Something ran on an instance since the last message.
  bool mHasCompletedOperation = false;
  time_point mLastAnsweredAt;
};

} // namespace catkinloom
