#pragma once

#include "clLogPosition.h"
#include "clStatement.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinloom {

/// A prepared statement as its caller defined it.
struct prepared_statement
{
  access_mode mMode = access_mode::Read;
  std::string mShape;

  auto operator<=>(const prepared_statement&) const = default;
};

/// State of a caller's session that has been acknowledged to the caller.
///
/// Values and prepared statements take effect when the response is sent to the
/// caller; every later statement is executed with them.
struct session_state
{
  std::map<std::string, std::string> mValues;
  std::map<std::string, prepared_statement> mPrepared;
  /// Position of the session's last commit; its reads must not see older data.
  log_position mFloor;
  session_phase mPhase = session_phase::Idle;
};

/// Session state that is known to be set on an upstream connection.
struct connection_session_state
{
  std::map<std::string, std::string> mValues;
  /// Statements prepared on it, and their names there.  Sessions share them.
  std::map<prepared_statement, std::string> mPrepared;
  /// Number of names given on the connection.  A reset does not change it, so
  /// that a name never stands for two statements.
  std::uint64_t mNamesGiven = 0;
};

/// Steps required on an upstream connection before a statement is executed.
struct connection_preparation
{
  /// The connection is reset first, since a single value can't be unset.
  bool mReset = false;
  std::vector<std::pair<std::string, std::string>> mSetValues;
  /// Name to prepare; empty when no statement has to be prepared.
  std::string mPrepareName;
  prepared_statement mPrepare;

  bool IsEmpty() const
  {
    return !mReset && mSetValues.empty() && mPrepareName.empty();
  }
};

/// Determines the steps after which a connection executes statements with the
/// session's values.  aNeeded is the prepared statement to execute, if any.
connection_preparation
PlanPreparation(const session_state& aSession,
                const connection_session_state& aConnection,
                const std::optional<prepared_statement>& aNeeded);

/// Cost of the steps that PlanPreparation returns, to select the cheapest
/// connection.
std::size_t
PreparationCost(const session_state& aSession,
                const connection_session_state& aConnection);

/// Updates the connection's state after the instance has acknowledged the
/// steps.
void
ApplyPreparation(const connection_preparation& aPreparation,
                 connection_session_state& aConnection);

} // namespace catkinloom
