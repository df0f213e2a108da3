#pragma once

#include "clClock.h"

#include <cstdint>
#include <map>
#include <string>

namespace catkinloom {

/// Consistency that a route's reads require.
enum class read_consistency
{
  /// Reads see every commit that was acknowledged before the read.
  Current,
  /// Reads see every commit acknowledged at least the route's maximum age ago.
  BoundedAge,
  /// Like BoundedAge, and also every commit of the session itself.
  ReadYourWrites,
};

/// One database name that callers may open, and how it is routed.
struct database_route
{
  std::string mDatabase;
  std::string mService;
  read_consistency mConsistency = read_consistency::Current;
  /// Maximum age of the data that a read sees; ignored if mConsistency is
  /// Current.
  milliseconds mMaxAge{ 0 };
  /// Time limit of one statement.
  milliseconds mStatementTimeout{ 1000 };
  /// Target latency of a statement, including its wait for a connection.
  milliseconds mTargetLatency{ 500 };
  /// Priority; 0 is the highest.
  std::uint32_t mPriority = 0;
};

/// One database group as declared by the operator.
struct declared_service
{
  std::string mName;
  /// Connections that each instance accepts from all clients together.
  std::uint32_t mMaxConnections = 1;
  /// Replicas that must receive a commit before it is acknowledged.
  std::uint32_t mSyncReplicas = 0;
};

/// One version of everything that operators declare.
struct desired_state
{
  std::uint64_t mVersion = 0;
  std::map<std::string, database_route, std::less<>> mRoutes;
  std::map<std::string, declared_service, std::less<>> mServices;
  /// Longest time that a transaction may be idle between two statements.
  milliseconds mTransactionIdleTimeout{ 3000 };
};

/// True when the offered state may replace the one in force: the version never
/// decreases while a process is running.
inline bool
IsNewer(const desired_state& aOffered, const desired_state& aInForce)
{
  return aOffered.mVersion > aInForce.mVersion;
}

} // namespace catkinloom
