#include "clProbePace.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Part of a declared age to which the primary's log end is observed.
constexpr int kObservationsPerAge = 100;

constexpr milliseconds kLeastPause{ 10 };

/// Pause while the group may have lost its primary.
constexpr milliseconds kSuspectPause{ 100 };

/// An instance does not answer, or nobody leads: what the others say about
/// the primary is needed now, whatever the usual interval.
bool
IsSuspect(const group_row& aGroup)
{
  const bool anyFailing = std::any_of(
    aGroup.mInstances.begin(), aGroup.mInstances.end(), [](const auto& aRow) {
      return aRow.mFailingSince.has_value();
    });
  return anyFailing || !PrimaryOf(aGroup);
}

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
    row.mReport && row.mReport->mLeads && aNow < aGroup.mBoundedReadsUntil;
  if (observed) {
    interval = std::clamp(
      aGroup.mMinStalenessBound / kObservationsPerAge, kLeastPause, aInterval);
  }
  if (IsSuspect(aGroup)) {
    interval = std::min(interval, kSuspectPause);
  }
  const nanoseconds sinceAnswer = aNow - row.mSentAt;
  return std::max<nanoseconds>(interval - sinceAnswer, milliseconds(1));
}

} // namespace catkinloom
