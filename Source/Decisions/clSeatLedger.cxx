#include "clSeatLedger.h"

#include <algorithm>

namespace catkinloom {

bool
seat_ledger::TryTake()
{
  if (mOpen + mLingering >= mShare) {
    return false;
  }
  ++mOpen;
  return true;
}

void
seat_ledger::Linger(time_point aClosedAt)
{
  --mOpen;
  ++mLingering;
  mLastClosedAt = aClosedAt;
}

void
seat_ledger::OnReport(std::uint32_t aCounted, time_point aSentAt)
{
  if (aSentAt < mLastClosedAt) {
    return;
  }
  const std::uint32_t unexplained = aCounted > mOpen ? aCounted - mOpen : 0;
  mLingering = std::min(mLingering, unexplained);
}

} // namespace catkinloom
