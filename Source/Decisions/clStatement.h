#pragma once

#include "clLogPosition.h"

#include <optional>
#include <string>
#include <string_view>

namespace catkinloom {

/// What a caller's statement asks for.
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
  /// No statement that the product knows.
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
  /// The caller's name for this statement; passed on unchanged.
  std::string mId;
  /// The statement as the caller wrote it; passed on unchanged.
  std::string mText;
  /// Begin: Read means a transaction that only reads.  Prepare: mode of the
  /// prepared statement.
  access_mode mMode = access_mode::Write;
  /// SetValue: name of the value.  Prepare, Execute, Deallocate: the caller's
  /// name of the prepared statement.
  std::string mName;
  /// SetValue: the value.  Prepare: the shape.  Execute: the arguments.
  std::string mContent;
};

/// Answer codes of an upstream instance and of the proxy itself.
enum class statement_error
{
  /// No slot or connection was free.  Nothing was run.
  Busy,
  /// The transaction was given up before its commit.  Nothing is kept.
  Aborted,
  /// The log lacks the wanted position.  Nothing was run.
  Lagging,
  /// The instance does not lead.  Nothing is kept.
  ReadOnly,
  /// Another instance than the expected one.  Nothing was run.
  WrongInstance,
  /// The instance has too many connections.  Nothing was run.
  ConnectionLimit,
  /// The statement ran and failed.
  Failed,
  /// No such prepared statement.  Nothing was run.
  NoSuchStatement,
  /// The time limit passed; the statement may have run.
  TimedOut,
  /// The statement may have run; its outcome is not known.
  InDoubt,
  /// No route has the database's name.
  NoSuchDatabase,
  /// The message is longer than is allowed.
  TooLarge,
  /// The message can't be read, or does not fit the session's state.
  Malformed,
};

/// Stable name of an error for logs and metrics.
std::string_view
StatementErrorName(statement_error aError);

/// True when the error proves that nothing of the statement is kept.
bool
HasNoEffect(statement_error aError);

/// Where a session stands, as its caller sees it.
enum class session_phase
{
  Idle,
  InTransaction,
  /// The transaction failed; only its end is accepted.
  TransactionFailed,
};

} // namespace catkinloom
