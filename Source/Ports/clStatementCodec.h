#pragma once

#include "clClock.h"
#include "clError.h"
#include "clLogPosition.h"
#include "clStatement.h"

#include <optional>
#include <string>
#include <string_view>

namespace catkinloom {

/// Type of a caller's message.
enum class caller_message_kind
{
  /// Opens a session on a database.
  Open,
  Statement,
  /// Ends the session.
  Close,
};

/// A decoded message from a caller.
struct caller_message
{
  caller_message_kind mKind = caller_message_kind::Close;
  /// Open: database name.
  std::string mDatabase;
  /// Statement: the statement to execute.
  statement mStatement;
};

/// Type of a line from an upstream instance.
enum class upstream_line_kind
{
  /// A result row.
  Row,
  /// The statement succeeded.
  Done,
  /// The statement failed with mError.
  Error,
  /// End of the response; carries mPhase and mPosition.
  Ready,
};

/// A decoded line from an upstream instance.
struct upstream_line
{
  upstream_line_kind mKind = upstream_line_kind::Row;
  statement_error mError = statement_error::Failed;
  session_phase mPhase = session_phase::Idle;
  /// End of the instance's log; empty when the instance did not report it.
  std::optional<log_position> mPosition;
  /// Row: its content.  Done: the instance's signature, empty if it sent none.
  /// Error: code and text.  Refers into the decoded line.
  std::string_view mContent;
};

/// An instance's response to a command.
struct instance_status
{
  /// The instance reports itself as primary.
  bool mLeads = false;
  term_number mTerm = 0;
  /// End of the received log, whether applied or not.
  log_position mReceived;
  /// Term up to which replication is paused; 0 when it is not paused.
  term_number mPausedTerm = 0;
  milliseconds mLag{ 0 };
  std::uint32_t mBusySlots = 0;
  std::uint32_t mConnections = 0;
};

/// Commands that the proxy sends to an instance.
enum class instance_command
{
  /// Report the current status.
  Status,
  /// Pause replication from leaders up to a term.
  Pause,
  /// Resume replication.
  Resume,
  /// Give up leadership if the term is higher than the instance's own.
  StepDown,
};

/// Encodes and decodes messages of callers and upstream instances.
class statement_codec
{
public:
  virtual ~statement_codec() = default;

  /// Decodes one line from a caller, without its line end.  Errors: BadRequest.
  virtual result<caller_message> DecodeCallerMessage(
    std::string_view aLine) const = 0;

  /// Appends the notice that the session accepts its next statement.
  virtual void AppendReady(std::string& aOut,
                           session_phase aPhase,
                           std::optional<log_position> aPosition) const = 0;
  /// Appends a line of an instance's response unchanged.
  virtual void AppendRelayed(std::string& aOut,
                             std::string_view aLine) const = 0;
  /// Appends the success response to a statement that the proxy answers itself.
  virtual void AppendDone(std::string& aOut) const = 0;
  virtual void AppendError(std::string& aOut,
                           statement_error aError,
                           std::string_view aDetail) const = 0;

  /// Appends the opening message of an upstream connection.  An instance other
  /// than aInstance rejects it.
  virtual void AppendOpen(std::string& aOut,
                          std::string_view aService,
                          std::string_view aProxy,
                          std::string_view aInstance) const = 0;

  /// Appends a caller's statement unchanged.  The instance rejects it unless
  /// its log reaches aFloor.
  virtual void AppendStatement(std::string& aOut,
                               std::string_view aId,
                               std::string_view aText,
                               std::optional<log_position> aFloor) const = 0;

  /// Appends the execution of a prepared statement.  aName is its name on this
  /// upstream connection, not the caller's name.
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
  virtual void AppendDeallocate(std::string& aOut,
                                std::string_view aName) const = 0;
  /// Appends the command that clears the connection's values and prepared
  /// statements.
  virtual void AppendReset(std::string& aOut) const = 0;
  /// Appends the begin of a transaction of the proxy itself, which only reads.
  virtual void AppendBeginRead(std::string& aOut) const = 0;
  virtual void AppendRollback(std::string& aOut) const = 0;
  /// Appends a command.  Only Pause and StepDown use aTerm.
  virtual void AppendCommand(std::string& aOut,
                             instance_command aCommand,
                             term_number aTerm) const = 0;

  /// Decodes one line from an instance, without its line end.  Errors:
  /// BadRequest.
  virtual result<upstream_line> DecodeUpstreamLine(
    std::string_view aLine) const = 0;

  /// Decodes the row that an instance returns for a command.  Errors:
  /// BadRequest.
  virtual result<instance_status> DecodeInstanceStatus(
    std::string_view aRow) const = 0;
};

} // namespace catkinloom
