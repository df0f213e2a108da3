#pragma once

#include "clClock.h"
#include "clError.h"
#include "clLogPosition.h"
#include "clStatement.h"

#include <optional>
#include <string>
#include <string_view>

namespace catkinloom {

/// What a caller sent on its connection.
enum class caller_message_kind
{
  /// Opens a session on a database.
  Open,
  Statement,
  /// Ends the session.
  Close,
};

/// One decoded message of a caller.
struct caller_message
{
  caller_message_kind mKind = caller_message_kind::Close;
  /// Open: the database.
  std::string mDatabase;
  /// Statement: what is to be run.
  statement mStatement;
};

/// What a line from an upstream instance is.
enum class upstream_line_kind
{
  /// A row of the answer.
  Row,
  /// The statement succeeded.
  Done,
  /// The statement failed with mError.
  Error,
  /// The answer is whole; carries mPhase and mPosition.
  Ready,
};

/// One decoded line from an upstream instance.
struct upstream_line
{
  upstream_line_kind mKind = upstream_line_kind::Row;
  statement_error mError = statement_error::Failed;
  session_phase mPhase = session_phase::Idle;
  /// End of the instance's log; empty when the instance did not tell.
  std::optional<log_position> mPosition;
  /// Row: its content.  Done: the instance's signature.
  std::string_view mContent;
};

/// What an instance says of itself when asked.
struct instance_status
{
  bool mLeads = false;
  term_number mTerm = 0;
  /// End of the log that it has received, applied or not.
  log_position mReceived;
  /// Term up to which it was told to stop receiving; 0 when it receives.
  term_number mPausedTerm = 0;
  milliseconds mLag{ 0 };
  std::uint32_t mBusySlots = 0;
  std::uint32_t mConnections = 0;
};

/// Orders that the proxy gives to an instance.
enum class instance_command
{
  /// Tell about yourself.
  Status,
  /// Stop receiving up to a term.
  Pause,
  /// Receive again.
  Resume,
  /// Stop leading if the term is higher than your own.
  StepDown,
};

/// Reads and writes the messages of callers and upstream instances.
class statement_codec
{
public:
  virtual ~statement_codec() = default;

  /// Reads one line of a caller, without its end.  Errors: BadRequest.
  virtual result<caller_message> DecodeCallerMessage(
    std::string_view aLine) const = 0;

  /// The session takes its next statement.
  virtual void AppendReady(std::string& aOut,
                           session_phase aPhase,
                           std::optional<log_position> aPosition) const = 0;
  /// Passes on a line of an instance's answer.
  virtual void AppendRelayed(std::string& aOut,
                             std::string_view aLine) const = 0;
  /// A statement that the proxy answered itself succeeded.
  virtual void AppendDone(std::string& aOut) const = 0;
  virtual void AppendError(std::string& aOut,
                           statement_error aError,
                           std::string_view aDetail) const = 0;

  /// Opens a connection to an instance, refused by any other instance.
  virtual void AppendOpen(std::string& aOut,
                          std::string_view aService,
                          std::string_view aProxy,
                          std::string_view aInstance) const = 0;

  /// A caller's statement, unchanged, refused unless the log reaches aFloor.
  virtual void AppendStatement(std::string& aOut,
                               std::string_view aId,
                               std::string_view aText,
                               std::optional<log_position> aFloor) const = 0;

  /// Runs a prepared statement under the name that the connection knows.
  virtual void AppendExecute(std::string& aOut,
                             std::string_view aId,
                             std::string_view aName,
                             std::string_view aArguments,
                             std::optional<log_position> aFloor) const = 0;

  virtual void AppendSetValue(std::string& aOut,
                              std::string_view aName,
                              std::string_view aValue) const = 0;
  virtual void AppendPrepare(std::string& aOut,
                             std::string_view aName,
                             access_mode aMode,
                             std::string_view aShape) const = 0;
  /// Clears values and prepared statements.
  virtual void AppendReset(std::string& aOut) const = 0;
  virtual void AppendRollback(std::string& aOut) const = 0;
  virtual void AppendCommand(std::string& aOut,
                             instance_command aCommand,
                             term_number aTerm) const = 0;

  /// Reads one line of an instance, without its end.  Errors: BadRequest.
  virtual result<upstream_line> DecodeUpstreamLine(
    std::string_view aLine) const = 0;

  /// Reads the row with which an instance answers an order.
  virtual result<instance_status> DecodeInstanceStatus(
    std::string_view aRow) const = 0;
};

} // namespace catkinloom
