#include "clConnectionShare.h"

#include <algorithm>

namespace catkinloom {

connection_share
ShareOf(std::uint32_t aLimit, std::uint32_t aProxies)
{
  connection_share share;
  share.mLargest = std::max(aLimit / std::max(aProxies, 1U), 1U);
  share.mUsual = std::max(share.mLargest / 2, 1U);
  return share;
}

std::size_t
CountSpares(const std::vector<nanoseconds>& aIdleFor,
            std::uint32_t aOpen,
            const connection_share& aShare,
            const spare_lifetimes& aLifetimes)
{
  std::size_t count = 0;
  for (const nanoseconds idle : aIdleFor) {
    const std::size_t left = aOpen - count;
    const bool isExtra = left > aShare.mUsual && idle > aLifetimes.mExtra;
    const bool isSpare = left > 1 && idle > aLifetimes.mUsual;
    if (!isExtra && !isSpare) {
      break;
    }
    ++count;
  }
  return count;
}

} // namespace catkinloom
