#include "clLeadership.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Observations closer together than this are merged.
constexpr milliseconds kObservationSpacing{ 50 };

} // namespace

void
group_leadership::Adopt(const failover_record& aRecord)
{
  if (aRecord.mRevision < mRecord.mRevision) {
    return;
  }
  mRecord = aRecord;
  if (!aRecord.mLeader.empty() && aRecord.mLeader != mLeader) {
    mLeader = aRecord.mLeader;
    // Evidence named the former leader.
    mProvenUntil = {};
  }
}

void
group_leadership::OnRecord(const failover_record& aRecord, time_point aSentAt)
{
  if (aRecord.mRevision < mRecord.mRevision) {
    return;
  }
  Adopt(aRecord);
  if (aRecord.mPhase == failover_phase::Settled && !mLeader.empty()) {
    Extend(aSentAt);
  }
}

void
group_leadership::OnRecordNews(const failover_record& aRecord)
{
  Adopt(aRecord);
}

void
group_leadership::OnClaim(const std::string& aInstance)
{
  if (!mRecord.mLeader.empty() || mLeader == aInstance) {
    return;
  }
  mLeader = aInstance;
  mProvenUntil = {};
}

void
group_leadership::OnGroupEvidence(const std::string& aLeader,
                                  time_point aSentAt)
{
  if (aLeader == mLeader) {
    Extend(aSentAt);
  }
}

void
group_leadership::Extend(time_point aSentAt)
{
  mProvenUntil = std::max(mProvenUntil, aSentAt + mSettings.mEvidenceLifetime);
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
  while (!mObservations.empty() && mObservations.front().mSentAt <
                                     aSentAt - mSettings.mObservationLifetime) {
    mObservations.pop_front();
  }
  const bool close =
    !mObservations.empty() &&
    aSentAt < mObservations.back().mSentAt + kObservationSpacing;
  if (!close) {
    mObservations.push_back({ aSentAt, aPosition });
  }
}

bool
group_leadership::IsProvenAt(time_point aMoment) const
{
  return !mLeader.empty() && aMoment < mProvenUntil;
}

bool
group_leadership::WantsEvidence(time_point aNow) const
{
  return aNow + mSettings.mEvidenceLifetime >=
         mProvenUntil + mSettings.mRenewAfter;
}

std::optional<log_position>
group_leadership::FloorSince(time_point aMoment) const
{
  // The oldest observation that is young enough asks the least of a replica.
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
