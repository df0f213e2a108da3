#pragma once

#include "clClock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace catkinloom {

/// Connections to one instance that one proxy may hold.
///
/// An instance accepts a fixed number from everyone together, and counts those
/// of a VM that lost power for some seconds more.  What a proxy keeps open
/// beyond its need is therefore missing when all proxies restart at once.
struct connection_share
{
  /// Never more than this.
  std::uint32_t mHardLimit = 1;
  /// Not more than this unless statements would wait; the rest of the limit
  /// lets proxies in whose former connections still count.
  std::uint32_t mSoftLimit = 1;
};

/// The share of one of aProxies in an instance's limit.
connection_share
ShareOf(std::uint32_t aLimit, std::uint32_t aProxies);

/// Times after which a connection that nothing used is closed.
struct idle_timeouts
{
  /// Within the usual share; one connection stays.
  nanoseconds mSoftLimit;
  /// Beyond the usual share.
  nanoseconds mAboveSoftLimit;
};

/// Number of idle connections to close, those idle longest first.
///
/// aIdleFor: how long each has been idle, the longest first.
/// aOpen: connections to the instance, idle or not.
std::size_t
CountExpiredIdle(const std::vector<nanoseconds>& aIdleFor,
                 std::uint32_t aOpen,
                 const connection_share& aShare,
                 const idle_timeouts& aTimeouts);

} // namespace catkinloom
