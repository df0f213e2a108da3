#pragma once

#include "clClock.h"

#include <cstdint>
#include <map>
#include <string>

namespace catkinloom {

/// How fresh the data of a route's reads must be.
enum class read_consistency
{
  /// Every commit that was acknowledged before the read.
  Current,
  /// Commits acknowledged longer ago than the route's age.
  BoundedAge,
  /// Like BoundedAge, and every commit of the session itself.
  ReadYourWrites,
};

/// One database name that callers may open, and how it is served.
struct database_route
{
  std::string mDatabase;
  std::string mService;
  read_consistency mConsistency = read_consistency::Current;
  /// Oldest data that a read may see; used unless mConsistency is Current.
  milliseconds mMaxAge{ 0 };
  /// Longest time for one statement.
  milliseconds mStatementTimeout{ 1000 };
  /// Time within which an operation is hoped to end.
  milliseconds mTargetLatency{ 500 };
  /// Importance; 0 goes first.
  std::uint32_t mPriority = 0;
};

/// One database group as the operator declares it.
struct declared_service
{
  std::string mName;
  /// Connections that each instance accepts from everyone together.
  std::uint32_t mMaxConnections = 1;
  /// Replicas that must have received a commit before it is acknowledged.
  std::uint32_t mSyncReplicas = 0;
};

/// Everything that operators declare, in one version.
struct desired_state
{
  std::uint64_t mVersion = 0;
  std::map<std::string, database_route, std::less<>> mRoutes;
  std::map<std::string, declared_service, std::less<>> mServices;
  /// Longest pause inside a transaction.
  milliseconds mTransactionIdleTimeout{ 3000 };
};

/// True when the offered state may replace the one in force: versions never
/// go back within the life of a process.
inline bool
IsNewer(const desired_state& aOffered, const desired_state& aInForce)
{
  return aOffered.mVersion > aInForce.mVersion;
}

} // namespace catkinloom
