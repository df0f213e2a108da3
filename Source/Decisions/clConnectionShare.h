#pragma once

#include "clClock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace catkinloom {

/// Limits on one proxy's connections to one instance.
///
/// An instance accepts a fixed number of connections from all clients, and
/// counts those of a VM that lost power for some seconds more.  Surplus
/// connections of a proxy are therefore not available to others when all
/// proxies restart at once.
struct connection_share
{
  /// Upper bound of the open connections.
  std::uint32_t mHardLimit = 1;
  /// Exceeded only when statements would have to wait otherwise.  The rest of
  /// the instance's limit is left to restarted proxies whose previous
  /// connections still count.
  std::uint32_t mSoftLimit = 1;
};

/// The share of each of aProxies in an instance's limit of aLimit connections.
/// aHasJustStarted: connections of this proxy's previous process may still
/// count, and those of all others if they restarted too; the soft limit is not
/// exceeded then, so that every proxy gets a connection.
connection_share
ShareOf(std::uint32_t aLimit, std::uint32_t aProxies, bool aHasJustStarted);

/// Idle times after which a connection is closed.
struct idle_timeouts
{
  /// For connections within the soft limit; the last one stays open.
  nanoseconds mSoftLimit;
  /// For connections above the soft limit.
  nanoseconds mAboveSoftLimit;
};

/// Number of idle connections to close, starting with the longest idle.
///
/// aIdleFor: idle time of each idle connection, longest first.
/// aOpen: open connections to the instance, whether idle or in use.
std::size_t
CountExpiredIdle(const std::vector<nanoseconds>& aIdleFor,
                 std::uint32_t aOpen,
                 const connection_share& aShare,
                 const idle_timeouts& aTimeouts);

} // namespace catkinloom
