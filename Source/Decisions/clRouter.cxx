#include "clRouter.h"

namespace catkinloom {

namespace {

/// Maximum age of a report from which freshness is predicted.
constexpr milliseconds kMaxPredictionAge{ 1000 };

bool
IsExcluded(const read_requirements& aRequirements, instance_number aInstance)
{
  return (aRequirements.mExcluded >> aInstance & 1U) != 0;
}

bool
IsUsable(const instance_row& aRow)
{
  return aRow.mReport && !aRow.mFailingSince && !aRow.mLeaving;
}

/// Predicts from the lag in the last report whether the instance satisfies the
/// requirements when the request arrives there. The response is evaluated by
/// the log position that comes with it, so a wrong prediction costs one attempt
/// but violates no guarantee.
bool
IsLikelyToSatisfy(const group_row& aGroup,
                  const instance_row& aRow,
                  const read_requirements& aRequirements,
                  time_point aConfirmedAt,
                  time_point aNow)
{
  const log_position log = aRow.mReport->mLog;
  const auto freshAt = aGroup.mHeadHistory.FreshAt(log, aConfirmedAt);
  if (!freshAt) {
    return false;
  }
  const nanoseconds lag =
    std::max<nanoseconds>(aRow.mSentAt - *freshAt, nanoseconds(0));
  const bool isPredictedFresh =
    lag + aRow.mResponseTime <= *aRequirements.mMaxAge;
  const bool reportIsRecent = aNow - aRow.mSentAt < kMaxPredictionAge;
  const bool isProvenFresh =
    aNow - *freshAt + aRow.mResponseTime <= *aRequirements.mMaxAge;
  if (!isProvenFresh && !(isPredictedFresh && reportIsRecent)) {
    return false;
  }
  if (log >= aRequirements.mFloor) {
    return true;
  }
  const auto reachedAt = aGroup.mHeadHistory.ReachedAt(aRequirements.mFloor);
  return reportIsRecent && reachedAt && aNow - lag >= *reachedAt;
}

} // namespace

nanoseconds
router::CostOf(const instance_row& aRow) const
{
  // The lower bound also applies to an instance without measurements.
  const nanoseconds baseCost =
    std::max<nanoseconds>(aRow.mResponseTime, std::chrono::microseconds(200));
  const auto slots = std::max(aRow.mDeclared.mSlots, 1U);
  const nanoseconds queuedCost = baseCost * (aRow.mInFlight + slots) / slots;
  const bool sameZone = aRow.mDeclared.mZone == mZone;
  return sameZone ? queuedCost : queuedCost + mSettings.mZonePenalty;
}

std::optional<nanoseconds>
router::AgeOf(const group_row& aGroup,
              log_position aPosition,
              time_point aNow) const
{
  const auto confirmedAt = TermConfirmedAt(aGroup, HighestTerm(aGroup));
  if (!confirmedAt) {
    return std::nullopt;
  }
  const auto freshAt = aGroup.mHeadHistory.FreshAt(aPosition, *confirmedAt);
  if (!freshAt) {
    return std::nullopt;
  }
  return aNow - *freshAt;
}

bool
router::HoldsTermLease(const group_row& aGroup,
                       term_number aTerm,
                       time_point aNow) const
{
  if (aTerm != HighestTerm(aGroup)) {
    return false;
  }
  const auto confirmedAt = TermConfirmedAt(aGroup, aTerm);
  return confirmedAt && aNow < *confirmedAt + mSettings.mTermLease;
}

bool
router::IsPrimaryCutOff(const group_row& aGroup, instance_number aPrimary) const
{
  std::size_t outOfContact = 0;
  for (instance_number i = 0; i < aGroup.mInstances.size(); ++i) {
    const auto& report = aGroup.mInstances[i].mReport;
    const bool isOutOfContact =
      i != aPrimary && report &&
      report->mTimeSincePrimaryContact >= mSettings.mPrimaryContactTimeout;
    outOfContact += isOutOfContact ? 1 : 0;
  }
  return outOfContact >= aGroup.Majority();
}

route_decision
router::DecidePrimary(const group_row& aGroup) const
{
  route_decision decision;
  const auto primary = PrimaryOf(aGroup);
  if (!primary || !IsUsable(aGroup.mInstances[*primary])) {
    return decision;
  }
  if (IsPrimaryCutOff(aGroup, *primary)) {
    decision.mReason = route_reason::PrimaryCutOff;
    return decision;
  }
  const term_number term = aGroup.mInstances[*primary].mReport->mTerm;
  if (!TermConfirmedAt(aGroup, term)) {
    decision.mReason = route_reason::TermUnconfirmed;
    return decision;
  }
  decision.mAction = route_action::UsePrimary;
  decision.mInstance = *primary;
  decision.mTerm = term;
  return decision;
}

route_decision
router::DecideWrite(const group_row& aGroup, time_point) const
{
  route_decision decision = DecidePrimary(aGroup);
  if (decision.mAction == route_action::UsePrimary) {
    decision.mReason = route_reason::WriteToPrimary;
    decision.mMustConfirm =
      aGroup.mAcknowledge == acknowledge_policy::Confirmed;
  }
  return decision;
}

route_decision
router::DecideRead(const group_row& aGroup,
                   const read_requirements& aRequirements,
                   time_point aNow) const
{
  if (!aRequirements.mMaxAge) {
    route_decision decision = DecidePrimary(aGroup);
    if (decision.mAction == route_action::UsePrimary) {
      decision.mReason = route_reason::CurrentDataRequired;
      decision.mMustConfirm = true;
    }
    return decision;
  }
  const auto primary = PrimaryOf(aGroup);
  const auto confirmedAt = TermConfirmedAt(aGroup, HighestTerm(aGroup));
  std::optional<instance_number> best;
  nanoseconds bestCost = nanoseconds::max();
  for (instance_number i = 0; confirmedAt && i < aGroup.mInstances.size();
       ++i) {
    const instance_row& row = aGroup.mInstances[i];
    const bool skipped = i == primary || IsExcluded(aRequirements, i);
    if (skipped || !IsUsable(row) ||
        !IsLikelyToSatisfy(aGroup, row, aRequirements, *confirmedAt, aNow)) {
      continue;
    }
    const nanoseconds cost = CostOf(row);
    if (cost < bestCost) {
      best = i;
      bestCost = cost;
    }
  }
  if (best) {
    return { route_action::UseReplica,
             route_reason::ReplicaFreshEnough,
             *best,
             HighestTerm(aGroup),
             false };
  }
  route_decision decision = DecidePrimary(aGroup);
  if (decision.mAction == route_action::UsePrimary) {
    decision.mReason = route_reason::NoReplicaFreshEnough;
    decision.mMustConfirm = true;
  }
  return decision;
}

std::string_view
ReasonName(route_reason aReason)
{
  switch (aReason) {
    case route_reason::ReplicaFreshEnough:
      return "replica_fresh_enough";
    case route_reason::NoReplicaFreshEnough:
      return "no_replica_fresh_enough";
    case route_reason::CurrentDataRequired:
      return "current_data_asked";
    case route_reason::WriteToPrimary:
      return "write_to_primary";
    case route_reason::PrimaryUnknown:
      return "primary_unknown";
    case route_reason::PrimaryCutOff:
      return "primary_cut_off";
    case route_reason::TermUnconfirmed:
      return "term_unconfirmed";
  }
  return "primary_unknown";
}

} // namespace catkinloom
