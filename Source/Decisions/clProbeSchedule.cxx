#include "clProbeSchedule.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Number of observations of the primary's log end per staleness bound.
constexpr int kObservationsPerStalenessBound = 100;

constexpr milliseconds kMinProbeInterval{ 10 };

/// Probe interval while the group may have lost its primary.
constexpr milliseconds kSuspectProbeInterval{ 100 };

/// True if an instance does not respond or none leads. The other instances'
/// reports about the primary are then needed before the usual interval has
/// passed.
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
    interval =
      std::clamp(aGroup.mMinStalenessBound / kObservationsPerStalenessBound,
                 kMinProbeInterval,
                 aInterval);
  }
  if (IsPrimarySuspect(aGroup)) {
    interval = std::min(interval, kSuspectProbeInterval);
  }
  const nanoseconds sinceRequest = aNow - row.mSentAt;
  return std::max<nanoseconds>(interval - sinceRequest, milliseconds(1));
}

} // namespace catkinloom
