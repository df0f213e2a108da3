#include "clLeadership.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// An observation closer than this to the previous one is discarded.
constexpr milliseconds kObservationSpacing{ 50 };

/// Version under which the contents of a record were written.
record_version
ContentsVersion(const failover_record& aRecord)
{
  if (aRecord.IsCurrent()) {
    return aRecord.mVersion;
  }
  const bool isAbsent = aRecord.mVersion.mRevision == 0;
  return isAbsent
           ? record_version{}
           : record_version{ aRecord.mWrittenIn, aRecord.mVersion.mRevision };
}

} // namespace

std::uint64_t
NextFencingToken(const failover_record& aRecord)
{
  return std::max(aRecord.mCommand.mToken, FencingToken(aRecord.mVersion)) + 1;
}

std::optional<std::size_t>
FindGroupLeader(const std::vector<member_status>& aMembers,
                std::uint32_t aSyncReplicas)
{
  std::optional<std::size_t> leader;
  term_number newest = 0;
  for (std::size_t i = 0; i < aMembers.size(); ++i) {
    newest = std::max(newest, aMembers[i].mTerm);
    if (aMembers[i].mLeads &&
        (!leader || aMembers[*leader].mTerm < aMembers[i].mTerm)) {
      leader = i;
    }
  }
  if (!leader || aMembers[*leader].mTerm < newest) {
    return std::nullopt;
  }
  std::uint32_t receivers = 0;
  for (std::size_t i = 0; i < aMembers.size(); ++i) {
    const bool receives =
      i != *leader && aMembers[i].mPausedTerm <= aMembers[*leader].mTerm;
    receivers += receives ? 1 : 0;
  }
  const std::uint32_t needed = std::max(aSyncReplicas, 1U);
  return receivers >= needed ? leader : std::nullopt;
}

void
group_leadership::Adopt(const failover_record& aRecord)
{
  if (aRecord.mVersion < mRecord.mVersion) {
    return;
  }
  const bool isNewer = aRecord.mVersion > mRecord.mVersion;
  if (aRecord.mVersion.mGeneration != mRecord.mVersion.mGeneration) {
    // Leases of an earlier generation are gone.
    mLeasedLeader.clear();
  }
  if (KnowsNewerContents(aRecord)) {
    mRecord.mVersion = aRecord.mVersion;
    return;
  }
  mRecord = aRecord;
  mContents = ContentsVersion(aRecord);
  if (isNewer && aRecord.mCommitsStopped && aRecord.IsCurrent()) {
    // The record was written after the previous one was last read, so that its
    // floor covers every commit acknowledged before that read.
    OnCommitsStopped(aRecord.mFloor, mRecordRequestedAt);
  }
  const bool isComplete =
    aRecord.mPhase == failover_phase::Complete && aRecord.IsCurrent();
  if (!aRecord.mLeader.empty() && aRecord.mLeader != mLeader &&
      (isComplete || mLeader.empty())) {
    mLeader = aRecord.mLeader;
    // The evidence so far was for the previous leader.
    mProvenUntil = {};
  }
}

bool
group_leadership::KnowsNewerContents(const failover_record& aRecord) const
{
  if (!aRecord.IsCurrent()) {
    return ContentsVersion(aRecord) < mContents;
  }
  return mContents.mGeneration < aRecord.mVersion.mGeneration &&
         aRecord.mVersion.mGeneration > kFirstGeneration &&
         aRecord.mSupersedes < mContents;
}

failover_record
group_leadership::NextRecord() const
{
  failover_record next = mRecord;
  if (!mRecord.IsCurrent()) {
    next.mSupersedes = mContents;
  }
  next.mWrittenIn = mRecord.mVersion.mGeneration;
  return next;
}

void
group_leadership::OnRecord(const failover_record& aRecord, time_point aSentAt)
{
  if (aRecord.mVersion < mRecord.mVersion) {
    return;
  }
  Adopt(aRecord);
  if (!mRecord.IsCurrent()) {
    return;
  }
  mRecordRequestedAt = std::max(mRecordRequestedAt, aSentAt);
  const bool isSame = aRecord.mLeader.empty() || aRecord.mLeader == mLeader;
  if (aRecord.mPhase == failover_phase::Complete && !mLeader.empty() &&
      isSame) {
    ExtendEvidence(aSentAt);
  }
}

void
group_leadership::OnRecordChange(const failover_record& aRecord)
{
  Adopt(aRecord);
}

void
group_leadership::OnDirectoryReport(const std::string& aInstance)
{
  const bool hasBetterSource = !mRecord.mLeader.empty() || mFoundByGroup;
  if (hasBetterSource || mLeader == aInstance) {
    return;
  }
  mLeader = aInstance;
  mProvenUntil = {};
}

void
group_leadership::OnGroupLeader(const std::string& aLeader, time_point aSentAt)
{
  if (aLeader != mLeader) {
    mLeader = aLeader;
    mProvenUntil = {};
  }
  mFoundByGroup = true;
  ExtendEvidence(aSentAt);
}

void
group_leadership::OnCommitsStopped(log_position aPosition, time_point aMoment)
{
  if (mObservations.empty() || mObservations.back().mSentAt < aMoment) {
    AddObservation(aPosition, aMoment);
  }
}

void
group_leadership::OnReadUnderLease()
{
  const bool isComplete =
    mRecord.mPhase == failover_phase::Complete && mRecord.IsCurrent();
  const bool isSame = mRecord.mLeader.empty() || mRecord.mLeader == mLeader;
  mLeasedLeader = isComplete && isSame ? mLeader : std::string();
}

void
group_leadership::OnLeaseRenewed(time_point aSentAt)
{
  if (HasLease()) {
    mRecordRequestedAt = std::max(mRecordRequestedAt, aSentAt);
    ExtendEvidence(aSentAt);
  }
}

void
group_leadership::OnGroupEvidence(const std::string& aLeader,
                                  time_point aSentAt)
{
  if (aLeader == mLeader) {
    ExtendEvidence(aSentAt);
  }
}

void
group_leadership::ExtendEvidence(time_point aSentAt)
{
  mProvenUntil = std::max(mProvenUntil, aSentAt + mSettings.mEvidenceLifetime);
  mHasEvidenceTimedOut = false;
}

void
group_leadership::OnLeaderPosition(const std::string& aLeader,
                                   log_position aPosition,
                                   time_point aSentAt)
{
  if (aLeader != mLeader || !IsProvenAt(aSentAt) ||
      aPosition < mRecord.mFloor) {
    return;
  }
  ResolveLosses(aPosition, aSentAt);
  const bool isRecent =
    !mObservations.empty() &&
    aSentAt < mObservations.back().mSentAt + kObservationSpacing;
  if (!isRecent) {
    AddObservation(aPosition, aSentAt);
  }
}

void
group_leadership::AddObservation(log_position aPosition, time_point aSentAt)
{
  const time_point oldest = aSentAt - mSettings.mObservationLifetime;
  while (!mObservations.empty() && mObservations.front().mSentAt < oldest) {
    mObservations.pop_front();
  }
  mObservations.push_back({ aSentAt, aPosition });
}

void
group_leadership::OnMemberLost(time_point aMoment)
{
  // A log end that the leader reported after aMoment covers every commit that
  // the lost instance confirmed.
  if (const auto floor = FloorSince(aMoment)) {
    mLossFloor = std::max(mLossFloor, *floor);
    return;
  }
  mLostAt = std::max(mLostAt.value_or(aMoment), aMoment);
}

void
group_leadership::OnLossesCovered(log_position aFloor)
{
  mLossFloor = std::max(mLossFloor, aFloor);
  mLostAt.reset();
}

void
group_leadership::OnMonitoringStarted(time_point aMoment)
{
  mMonitoringStartedAt = aMoment;
}

void
group_leadership::ResolveLosses(log_position aPosition, time_point aSentAt)
{
  if (mLostAt && aSentAt >= *mLostAt) {
    mLossFloor = std::max(mLossFloor, aPosition);
    mLostAt.reset();
  }
  if (mMonitoringStartedAt && aSentAt >= *mMonitoringStartedAt) {
    mMonitoringStartedAt.reset();
  }
}

bool
group_leadership::IsProvenAt(time_point aMoment) const
{
  return !mLeader.empty() && aMoment < mProvenUntil;
}

bool
group_leadership::NeedsEvidence(time_point aNow) const
{
  return aNow + mSettings.mEvidenceLifetime >=
         mProvenUntil + mSettings.mRenewAfter;
}

std::optional<log_position>
group_leadership::FloorSince(time_point aMoment) const
{
  // The oldest observation that is recent enough has the lowest position,
  // which most replicas can satisfy.
  const auto found = std::find_if(
    mObservations.begin(), mObservations.end(), [aMoment](const auto& aSeen) {
      return aSeen.mSentAt >= aMoment;
    });
  if (found == mObservations.end()) {
    return std::nullopt;
  }
  return found->mPosition;
}

} // namespace catkinloom
