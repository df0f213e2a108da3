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

/// What a caller's session has been told that it holds.
///
/// Values and prepared statements count from the moment at which the caller
/// is answered; every later statement runs under them.
struct session_state
{
  std::map<std::string, std::string> mValues;
  std::map<std::string, prepared_statement> mPrepared;
  /// The session's own last commit; its reads must not go back before it.
  log_position mFloor;
  session_phase mPhase = session_phase::Idle;
};

/// What an upstream connection is known to hold.
struct connection_session_state
{
  std::map<std::string, std::string> mValues;
  /// Shared names of the statements that are prepared on it.
  std::set<std::string> mPrepared;
};

/// What must be done on an upstream connection before a statement may run.
struct connection_preparation
{
  /// Everything is cleared first, since a value can't be unset by itself.
  bool mReset = false;
  std::vector<std::pair<std::string, std::string>> mSetValues;
  /// Shared name to prepare; empty when it is prepared already.
  std::string mPrepareName;
  prepared_statement mPrepare;

  bool IsEmpty() const
  {
    return !mReset && mSetValues.empty() && mPrepareName.empty();
  }
};

/// Name under which every session shares a prepared statement on an upstream
/// connection: it follows from mode and shape, so that names of different
/// callers can't collide.
std::string
SharedNameOf(const prepared_statement& aPrepared);

/// Works out what a connection must be told so that a statement of the
/// session runs under the session's values.  aNeeded is the prepared
/// statement to run; empty when none is.
connection_preparation
PlanPreparation(const session_state& aSession,
                const connection_session_state& aConnection,
                const std::optional<prepared_statement>& aNeeded);

/// Steps that PlanPreparation would need; to choose the cheapest connection.
std::size_t
PreparationCost(const session_state& aSession,
                const connection_session_state& aConnection);

/// Records a preparation that the instance has acknowledged.
void
ApplyPreparation(const connection_preparation& aPreparation,
                 connection_session_state& aConnection);

} // namespace catkinloom
