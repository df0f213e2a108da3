#include "clInstanceSelector.h"

namespace catkinloom {

namespace {

/// Additional cost of an instance in another availability zone.
constexpr milliseconds kZonePenalty{ 20 };

/// Additional cost of the leader for work that a replica may do, which keeps
/// the leader available for writes.
constexpr milliseconds kLeaderPenalty{ 15 };

/// Additional cost of opening a connection first.
constexpr milliseconds kOpenPenalty{ 25 };

/// Lower bound of the assumed response time, also for an instance without
/// measurements.
constexpr milliseconds kMinResponseTime{ 2 };

bool
IsUsable(const instance_candidate& aCandidate,
         const instance_requirements& aRequirements,
         std::size_t aIndex,
         time_point aNow)
{
  const bool excluded = (aRequirements.mExcluded >> aIndex & 1U) != 0;
  if (excluded || aNow < aCandidate.mAvoidedUntil) {
    return false;
  }
  if (aRequirements.mLeaderOnly) {
    return aCandidate.mLeads && aCandidate.mLeaderReady;
  }
  const bool isLagging = !aCandidate.mLeads &&
                         aNow < aCandidate.mLaggingUntil &&
                         aCandidate.mPosition < aRequirements.mFloor;
  return !aCandidate.mDraining && !isLagging;
}

nanoseconds
CostOf(const instance_candidate& aCandidate,
       const instance_requirements& aRequirements)
{
  const nanoseconds responseTime =
    std::max<nanoseconds>(aCandidate.mResponseTime, kMinResponseTime);
  const auto slots = std::max(aCandidate.mSlots, 1U);
  nanoseconds cost = responseTime * (aCandidate.mInFlight + slots) / slots;
  cost += aCandidate.mSameZone ? nanoseconds(0) : nanoseconds(kZonePenalty);
  cost += aCandidate.mHasIdle ? nanoseconds(0) : nanoseconds(kOpenPenalty);
  const bool isReplicaWork = aCandidate.mLeads && !aRequirements.mLeaderOnly;
  cost += isReplicaWork ? nanoseconds(kLeaderPenalty) : nanoseconds(0);
  return cost;
}

} // namespace

instance_selection
SelectInstance(const std::vector<instance_candidate>& aCandidates,
               const instance_requirements& aRequirements,
               time_point aNow)
{
  instance_selection chosen;
  nanoseconds lowestCost = nanoseconds::max();
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const instance_candidate& candidate = aCandidates[i];
    if (!IsUsable(candidate, aRequirements, i, aNow)) {
      continue;
    }
    const bool hasConnection = candidate.mHasIdle || candidate.mCanOpen;
    if (!hasConnection || !candidate.mHasCapacity) {
      if (chosen.mResult == selection_result::NoneUsable) {
        chosen.mResult = selection_result::AllBusy;
      }
      continue;
    }
    const nanoseconds cost = CostOf(candidate, aRequirements);
    if (cost < lowestCost) {
      lowestCost = cost;
      chosen = { selection_result::Chosen, i };
    }
  }
  return chosen;
}

} // namespace catkinloom
