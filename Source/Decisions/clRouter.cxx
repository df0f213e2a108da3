#include "clRouter.h"

namespace catkinloom {

namespace {

bool
IsExcluded(const read_need& aNeed, instance_number aInstance)
{
  return (aNeed.mExcluded >> aInstance & 1U) != 0;
}

/// Half of the allowed age is kept for a second try elsewhere, so the time
/// that an answer usually takes counts as age already.
nanoseconds
ExpectedAge(nanoseconds aAge, const instance_row& aRow)
{
  return aAge + aRow.mAnswerTime;
}

bool
IsUsable(const instance_row& aRow)
{
  return aRow.mReport && !aRow.mFailingSince && !aRow.mLeaving;
}

} // namespace

nanoseconds
router::CostOf(const instance_row& aRow) const
{
  const nanoseconds base =
    std::max<nanoseconds>(aRow.mAnswerTime, std::chrono::microseconds(200));
  const auto slots = std::max(aRow.mDeclared.mSlots, 1U);
  const nanoseconds queued = base * (aRow.mInFlight + slots) / slots;
  const bool sameZone = aRow.mDeclared.mZone == mZone;
  return sameZone ? queued : queued + mSettings.mZonePenalty;
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
  const auto freshAt = aGroup.mHeads.FreshAt(aPosition, *confirmedAt);
  if (!freshAt) {
    return std::nullopt;
  }
  return aNow - *freshAt;
}

bool
router::HoldsPermit(const group_row& aGroup,
                    term_number aTerm,
                    time_point aNow) const
{
  if (aTerm != HighestTerm(aGroup)) {
    return false;
  }
  const auto confirmedAt = TermConfirmedAt(aGroup, aTerm);
  return confirmedAt && aNow < *confirmedAt + mSettings.mTermPermit;
}

bool
router::IsPrimaryCutOff(const group_row& aGroup, instance_number aPrimary) const
{
  std::size_t silent = 0;
  for (instance_number i = 0; i < aGroup.mInstances.size(); ++i) {
    const auto& report = aGroup.mInstances[i].mReport;
    const bool isSilent =
      i != aPrimary && report &&
      report->mPrimarySilence >= mSettings.mPrimarySilenceLimit;
    silent += isSilent ? 1 : 0;
  }
  return silent >= aGroup.Majority();
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
                   const read_need& aNeed,
                   time_point aNow) const
{
  if (!aNeed.mMaxAge) {
    route_decision decision = DecidePrimary(aGroup);
    if (decision.mAction == route_action::UsePrimary) {
      decision.mReason = route_reason::CurrentDataAsked;
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
    const bool skipped = i == primary || IsExcluded(aNeed, i);
    if (skipped || !IsUsable(row) || row.mReport->mLog < aNeed.mFloor) {
      continue;
    }
    const auto freshAt = aGroup.mHeads.FreshAt(row.mReport->mLog, *confirmedAt);
    if (!freshAt || ExpectedAge(aNow - *freshAt, row) > *aNeed.mMaxAge) {
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
    case route_reason::CurrentDataAsked:
      return "current_data_asked";
    case route_reason::WriteToPrimary:
      return "write_to_primary";
    case route_reason::PrimaryUnknown:
      return "primary_unknown";
    case route_reason::PrimaryCutOff:
      return "primary_cut_off";
    case route_reason::TermUnconfirmed:
      return "term_unconfirmed";
    case route_reason::FloorPastPrimary:
      return "floor_past_primary";
  }
  return "primary_unknown";
}

} // namespace catkinloom
