#include "clFailoverRunner.h"

#include "clLog.h"
#include "clStoreKeys.h"

#include <algorithm>
#include <fmt/ranges.h>
#include <functional>

namespace catkinloom {

namespace {

/// Time without checks of a group after a false alarm or an attempt.
constexpr milliseconds kCheckSuspension{ 200 };

/// Time after a restore of the store in which every proxy notices it, so that
/// an attempt that is under way ends.
constexpr milliseconds kRestoreDelay{ 1000 };

/// Maximum additional delay that differs between proxies.
constexpr milliseconds kMaxRewriteStagger{ 800 };

/// Additional delay of a proxy that knows no former record.
constexpr milliseconds kNoRecordDelay{ 1000 };

/// Time without checks of a group whose leader could not be proved.
constexpr milliseconds kRewriteRetryDelay{ 500 };

/// Mean time between the writes that two proxies plan of one membership record.
constexpr milliseconds kMembershipStagger{ 200 };

/// Delay before a membership record that was not written is written again.
constexpr milliseconds kMembershipRetryDelay{ 500 };

/// A check later than this shows that this process itself was suspended, so
/// that its view of which instances are unresponsive is not valid.
constexpr milliseconds kMaxCheckDelay{ 150 };

} // namespace

void
failover_runner::Run()
{
  mLastCheckAt = mContext.Now();
  while (!mContext.mDraining) {
    mContext.mLoop.Sleep(mContext.mSettings.mHealthCheckInterval);
    const time_point now = mContext.Now();
    const bool isDelayed =
      now - mLastCheckAt >
      mContext.mSettings.mHealthCheckInterval + kMaxCheckDelay;
    mLastCheckAt = now;
    if (isDelayed) {
      continue;
    }
    for (const auto& [service, group] : mContext.mGroups) {
      TrackPendingCommand(*group, now);
      if (IsDeclared(service)) {
        CheckMembership(*group, now);
        CheckGroup(*group, now);
      }
    }
    UpdateMetrics();
  }
}

bool
failover_runner::IsDeclared(const std::string& aService) const
{
  return mContext.mDesired && mContext.mDesired->mServices.count(aService) > 0;
}

void
failover_runner::UpdateMetrics() const
{
  std::uint32_t leaderless = 0;
  for (const auto& [service, group] : mContext.mGroups) {
    const auto leader = group->Leader();
    const bool isLed = leader && leader->mReportsPrimary;
    leaderless += IsDeclared(service) && !isLed ? 1 : 0;
  }
  mContext.mMetrics.mGroupsWithoutLeader.Set(leaderless);
}

void
failover_runner::LogResult(const upstream_group& aGroup,
                           group_check_state& aCheckState,
                           std::string_view aResult) const
{
  if (aCheckState.mResult == aResult) {
    return;
  }
  const auto leader = aGroup.Leader();
  Log(log_level::Info,
      "failover",
      "Result of the group's check changed; a leader is replaced only for a "
      "reason. service={} leader={} reports_primary={} before={} result={}",
      aGroup.Service(),
      leader ? leader->mEntry.mId : "",
      leader && leader->mReportsPrimary,
      aCheckState.mResult,
      aResult);
  aCheckState.mResult = aResult;
}

void
failover_runner::TrackPendingCommand(upstream_group& aGroup, time_point aNow)
{
  mCheckStates[aGroup.Service()].mPendingCommand.OnRecord(
    aGroup.Leadership().Record(),
    aNow,
    mContext.mSettings.mUnansweredCommandLifetime);
}

milliseconds
failover_runner::StaggerOf(const upstream_group& aGroup,
                           milliseconds aMax) const
{
  return milliseconds(
    std::hash<std::string>()(mContext.Name() + "/" + aGroup.Service()) %
    static_cast<std::size_t>(aMax.count()));
}

void
failover_runner::CheckMembership(upstream_group& aGroup, time_point aNow)
{
  group_check_state& checkState = mCheckStates[aGroup.Service()];
  const bool isReady =
    mContext.mAreRecordsListed && mContext.mStoreReachedSince;
  if (!isReady || aGroup.Instances().empty() ||
      checkState.mIsWritingMembership) {
    return;
  }
  const auto next = NextMembership(aGroup.Membership(), aGroup.Observe());
  if (!next) {
    checkState.mMembershipDueAt.reset();
    return;
  }
  if (!checkState.mMembershipDueAt) {
    const auto maxStagger = kMembershipStagger * mContext.mUpstreams.mProxies;
    // The instances of a new group join one after the other.
    const bool isNew = aGroup.Membership().mVersion.mRevision == 0;
    checkState.mMembershipDueAt =
      aNow + StaggerOf(aGroup, maxStagger) +
      (isNew ? mContext.mSettings.mMissingEntryGrace : milliseconds(0));
  }
  if (aNow < *checkState.mMembershipDueAt) {
    return;
  }
  checkState.mIsWritingMembership = true;
  mContext.mLoop.Spawn([this, &aGroup, &checkState, record = *next] {
    WriteMembership(aGroup, record);
    checkState.mIsWritingMembership = false;
    checkState.mMembershipDueAt = mContext.Now() + kMembershipRetryDelay;
  });
}

std::optional<record_version>
failover_runner::ReplaceRecord(const std::string& aKey,
                               const std::string& aValue,
                               record_version aVersion)
{
  const auto written = mContext.mPorts.mStore.Put(
    aKey, aValue, aVersion.mRevision, 0, mContext.mSettings.mStoreTimeout);
  const bool isDone = written &&
                      written.value().mGeneration == aVersion.mGeneration &&
                      written.value().mOutcome == store_write_outcome::Written;
  return isDone ? std::optional<record_version>(
                    { aVersion.mGeneration, written.value().mRevision })
                : std::nullopt;
}

void
failover_runner::WriteMembership(upstream_group& aGroup,
                                 membership_record aRecord)
{
  const record_version version = aRecord.mVersion;
  const auto written =
    ReplaceRecord(std::string(store_keys::kMembershipPrefix) + aGroup.Service(),
                  EncodeMembershipRecord(aRecord),
                  version);
  Log(log_level::Info,
      "failover",
      "Membership record write finished; retried later if not done. service={} "
      "members=[{}] floor={}.{} done={}",
      aGroup.Service(),
      fmt::join(IdsOf(aRecord.mMembers), ","),
      aRecord.mFloor.mTerm,
      aRecord.mFloor.mIndex,
      written.has_value());
  if (written) {
    aRecord.mVersion = *written;
    aGroup.ApplyMembership(aRecord);
  }
}

bool
failover_runner::IsDirectoryComplete(const upstream_group& aGroup,
                                     time_point aNow) const
{
  const auto& since = mContext.mStoreReachedSince;
  if (!since || !mContext.mAreRecordsListed) {
    return false;
  }
  const auto& listedAt = mContext.mDirectoryListedAt;
  const bool isListedSince = listedAt && *listedAt >= *since;
  return (isListedSince && aGroup.IsCompleteSince(*since)) ||
         aNow - *since >= mContext.mSettings.mMissingEntryGrace;
}

void
failover_runner::CheckGroup(upstream_group& aGroup, time_point aNow)
{
  group_check_state& checkState = mCheckStates[aGroup.Service()];
  if (checkState.mIsAttemptRunning || aNow < checkState.mChecksSuspendedUntil) {
    return;
  }
  if (!IsDirectoryComplete(aGroup, aNow)) {
    LogResult(aGroup, checkState, "directory_incomplete");
    return;
  }
  const check_result result = Check(aGroup, checkState, aNow);
  LogResult(aGroup, checkState, result.mName);
  if (result.mReason) {
    checkState.mIsAttemptRunning = true;
    StartAttempt(aGroup, *result.mReason);
    return;
  }
  if (IsRewriteDue(aGroup, checkState, aNow)) {
    checkState.mIsAttemptRunning = true;
    mContext.mLoop.Spawn([this, &aGroup, &checkState] {
      RewriteRecord(aGroup);
      checkState.mIsAttemptRunning = false;
      checkState.mChecksSuspendedUntil = mContext.Now() + kRewriteRetryDelay;
    });
  }
}

bool
failover_runner::IsRewriteDue(upstream_group& aGroup,
                              const group_check_state& aCheckState,
                              time_point aNow) const
{
  const group_leadership& leadership = aGroup.Leadership();
  const failover_record& record = leadership.Record();
  if (record.IsCurrent() || record.mPhase != failover_phase::Complete) {
    return false;
  }
  const milliseconds delay =
    kRestoreDelay + StaggerOf(aGroup, kMaxRewriteStagger) +
    (leadership.KnowsRecord() ? milliseconds(0) : kNoRecordDelay);
  return aNow - aCheckState.mRecordSeenSince >= delay;
}

void
failover_runner::RewriteRecord(upstream_group& aGroup)
{
  const group_leadership& leadership = aGroup.Leadership();
  const record_version version = leadership.Record().mVersion;
  const time_point sentAt = mContext.Now();
  aGroup.PollGroup();
  if (!leadership.IsProvenAt(sentAt) ||
      leadership.Record().mVersion != version) {
    return;
  }
  failover_record next = leadership.NextRecord();
  next.mPhase = failover_phase::Complete;
  next.mCommitsStopped = false;
  next.mLeader = leadership.Leader();
  next.mHolder = mContext.Name();
  const auto written =
    ReplaceRecord(std::string(store_keys::kFailoverPrefix) + aGroup.Service(),
                  EncodeFailoverRecord(next),
                  version);
  Log(log_level::Info,
      "failover",
      "Record written again after a restore of the store; it is evidence from "
      "now on. service={} leader={} generation={} done={}",
      aGroup.Service(),
      next.mLeader,
      version.mGeneration,
      written.has_value());
  if (written) {
    next.mVersion = *written;
    aGroup.Leadership().OnRecordChange(next);
    return;
  }
  mContext.mRefreshLeadership();
}

failover_runner::check_result
failover_runner::Check(upstream_group& aGroup,
                       group_check_state& aCheckState,
                       time_point aNow) const
{
  const session_settings& settings = mContext.mSettings;
  const failover_record& record = aGroup.Leadership().Record();
  if (aCheckState.mSeenRecordVersion != record.mVersion) {
    aCheckState.mSeenRecordVersion = record.mVersion;
    aCheckState.mRecordSeenSince = aNow;
  }
  // A promotion command of the record's holder may still be under way, so no
  // other proxy may act until the holder's lease has expired.
  const bool isOwn =
    record.mHolder.empty() || record.mHolder == mContext.Name();
  const bool noPromotionSent = record.mPhase == failover_phase::InProgress &&
                               record.mPossibleLeaders.empty();
  const milliseconds holderLease =
    noPromotionSent ? settings.mAttemptLifetime : settings.mHolderLease;
  if (!isOwn && aNow - aCheckState.mRecordSeenSince < holderLease) {
    return { "holder_lease", std::nullopt };
  }
  if (record.mPhase == failover_phase::InProgress) {
    return Replace(failover_reason::Unfinished);
  }
  // No command for another leader may be sent yet, and the present one may
  // still be all right.
  if (!settings.mFencedPromotions &&
      aCheckState.mPendingCommand.IsPendingAt(aNow)) {
    return { "command_pending", std::nullopt };
  }
  if (aGroup.Leadership().Leader().empty() || aGroup.Instances().empty()) {
    return { "no_leader_known", std::nullopt };
  }
  const auto leader = aGroup.Leader();
  if (!leader) {
    return Replace(failover_reason::Missing);
  }
  // The promotion that the record names may still take effect.
  const bool isPromotionPending =
    !leader->mReportsPrimary && aGroup.Leadership().KnowsRecord() &&
    aNow - aCheckState.mRecordSeenSince < settings.mPromotionEffectTimeout;
  if (leader->mEntry.mDraining && aGroup.Instances().size() > 1 &&
      !isPromotionPending) {
    return Replace(failover_reason::Leaving);
  }
  if (leader->mHealth.UnresponsiveFor(aNow) >=
      settings.mLeaderResponseTimeout) {
    return Replace(failover_reason::Unresponsive);
  }
  if (leader->mHealth.CommitsPendingFor(aNow) >= settings.mCommitAckTimeout) {
    return Replace(failover_reason::CommitsStuck);
  }
  // A record that replaces the leader may be on its way, too.
  if (isPromotionPending ||
      (!leader->mReportsPrimary &&
       aNow - leader->mRoleSince < settings.mPromotionEffectTimeout)) {
    return { "promotion_pending", std::nullopt };
  }
  if (!leader->mReportsPrimary && record.IsCurrent()) {
    return Replace(failover_reason::NotLeading);
  }
  return { "leader_in_place", std::nullopt };
}

failover_runner::check_result
failover_runner::Replace(failover_reason aReason)
{
  return { FailoverReasonName(aReason), aReason };
}

void
failover_runner::StartAttempt(upstream_group& aGroup, failover_reason aReason)
{
  // The attempt replaces the record as of now: another proxy may start an
  // attempt while this one confirms the failure.
  const failover_record record = aGroup.Leadership().NextRecord();
  mContext.mLoop.Spawn([this, &aGroup, aReason, record] {
    milliseconds suspension = kCheckSuspension;
    const bool confirmed = ConfirmReason(aGroup, aReason);
    const bool unchanged =
      aGroup.Leadership().Record().mVersion == record.mVersion;
    if (confirmed && unchanged) {
      TrackPendingCommand(aGroup, mContext.Now());
      failover_attempt attempt(
        mContext,
        aGroup,
        aReason,
        record,
        mCheckStates[aGroup.Service()].mPendingCommand.Until());
      const bool done = attempt.Run();
      if (const auto& withdrawn = attempt.WithdrawnCommand()) {
        mCheckStates[aGroup.Service()].mPendingCommand.OnWithdrawn(
          *withdrawn, mContext.Now());
      }
      if (attempt.HasYielded()) {
        suspension = mContext.mSettings.mHolderLease;
      }
      Log(log_level::Info,
          "failover",
          "Failover attempt finished; checks of the group resume. service={} "
          "done={}",
          aGroup.Service(),
          done);
    }
    group_check_state& checkState = mCheckStates[aGroup.Service()];
    checkState.mIsAttemptRunning = false;
    checkState.mChecksSuspendedUntil = mContext.Now() + suspension;
  });
}

bool
failover_runner::HasSuccessorForStuckLeader(upstream_group& aGroup)
{
  const auto leader = aGroup.Leader();
  if (!leader) {
    return true;
  }
  const auto leaderStatus =
    aGroup.SendCommand(*leader, instance_command::Status, 0);
  if (leaderStatus && !leaderStatus.value().mLeads) {
    return true;
  }
  const log_position floor = aGroup.Leadership().Record().mFloor;
  const auto others = InstancesExcept(aGroup, leader->mEntry.mId);
  const auto answers = aGroup.SendToEach(others, StatusCommand, 0);
  bool hasSuccessor = false;
  for (const auto& answer : answers) {
    // Waiting commits may occupy all of the leader's slots, so that it can't
    // respond; only a response proves that a replica is level with it.
    const bool isUpToDate =
      leaderStatus && answer &&
      answer.value().mReceived >= leaderStatus.value().mReceived;
    if (!answer || isUpToDate) {
      return false;
    }
    hasSuccessor = hasSuccessor || answer.value().mReceived >= floor;
  }
  return hasSuccessor;
}

bool
failover_runner::ConfirmReason(upstream_group& aGroup, failover_reason aReason)
{
  const auto leader = aGroup.Leader();
  if (aReason == failover_reason::CommitsStuck) {
    return HasSuccessorForStuckLeader(aGroup);
  }
  const bool mayRespond = aReason == failover_reason::Unresponsive ||
                          aReason == failover_reason::NotLeading;
  if (!mayRespond || !leader) {
    return true;
  }
  if (aReason == failover_reason::NotLeading) {
    const auto status =
      aGroup.SendCommand(*leader, instance_command::Status, 0);
    if (status) {
      aGroup.NotifyAll();
      return !status.value().mLeads;
    }
  }
  const time_point sentAt = mContext.Now();
  if (aGroup.RespondsToNewConnection(*leader)) {
    leader->mHealth.RecordSent(sentAt, false);
    leader->mHealth.RecordAnswered(mContext.Now(), false);
    return false;
  }
  // A proxy that reaches no instance is itself cut off and must not start a
  // failover.
  for (const auto& other : aGroup.Instances()) {
    if (other != leader && aGroup.RespondsToNewConnection(*other)) {
      return true;
    }
  }
  return false;
}

} // namespace catkinloom
