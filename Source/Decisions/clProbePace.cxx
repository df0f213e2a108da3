#include "clProbePace.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Part of a declared age to which the primary's log end is observed.
constexpr int kObservationsPerAge = 100;

constexpr milliseconds kLeastPause{ 10 };

} // namespace

nanoseconds
ProbePause(const group_row& aGroup,
           instance_number aInstance,
           milliseconds aInterval,
           time_point aNow)
{
  const instance_row& row = aGroup.mInstances[aInstance];
  milliseconds interval = aInterval;
  const bool observed =
    row.mReport && row.mReport->mLeads && aNow < aGroup.mAgedReadsUntil;
  if (observed) {
    interval = std::clamp(
      aGroup.mReadAge / kObservationsPerAge, kLeastPause, aInterval);
  }
  const nanoseconds sinceAnswer = aNow - row.mSentAt;
  return std::max<nanoseconds>(interval - sinceAnswer, milliseconds(1));
}

} // namespace catkinloom
