#include "clProbeSchedule.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Part of a declared age to which the primary's log end is observed.
constexpr int kObservationsPerAge = 100;

constexpr milliseconds kMinProbeInterval{ 10 };

/// Pause while the group may have lost its primary.
constexpr milliseconds kSuspectProbeInterval{ 100 };

/// An instance does not answer, or nobody leads: what the others say about
/// the primary is needed now, whatever the usual interval.
bool
IsPrimarySuspect(const group_row& aGroup)
{
  const bool anyFailing = std::any_of(
    aGroup.mInstances.begin(), aGroup.mInstances.end(), [](const auto& aRow) {
      return aRow.mFailingSince.has_value();
    });
  return anyFailing || !PrimaryOf(aGroup);
}

} // namespace

nanoseconds
NextProbeDelay(const group_row& aGroup,
               instance_number aInstance,
               milliseconds aInterval,
               time_point aNow)
{
  const instance_row& row = aGroup.mInstances[aInstance];
  milliseconds interval = aInterval;
  const bool isObservedPrimary =
    row.mReport && row.mReport->mLeads && aNow < aGroup.mBoundedReadsUntil;
  if (isObservedPrimary) {
    interval = std::clamp(aGroup.mMinStalenessBound / kObservationsPerAge,
                          kMinProbeInterval,
                          aInterval);
  }
  if (IsPrimarySuspect(aGroup)) {
    interval = std::min(interval, kSuspectProbeInterval);
  }
  const nanoseconds sinceAnswer = aNow - row.mSentAt;
  return std::max<nanoseconds>(interval - sinceAnswer, milliseconds(1));
}

} // namespace catkinloom
