#pragma once

#include "clLogPosition.h"
#include "clStatement.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkinloom {

/// A prepared statement as its caller defined it.
struct prepared_statement
{
  access_mode mMode = access_mode::Read;
  std::string mShape;
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
  /// Shared names of the statements prepared on it.
  std::set<std::string> mPrepared;
};

/// Steps required on an upstream connection before a statement is executed.
struct connection_preparation
{
  /// The connection is reset first, since a single value can't be unset.
  bool mReset = false;
  std::vector<std::pair<std::string, std::string>> mSetValues;
  /// Shared name to prepare; empty when no statement has to be prepared.
  std::string mPrepareName;
  prepared_statement mPrepare;

  bool IsEmpty() const
  {
    return !mReset && mSetValues.empty() && mPrepareName.empty();
  }
};

/// Name under which all sessions share a prepared statement on an upstream
/// connection.  It is derived from mode and shape, so that the names of
/// different callers can't collide.
std::string
SharedNameOf(const prepared_statement& aPrepared);

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
