#include "clConnectionShare.h"

#include <algorithm>

namespace catkinloom {

connection_share
ShareOf(std::uint32_t aLimit, std::uint32_t aProxies, bool aHasJustStarted)
{
  connection_share share;
  share.mHardLimit = std::max(aLimit / std::max(aProxies, 1U), 1U);
  share.mSoftLimit = std::max(share.mHardLimit / 2, 1U);
  if (aHasJustStarted) {
    share.mHardLimit = share.mSoftLimit;
  }
  return share;
}

std::size_t
CountExpiredIdle(const std::vector<nanoseconds>& aIdleFor,
                 std::uint32_t aOpen,
                 const connection_share& aShare,
                 const idle_timeouts& aTimeouts)
{
  std::size_t count = 0;
  for (const nanoseconds idle : aIdleFor) {
    const std::size_t remaining = aOpen - count;
    const bool isSurplusExpired =
      remaining > aShare.mSoftLimit && idle > aTimeouts.mAboveSoftLimit;
    const bool isIdleExpired = remaining > 1 && idle > aTimeouts.mSoftLimit;
    if (!isSurplusExpired && !isIdleExpired) {
      break;
    }
    ++count;
  }
  return count;
}

} // namespace catkinloom
