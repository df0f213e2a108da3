#pragma once

#include "clLogPosition.h"

#include <optional>
#include <string>
#include <string_view>

namespace catkinloom {

/// Kind of a caller's statement.
enum class statement_kind
{
  Begin,
  Commit,
  Rollback,
  Read,
  Write,
  SetValue,
  Prepare,
  Execute,
  Deallocate,
  /// Not a supported statement.
  Unknown,
};

/// Whether a statement may change data.
enum class access_mode
{
  Read,
  Write,
};

/// One statement of a caller, decoded once by the codec.
struct statement
{
  statement_kind mKind = statement_kind::Unknown;
  /// The caller's id of this statement; forwarded unchanged.
  std::string mId;
  /// The statement as the caller wrote it; forwarded unchanged.
  std::string mText;
  /// Begin: Read for a read-only transaction.  Prepare: mode of the
  /// prepared statement.
  access_mode mMode = access_mode::Write;
  /// SetValue: name of the session value.  Prepare, Execute, Deallocate: the
  /// caller's name of the prepared statement.
  std::string mName;
  /// SetValue: the value.  Prepare: the statement's shape.  Execute: the
  /// arguments.
  std::string mContent;
};

/// Error codes of an upstream instance and of the proxy itself.
enum class statement_error
{
  /// No slot or connection was available.  Nothing was executed.
  Busy,
  /// The transaction was aborted before its commit.  It has no effect.
  Aborted,
  /// The log has not reached the required position.  Nothing was executed.
  Lagging,
  /// The instance is not the primary.  The statement has no effect.
  ReadOnly,
  /// The address belongs to another instance than expected.  Nothing was
  /// executed.
  WrongInstance,
  /// The instance has too many connections.  Nothing was executed.
  ConnectionLimit,
  /// The statement was executed and failed.
  Failed,
  /// No such prepared statement.  Nothing was executed.
  NoSuchStatement,
  /// The time limit expired; the statement may have been executed.
  TimedOut,
  /// The statement may have been executed; its outcome is unknown.
  InDoubt,
  /// No route exists for the database name.
  NoSuchDatabase,
  /// The message exceeds the maximum length.
  TooLarge,
  /// The message can't be parsed, or is not valid in the session's state.
  Malformed,
};

/// Stable name of an error, for logs and metrics.
std::string_view
StatementErrorName(statement_error aError);

/// True when the error proves that the statement has no effect.
bool
HasNoEffect(statement_error aError);

/// Transaction state of a session as its caller sees it.
enum class session_phase
{
  Idle,
  InTransaction,
  /// The transaction failed; only statements that end it are accepted.
  TransactionFailed,
};

} // namespace catkinloom
