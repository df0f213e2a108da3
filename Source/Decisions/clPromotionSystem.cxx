#include "clPromotionSystem.h"

#include <algorithm>

namespace catkinloom {

namespace {

using log_grants = std::vector<std::optional<log_position>>;

bool
IsCountedGrant(const log_grants& aGrants,
               instance_number aInstance,
               instance_set aAvoided)
{
  return aGrants[aInstance].has_value() && (aAvoided >> aInstance & 1U) == 0;
}

std::size_t
CountGrants(const log_grants& aGrants, instance_set aAvoided)
{
  std::size_t count = 0;
  for (instance_number i = 0; i < aGrants.size(); ++i) {
    count += IsCountedGrant(aGrants, i, aAvoided) ? 1 : 0;
  }
  return count;
}

instance_number
InstanceWithLongestLog(const log_grants& aGrants, instance_set aAvoided)
{
  std::optional<instance_number> best;
  for (instance_number i = 0; i < aGrants.size(); ++i) {
    if (!IsCountedGrant(aGrants, i, aAvoided)) {
      continue;
    }
    if (!best || *aGrants[i] > *aGrants[*best]) {
      best = i;
    }
  }
  return best.value_or(0);
}

} // namespace

promotion_system::promotion_row&
promotion_system::RowOf(const group_table& aTable, group_row_number aGroup)
{
  if (mRows.size() < aTable.Size()) {
    mRows.resize(aTable.Size());
  }
  promotion_row& row = mRows[aGroup];
  const std::size_t instances = aTable.Group(aGroup).mInstances.size();
  row.mGrants.resize(instances);
  row.mRepairedAt.resize(instances);
  return row;
}

bool
promotion_system::IsPromoting(group_row_number aGroup) const
{
  return aGroup < mRows.size() &&
         mRows[aGroup].mPhase != promotion_phase::Monitoring;
}

bool
promotion_system::IsPrimaryLost(const group_row& aGroup, time_point aNow) const
{
  const auto primary = PrimaryOf(aGroup);
  const bool isPrimaryLeaving = primary && aGroup.mInstances[*primary].mLeaving;
  std::size_t lossReports = 0;
  for (instance_number i = 0; i < aGroup.mInstances.size(); ++i) {
    const instance_row& row = aGroup.mInstances[i];
    const bool isFresh =
      row.mReport && aNow - row.mSentAt <= mSettings.mReportLifetime;
    if (!isFresh || row.mFailingSince || i == primary) {
      continue;
    }
    const bool canReplace = isPrimaryLeaving && !row.mLeaving;
    const bool isOutOfContact =
      row.mReport->mTimeSincePrimaryContact >= mSettings.mPrimaryContactTimeout;
    lossReports += !primary || canReplace || isOutOfContact ? 1 : 0;
  }
  return lossReports >= aGroup.Majority();
}

void
promotion_system::Tick(const group_table& aTable,
                       group_row_number aGroup,
                       std::size_t aRank,
                       time_point aNow,
                       std::vector<promotion_command>& aCommands)
{
  promotion_row& row = RowOf(aTable, aGroup);
  const group_row& group = aTable.Group(aGroup);
  if (row.mPhase == promotion_phase::Monitoring) {
    MonitorPrimary(aTable, aGroup, row, aRank, aNow, aCommands);
    return;
  }
  const bool outdated = HighestTerm(group) > row.mTerm;
  if (outdated || aNow - row.mStartedAt > mSettings.mAttemptTimeout) {
    row.mPhase = promotion_phase::Monitoring;
    row.mPrimaryLostSince.reset();
    return;
  }
  PromoteWhenFenced(group, aGroup, row, aNow, aCommands);
}

void
promotion_system::MonitorPrimary(const group_table& aTable,
                                 group_row_number aGroup,
                                 promotion_row& aRow,
                                 std::size_t aRank,
                                 time_point aNow,
                                 std::vector<promotion_command>& aCommands)
{
  const group_row& group = aTable.Group(aGroup);
  if (!IsPrimaryLost(group, aNow)) {
    aRow.mPrimaryLostSince.reset();
    aRow.mAvoided = 0;
    RepairReplication(group, aGroup, aRow, aRank, aNow, aCommands);
    return;
  }
  const term_number highest = HighestTerm(group);
  if (!aRow.mPrimaryLostSince || highest != aRow.mTermAtLoss) {
    // A higher term without a primary means that another proxy is promoting.
    // The delay starts again, extended by half the attempt time-out, so that
    // the other attempt is not interrupted.
    const bool otherProxyPromotes = aRow.mPrimaryLostSince.has_value() ||
                                    (aRow.mTerm != 0 && highest > aRow.mTerm);
    aRow.mPrimaryLostSince =
      otherProxyPromotes ? aNow + mSettings.mAttemptTimeout / 2 : aNow;
    aRow.mTermAtLoss = highest;
  }
  if (aNow < *aRow.mPrimaryLostSince + mSettings.mRankDelay * aRank) {
    return;
  }
  StartFence(group, aGroup, aRow, aNow, aCommands);
}

void
promotion_system::RepairReplication(
  const group_row& aGroup,
  group_row_number aGroupNumber,
  promotion_row& aRow,
  std::size_t aRank,
  time_point aNow,
  std::vector<promotion_command>& aCommands) const
{
  const auto primary = PrimaryOf(aGroup);
  if (!primary) {
    return;
  }
  const std::string& leader = aGroup.mInstances[*primary].mDeclared.mName;
  const term_number term = aGroup.mInstances[*primary].mReport->mTerm;
  for (instance_number i = 0; i < aGroup.mInstances.size(); ++i) {
    const instance_row& row = aGroup.mInstances[i];
    if (i == *primary || !row.mReport || row.mFailingSince) {
      continue;
    }
    const bool needsRepair =
      row.mReport->mTerm < term || row.mReport->mFollows != leader;
    const milliseconds interval = mSettings.mRepairInterval * (aRank + 1);
    if (!needsRepair || aNow - aRow.mRepairedAt[i] < interval) {
      continue;
    }
    aRow.mRepairedAt[i] = aNow;
    aCommands.push_back(
      { promotion_verb::Follow, aGroupNumber, i, term, {}, *primary });
  }
}

void
promotion_system::StartFence(const group_row& aGroup,
                             group_row_number aGroupNumber,
                             promotion_row& aRow,
                             time_point aNow,
                             std::vector<promotion_command>& aCommands)
{
  aRow.mPhase = promotion_phase::Fencing;
  aRow.mTerm = HighestTerm(aGroup) + 1;
  aRow.mOwner = mIdentity + "/" + std::to_string(++mAttemptCount);
  aRow.mStartedAt = aNow;
  aRow.mFencedAt.reset();
  std::fill(aRow.mGrants.begin(), aRow.mGrants.end(), std::nullopt);
  if (const auto lost = PrimaryOf(aGroup)) {
    aRow.mAvoided |= 1U << *lost;
  }
  for (instance_number i = 0; i < aGroup.mInstances.size(); ++i) {
    aRow.mAvoided |= aGroup.mInstances[i].mLeaving ? 1U << i : 0;
    aCommands.push_back(
      { promotion_verb::Fence, aGroupNumber, i, aRow.mTerm, aRow.mOwner });
  }
}

void
promotion_system::PromoteWhenFenced(
  const group_row& aGroup,
  group_row_number aGroupNumber,
  promotion_row& aRow,
  time_point aNow,
  std::vector<promotion_command>& aCommands) const
{
  if (aRow.mPhase != promotion_phase::Fencing || !aRow.mFencedAt) {
    return;
  }
  // Under the Primary policy another proxy may still acknowledge writes on a
  // term lease that it obtained just before the fence. The wait is a tenth
  // longer than the lease.
  const bool leasesApply = aGroup.mAcknowledge == acknowledge_policy::Primary;
  milliseconds wait =
    leasesApply ? mSettings.mTermLease * 11 / 10 : milliseconds(0);
  // A majority without the avoided instances holds every confirmed write, so
  // one of its instances can lead. An avoided instance may be chosen only if
  // there is no such majority within half the attempt time-out.
  const bool mustUseAvoided =
    CountGrants(aRow.mGrants, aRow.mAvoided) < aGroup.Majority();
  if (mustUseAvoided) {
    wait = std::max(wait, mSettings.mAttemptTimeout / 2);
  }
  if (aNow < *aRow.mFencedAt + wait) {
    return;
  }
  aRow.mPhase = promotion_phase::Promoting;
  aRow.mCandidate =
    InstanceWithLongestLog(aRow.mGrants, mustUseAvoided ? 0 : aRow.mAvoided);
  aCommands.push_back({ promotion_verb::Promote,
                        aGroupNumber,
                        aRow.mCandidate,
                        aRow.mTerm,
                        aRow.mOwner });
}

void
promotion_system::OnAnswer(group_table& aTable,
                           const promotion_command& aCommand,
                           const promotion_answer& aAnswer,
                           time_point aNow,
                           std::vector<promotion_command>& aCommands)
{
  aTable.Record(
    aCommand.mGroup, aCommand.mInstance, aAnswer.mReport, aAnswer.mSentAt);
  promotion_row& row = RowOf(aTable, aCommand.mGroup);
  const group_row& group = aTable.Group(aCommand.mGroup);
  const bool isCurrentAttempt = row.mPhase != promotion_phase::Monitoring &&
                                aCommand.mOwner == row.mOwner &&
                                aAnswer.mGranted;
  if (!isCurrentAttempt) {
    return;
  }
  if (aCommand.mVerb == promotion_verb::Fence) {
    row.mGrants[aCommand.mInstance] = aAnswer.mReport.mLog;
    if (!row.mFencedAt && CountGrants(row.mGrants, 0) >= group.Majority()) {
      row.mFencedAt = aNow;
    }
    PromoteWhenFenced(group, aCommand.mGroup, row, aNow, aCommands);
    return;
  }
  row.mPhase = promotion_phase::Monitoring;
  row.mPrimaryLostSince.reset();
  RepairReplication(group, aCommand.mGroup, row, 0, aNow, aCommands);
}

std::string_view
VerbName(promotion_verb aVerb)
{
  switch (aVerb) {
    case promotion_verb::Fence:
      return "fence";
    case promotion_verb::Promote:
      return "promote";
    case promotion_verb::Follow:
      return "follow";
  }
  return "follow";
}

} // namespace catkinloom
