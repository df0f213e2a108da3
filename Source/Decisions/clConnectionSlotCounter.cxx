#include "clConnectionSlotCounter.h"

#include <algorithm>

namespace catkinloom {

bool
connection_slot_counter::TryAcquire()
{
  if (mOpen + mPendingRelease >= mShare) {
    return false;
  }
  ++mOpen;
  return true;
}

void
connection_slot_counter::MarkPendingRelease(time_point aClosedAt)
{
  --mOpen;
  ++mPendingRelease;
  mLastClosedAt = aClosedAt;
}

void
connection_slot_counter::OnReport(std::uint32_t aCounted, time_point aSentAt)
{
  if (aSentAt < mLastClosedAt) {
    return;
  }
  const std::uint32_t unexplained = aCounted > mOpen ? aCounted - mOpen : 0;
  mPendingRelease = std::min(mPendingRelease, unexplained);
}

} // namespace catkinloom
