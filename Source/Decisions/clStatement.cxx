#include "clStatement.h"

namespace catkinloom {

std::string_view
StatementErrorName(statement_error aError)
{
  switch (aError) {
    case statement_error::Busy:
      return "busy";
    case statement_error::Aborted:
      return "aborted";
    case statement_error::Lagging:
      return "lagging";
    case statement_error::ReadOnly:
      return "read_only";
    case statement_error::WrongInstance:
      return "wrong_instance";
    case statement_error::ConnectionLimit:
      return "connection_limit";
    case statement_error::Failed:
      return "failed";
    case statement_error::NoSuchStatement:
      return "no_such_statement";
    case statement_error::TimedOut:
      return "timed_out";
    case statement_error::InDoubt:
      return "in_doubt";
    case statement_error::NoSuchDatabase:
      return "no_such_database";
    case statement_error::TooLarge:
      return "too_large";
    case statement_error::Malformed:
      return "malformed";
  }
  return "malformed";
}

bool
HasNoEffect(statement_error aError)
{
  switch (aError) {
    case statement_error::Busy:
    case statement_error::Aborted:
    case statement_error::Lagging:
    case statement_error::ReadOnly:
    case statement_error::WrongInstance:
    case statement_error::ConnectionLimit:
    case statement_error::NoSuchStatement:
      return true;
    default:
      return false;
  }
}

} // namespace catkinloom
