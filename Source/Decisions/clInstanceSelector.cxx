#include "clInstanceSelector.h"

namespace catkinloom {

namespace {

/// Extra cost of a statement that crosses availability zones.
constexpr milliseconds kZonePenalty{ 20 };

/// Extra cost of the leader for work that a replica may do, so that the
/// leader stays free for writes.
constexpr milliseconds kLeaderPenalty{ 6 };

/// Extra cost of a statement that must open a connection first.
constexpr milliseconds kOpenPenalty{ 25 };

/// Least answer time assumed of an instance that was never measured.
constexpr milliseconds kLeastAnswerTime{ 2 };

bool
IsUsable(const instance_candidate& aCandidate,
         const placement_need& aNeed,
         std::size_t aIndex,
         time_point aNow)
{
  const bool excluded = (aNeed.mExcluded >> aIndex & 1U) != 0;
  if (excluded || aNow < aCandidate.mAvoidedUntil) {
    return false;
  }
  if (aNeed.mLeaderOnly) {
    return aCandidate.mLeads && aCandidate.mLeaderReady;
  }
  const bool behind = !aCandidate.mLeads && aNow < aCandidate.mLaggingUntil &&
                      aCandidate.mPosition < aNeed.mFloor;
  return !aCandidate.mDraining && !behind;
}

nanoseconds
CostOf(const instance_candidate& aCandidate, const placement_need& aNeed)
{
  const nanoseconds answer =
    std::max<nanoseconds>(aCandidate.mAnswerTime, kLeastAnswerTime);
  const auto slots = std::max(aCandidate.mSlots, 1U);
  nanoseconds cost = answer * (aCandidate.mInFlight + slots) / slots;
  cost += aCandidate.mSameZone ? nanoseconds(0) : nanoseconds(kZonePenalty);
  cost += aCandidate.mHasIdle ? nanoseconds(0) : nanoseconds(kOpenPenalty);
  const bool spares = aCandidate.mLeads && !aNeed.mLeaderOnly;
  cost += spares ? nanoseconds(kLeaderPenalty) : nanoseconds(0);
  return cost;
}

} // namespace

placement
SelectInstance(const std::vector<instance_candidate>& aCandidates,
               const placement_need& aNeed,
               time_point aNow)
{
  placement chosen;
  nanoseconds least = nanoseconds::max();
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const instance_candidate& candidate = aCandidates[i];
    if (!IsUsable(candidate, aNeed, i, aNow)) {
      continue;
    }
    const bool hasConnection = candidate.mHasIdle || candidate.mMayOpen;
    if (!hasConnection || !candidate.mHasCapacity) {
      if (chosen.mEnd == placement_end::NoneUsable) {
        chosen.mEnd = placement_end::AllBusy;
      }
      continue;
    }
    const nanoseconds cost = CostOf(candidate, aNeed);
    if (cost < least) {
      least = cost;
      chosen = { placement_end::Chosen, i };
    }
  }
  return chosen;
}

} // namespace catkinloom
