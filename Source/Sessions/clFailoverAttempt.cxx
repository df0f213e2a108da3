#include "clFailoverAttempt.h"

#include "clLeadershipLease.h"
#include "clLog.h"
#include "clPromotionSender.h"
#include "clStoreKeys.h"

#include <algorithm>
#include <fmt/ranges.h>
#include <map>

namespace catkinloom {

namespace {

/// Delay before a step of an attempt is retried.
constexpr milliseconds kRetryDelay{ 30 };

/// Time that a promoter waits for evidence to expire, in percent of the
/// evidence lifetime.  Exceeds 100 because the clocks of different VMs run at
/// slightly different rates.
constexpr int kEvidenceWaitPercent = 120;

/// Shortest time from a promotion command until it takes effect.
constexpr milliseconds kMinPromotionTime{ 200 };

/// Time after which an attempt is abandoned.
constexpr milliseconds kMaxAttemptDuration{ 8000 };

} // namespace

std::string_view
FailoverReasonName(failover_reason aReason)
{
  switch (aReason) {
    case failover_reason::Unresponsive:
      return "silent";
    case failover_reason::CommitsStuck:
      return "commits_stuck";
    case failover_reason::Leaving:
      return "leaving";
    case failover_reason::Missing:
      return "missing";
    case failover_reason::Unfinished:
      return "unfinished";
    case failover_reason::NotLeading:
      return "not_leading";
  }
  return "silent";
}

std::vector<std::shared_ptr<upstream_instance>>
InstancesExcept(const upstream_group& aGroup, const std::string& aId)
{
  auto others = aGroup.Instances();
  std::erase_if(others, [&aId](const auto& aInstance) {
    return aInstance->mEntry.mId == aId;
  });
  return others;
}

instance_command
StatusCommand(const upstream_instance&)
{
  return instance_command::Status;
}

failover_attempt::failover_attempt(session_context& aContext,
                                   upstream_group& aGroup,
                                   failover_reason aReason,
                                   const failover_record& aRecord,
                                   std::optional<time_point> aPendingUntil)
  : mContext(aContext)
  , mGroup(aGroup)
  , mReason(aReason)
  , mPrimary(aGroup.Leadership().Leader())
  , mNamedLeader(mPrimary)
  , mRecord(aRecord)
  , mRecordFloor(aRecord.mFloor)
  , mConfirmedFloor(aRecord.mConfirmedFloor)
  , mUnansweredPromotions(aRecord.mPossibleLeaders)
  , mPendingUntil(aPendingUntil.value_or(aContext.Now()))
  , mDeadline(std::max(mPendingUntil, aContext.Now()) + kMaxAttemptDuration)
{
  const auto leader = aGroup.Leader();
  mMayAnotherLead = !leader || !leader->mReportsPrimary;
  mNeverSeenLeading = aRecord.mPhase == failover_phase::Complete &&
                      aRecord.mCommand.mToken != 0 && leader &&
                      !leader->mHasLed;
  if (mReason == failover_reason::Leaving && mMayAnotherLead) {
    // Its step-down would stop no commits.
    mReason = failover_reason::NotLeading;
  }
  const bool isExpired = aContext.Now() >= mPendingUntil;
  if (aRecord.mPhase == failover_phase::Complete && isExpired) {
    // Repetitions of the command that made it the leader.
    std::erase(mRecord.mPossibleLeaders, aRecord.mLeader);
    std::erase(mUnansweredPromotions, aRecord.mLeader);
  }
  mRecord.mPhase = failover_phase::InProgress;
  mRecord.mCommitsStopped = false;
  mRecord.mHolder = aContext.Name();
  mRecord.mLeader = mPrimary;
}

bool
failover_attempt::Run()
{
  Log(
    log_level::Info,
    "failover",
    "Attempt begins; it claims the failover record and stops commits. "
    "service={} leader={} reason={} revision={} former_holder={} may_lead=[{}] "
    "floor={}.{} loss_floor={}.{} unknown_loss={}",
    mGroup.Service(),
    mPrimary,
    FailoverReasonName(mReason),
    mRecord.mVersion.mRevision,
    mGroup.Leadership().Record().mHolder,
    fmt::join(mRecord.mPossibleLeaders, ","),
    mRecordFloor.mTerm,
    mRecordFloor.mIndex,
    mGroup.Leadership().LossFloor().mTerm,
    mGroup.Leadership().LossFloor().mIndex,
    mGroup.Leadership().HasUnknownLoss());
  if (!WriteRecord()) {
    return false;
  }
  while (MayContinue()) {
    if (const auto leader = FindCommandedLeader()) {
      return Complete(*leader);
    }
    if (MustAwaitEarlierCommand()) {
      mContext.mLoop.Sleep(mContext.mSettings.mLeaderRetryDelay);
      continue;
    }
    const auto chosen = PrepareNextLeader();
    if (!chosen) {
      mContext.mLoop.Sleep(mContext.mSettings.mLeaderRetryDelay);
      continue;
    }
    mRecord.mCommitsStopped = true;
    mRecord.mFloor =
      std::max(InheritedCommits().mFloor, MemberOf(*chosen).mPosition);
    const auto confirmed = FindConfirmedFloor(mMembers,
                                              mPrimary,
                                              InheritedCommits(),
                                              mGroup.Declared().mSyncReplicas,
                                              MayHaveLostMember());
    mRecord.mConfirmedFloor =
      std::min(mRecord.mFloor, confirmed.value_or(mRecord.mFloor));
    mGroup.Leadership().OnCommitsStopped(mRecord.mFloor, mCommitsStoppedAt);
    AwaitEvidenceExpiry();
    if (!IsStillEligible(*chosen) || !AreCommitsStillStopped()) {
      continue;
    }
    if (SendPromotion(*chosen)) {
      return Complete(*chosen);
    }
  }
  return false;
}

bool
failover_attempt::Complete(const std::string& aLeader)
{
  if (!CompleteRecord(aLeader)) {
    return false;
  }
  AwaitPromotion(aLeader);
  return true;
}

bool
failover_attempt::MustAwaitEarlierCommand()
{
  if (mContext.mSettings.mFencedPromotions ||
      mRecord.mPossibleLeaders.empty()) {
    return false;
  }
  if (Now() < mPendingUntil) {
    if (!mHasLoggedWait) {
      mHasLoggedWait = true;
      Log(
        log_level::Info,
        "failover",
        "Earlier promotion command has no response and may still be executed; "
        "no other one is sent before it expires. service={} instances=[{}] "
        "token={} remaining_ms={}",
        mGroup.Service(),
        fmt::join(mRecord.mPossibleLeaders, ","),
        mRecord.mCommand.mToken,
        std::chrono::duration_cast<milliseconds>(mPendingUntil - Now())
          .count());
    }
    return true;
  }
  if (!mUnansweredPromotions.empty()) {
    Log(
      log_level::Info,
      "failover",
      "Earlier promotion command has expired; commits are stopped anew, since "
      "it may have been executed. service={} instances=[{}] token={}",
      mGroup.Service(),
      fmt::join(mRecord.mPossibleLeaders, ","),
      mRecord.mCommand.mToken);
    mUnansweredPromotions.clear();
    mMembers.clear();
    mStopRounds = 0;
    mLeasesRevokedAt.reset();
  }
  return false;
}

std::optional<std::string>
failover_attempt::FindCommandedLeader()
{
  const auto& possibleLeaders = mRecord.mPossibleLeaders;
  const bool isSole = possibleLeaders.size() == 1;
  if (possibleLeaders.empty() ||
      (mContext.mSettings.mFencedPromotions && !isSole)) {
    return std::nullopt;
  }
  const auto instance = mGroup.Find(possibleLeaders.back());
  if (!instance) {
    return std::nullopt;
  }
  const auto status =
    mGroup.SendCommand(*instance, instance_command::Status, 0);
  const bool leads =
    status && status.value().mLeads && status.value().mTerm + 1 >= NextTerm();
  if (!leads) {
    return std::nullopt;
  }
  Log(
    log_level::Info,
    "failover",
    "Instance of an earlier promotion command leads; the record is completed. "
    "service={} instance={} term={} token={}",
    mGroup.Service(),
    possibleLeaders.back(),
    status.value().mTerm,
    mRecord.mCommand.mToken);
  return possibleLeaders.back();
}

bool
failover_attempt::MayContinue() const
{
  const failover_record& newest = mGroup.Leadership().Record();
  return Now() < mDeadline && newest.mVersion <= mRecord.mVersion;
}

void
failover_attempt::LogNoCandidate()
{
  if (mHasLoggedNoCandidate) {
    return;
  }
  mHasLoggedNoCandidate = true;
  const inherited_commits inherited = InheritedCommits();
  Log(log_level::Info,
      "failover",
      "No instance may lead without loss yet; attempt retries until its "
      "deadline. service={} floor={}.{} unknown_loss={} lost=[{}] "
      "unanswered_orders={}",
      mGroup.Service(),
      inherited.mFloor.mTerm,
      inherited.mFloor.mIndex,
      inherited.mOnlyPrimaryHasAll,
      fmt::join(IdsOf(mGroup.UncoveredLosses()), ","),
      mUnansweredPromotions.size());
}

std::optional<std::string>
failover_attempt::PrepareNextLeader()
{
  if (!StopCommits()) {
    return std::nullopt;
  }
  if (!ChooseCandidate()) {
    StepPrimaryDown();
    LogNoCandidate();
    return std::nullopt;
  }
  // A leader that still responds could commit with instances that this proxy
  // does not know yet, so it must step down.  Both steps run at the same time,
  // since an unresponsive leader must not delay the revocation of the leases.
  bool areRevoked = false;
  mContext.mLoop.RunAll(
    { [&] { StepPrimaryDown(); }, [&] { areRevoked = RevokeLeases(); } });
  return areRevoked ? ChooseCandidate() : std::nullopt;
}

void
failover_attempt::AwaitEvidenceExpiry()
{
  const nanoseconds wait =
    nanoseconds(mContext.mSettings.mLeadership.mEvidenceLifetime) *
      kEvidenceWaitPercent / 100 -
    nanoseconds(kMinPromotionTime);
  const time_point since = std::max(mCommitsStoppedAt, *mLeasesRevokedAt);
  const nanoseconds left = since + wait - Now();
  if (left > nanoseconds(0)) {
    mContext.mLoop.Sleep(left);
  }
}

failover_member&
failover_attempt::MemberOf(const std::string& aId)
{
  for (failover_member& member : mMembers) {
    if (member.mId == aId) {
      return member;
    }
  }
  failover_member added;
  added.mId = aId;
  return mMembers.emplace_back(std::move(added));
}

term_number
failover_attempt::NextTerm() const
{
  term_number newest = 0;
  for (const auto& instance : mGroup.Instances()) {
    newest = std::max({ newest, instance->mTerm, instance->mPosition.mTerm });
  }
  return newest + 1;
}

bool
failover_attempt::WriteRecord()
{
  if (mContext.mPorts.mStore.Generation() != mRecord.mVersion.mGeneration) {
    // The record as this proxy knows it is not the one that the store has now.
    LogRecordNotWritten("not read since the store was restored");
    mContext.mRefreshLeadership();
    return false;
  }
  const std::string key =
    std::string(store_keys::kFailoverPrefix) + mGroup.Service();
  const auto written =
    mContext.mPorts.mStore.Put(key,
                               EncodeFailoverRecord(mRecord),
                               mRecord.mVersion.mRevision,
                               0,
                               mContext.mSettings.mStoreTimeout);
  // In another generation, the expected revision belongs to another change.
  const bool isRestored =
    written && written.value().mGeneration != mRecord.mVersion.mGeneration;
  if (written && !isRestored &&
      written.value().mOutcome == store_write_outcome::Written) {
    mRecord.mVersion.mRevision = written.value().mRevision;
    mGroup.Leadership().OnRecordChange(mRecord);
    return true;
  }
  LogRecordNotWritten(!written     ? written.error().mDetail
                      : isRestored ? "the store was restored"
                                   : "changed by another");
  if (!written || isRestored) {
    // The write may have succeeded despite the error, so read the record again
    // before the next attempt.
    mContext.mRefreshLeadership();
  }
  return false;
}

void
failover_attempt::LogRecordNotWritten(std::string_view aCause) const
{
  Log(log_level::Info,
      "failover",
      "Record not written; failover attempt ends, or retries if the promotion "
      "was accepted. service={} expected={} cause={}",
      mGroup.Service(),
      mRecord.mVersion.mRevision,
      aCause);
}

bool
failover_attempt::StopCommits()
{
  while (MayContinue()) {
    // An instance that has left the group can no longer confirm commits.
    std::erase_if(mMembers, [&](const failover_member& aMember) {
      return aMember.mId != mPrimary && !mGroup.Find(aMember.mId);
    });
    SendStopCommands();
    if (AreCommitsStopped()) {
      mCommitsStoppedAt = Now();
      if (mReason == failover_reason::Leaving) {
        AwaitCaughtUpReplica();
      }
      return true;
    }
    if (mReason == failover_reason::Leaving) {
      // The draining leader did not step down, so pause the replicas instead.
      mReason = failover_reason::Unresponsive;
      continue;
    }
    mContext.mLoop.Sleep(kRetryDelay);
  }
  return false;
}

bool
failover_attempt::MustPauseFormerLeader(const failover_member& aMember) const
{
  if (aMember.mId != mPrimary || aMember.mPausedTerm != 0) {
    return false;
  }
  if (mMayAnotherLead) {
    const auto primary = mGroup.Find(mPrimary);
    return primary && !primary->mReportsPrimary;
  }
  return aMember.mStopped && !mRecord.mPossibleLeaders.empty();
}

instance_command
failover_attempt::StopCommandFor(const upstream_instance& aInstance) const
{
  const std::string& id = aInstance.mEntry.mId;
  const auto member = std::find_if(
    mMembers.begin(), mMembers.end(), [&id](const failover_member& aMember) {
      return aMember.mId == id;
    });
  const bool mustPause =
    member != mMembers.end() && MustPauseFormerLeader(*member);
  return id == mPrimary && !mustPause ? instance_command::StepDown
                                      : instance_command::Pause;
}

void
failover_attempt::SendStopCommands()
{
  const term_number next = NextTerm();
  const bool isPlanned = mReason == failover_reason::Leaving;
  std::vector<std::shared_ptr<upstream_instance>> pending;
  std::map<const upstream_instance*, instance_command> commands;
  for (const auto& instance : mGroup.Instances()) {
    failover_member& member = MemberOf(instance->mEntry.mId);
    member.mDraining = instance->mEntry.mDraining;
    const bool isPrimary = instance->mEntry.mId == mPrimary;
    // In an unplanned failover the first round skips the leader: a lost one
    // would only cost the time-out, and pausing the replicas may be enough.
    const bool isTarget = isPrimary ? isPlanned || mStopRounds > 0 : !isPlanned;
    const bool mustPause = member.mStopped && MustPauseFormerLeader(member);
    if ((!member.mStopped && isTarget) || mustPause) {
      pending.push_back(instance);
      commands[instance.get()] = StopCommandFor(*instance);
    }
  }
  ++mStopRounds;
  const auto answers = mGroup.SendToEach(
    pending,
    [&](const upstream_instance& aInstance) { return commands.at(&aInstance); },
    next);
  for (std::size_t i = 0; i < pending.size(); ++i) {
    RecordStopResponse(
      *pending[i], commands.at(pending[i].get()), next, answers[i]);
  }
  AdoptReturnedPrimary();
  EvaluatePauses(mMembers);
}

void
failover_attempt::AdoptReturnedPrimary()
{
  if (mPrimary != mNamedLeader || mGroup.Find(mNamedLeader)) {
    return;
  }
  const bool haveAllResponded = std::all_of(
    mMembers.begin(), mMembers.end(), [this](const failover_member& aMember) {
      return aMember.mTerm != 0 || aMember.mId == mPrimary;
    });
  if (!haveAllResponded) {
    // Without its response, the log of another one can't be compared.
    return;
  }
  const log_position newest = NewestKnownPosition();
  for (const failover_member& member : mMembers) {
    const auto instance = mGroup.Find(member.mId);
    const bool hasReturned =
      instance && instance->mEntry.mAddress == mGroup.LeaderAddress() &&
      member.mTerm + 1 >= NextTerm() && member.mHasLog &&
      member.mPosition >= newest;
    // The promotion of a leader that has nothing of its own term may have been
    // void, so that another instance led.
    const bool hasLed = mRecord.mCommand.mToken == 0 ||
                        member.mPosition.mTerm > mRecordFloor.mTerm;
    if (hasReturned && hasLed) {
      Log(log_level::Info,
          "failover",
          "Named leader is back under another id; its log counts as the "
          "leader's. service={} named={} instance={} log={}.{}",
          mGroup.Service(),
          mNamedLeader,
          member.mId,
          member.mPosition.mTerm,
          member.mPosition.mIndex);
      ReplacePrimary(member.mId);
      return;
    }
  }
}

bool
failover_attempt::HasNamedLeaderReturned() const
{
  const auto primary = mGroup.Find(mPrimary);
  return mPrimary != mNamedLeader && primary &&
         primary->mEntry.mAddress == mGroup.LeaderAddress();
}

void
failover_attempt::RecordStopResponse(upstream_instance& aInstance,
                                     instance_command aCommand,
                                     term_number aTerm,
                                     const result<instance_status>& aAnswer)
{
  failover_member& member = MemberOf(aInstance.mEntry.mId);
  bool hasLog = true;
  if (aAnswer) {
    const instance_status& status = aAnswer.value();
    const bool isPause = aCommand == instance_command::Pause;
    // The directory may not show yet that an instance restarted without its
    // log.  For a leader, stepping down then proves nothing; a replica may have
    // held the only other copy of a commit.
    hasLog = status.mReceived >=
             std::max(aInstance.mPreviousLogEnd, aInstance.mPosition);
    // The commits of a leader have been confirmed by others.
    if (!hasLog && isPause && member.mId != mNamedLeader) {
      mGroup.RecordLoss(aInstance.mEntry, Now());
    }
    if (IsActualPrimary(aInstance, status)) {
      Log(log_level::Info,
          "failover",
          "Another instance than the named leader leads; it is stepped down. "
          "service={} named={} instance={} term={}",
          mGroup.Service(),
          mPrimary,
          member.mId,
          status.mTerm);
      ReplacePrimary(member.mId);
    }
    member.mStopped = !isPause && !status.mLeads && hasLog;
    // A pause does not stop a leader.
    member.mPausedTerm = isPause && !status.mLeads ? status.mPausedTerm : 0;
    member.mTerm = status.mTerm;
    member.mPosition = status.mReceived;
    member.mHasLog = hasLog;
    member.mStartedAt = aInstance.mEntry.mStartedAt;
  }
  Log(
    log_level::Info,
    "failover",
    "Order answered; cause is empty if the instance responded to the stop "
    "command. service={} instance={} order={} term={} own_term={} held_term={} "
    "log={}.{} has_log={} cause={}",
    mGroup.Service(),
    member.mId,
    aCommand == instance_command::StepDown ? "step_down" : "hold",
    aTerm,
    member.mTerm,
    member.mPausedTerm,
    member.mPosition.mTerm,
    member.mPosition.mIndex,
    hasLog,
    aAnswer ? "" : aAnswer.error().mDetail);
}

bool
failover_attempt::IsActualPrimary(const upstream_instance& aInstance,
                                  const instance_status& aStatus) const
{
  const bool servesItsAddress =
    aInstance.mEntry.mAddress == mGroup.LeaderAddress();
  const bool mayLead =
    aInstance.mEntry.mId != mPrimary && (servesItsAddress || mMayAnotherLead);
  return mayLead && aStatus.mLeads && aStatus.mTerm + 1 >= NextTerm() &&
         aStatus.mReceived >= NewestKnownPosition();
}

log_position
failover_attempt::NewestKnownPosition() const
{
  log_position newest =
    std::max(InheritedCommits().mFloor, mGroup.Leadership().NewestPosition());
  for (const failover_member& member : mMembers) {
    newest = std::max(newest, member.mPosition);
  }
  return newest;
}

void
failover_attempt::ReplacePrimary(const std::string& aId)
{
  for (failover_member& member : mMembers) {
    if (member.mId == mPrimary && member.mPausedTerm == 0) {
      // It may receive the commits of the actual primary.
      member.mStopped = false;
    }
  }
  mPrimary = aId;
}

void
failover_attempt::StepPrimaryDown()
{
  const auto primary = mGroup.Find(mPrimary);
  if (!primary || MemberOf(mPrimary).mStopped) {
    return;
  }
  const term_number next = NextTerm();
  const auto answer =
    mGroup.SendCommand(*primary, instance_command::StepDown, next);
  RecordStopResponse(*primary, instance_command::StepDown, next, answer);
}

bool
failover_attempt::RevokeLeases()
{
  while (!mLeasesRevokedAt && MayContinue()) {
    const auto revoked = RevokeAllLeadershipLeases(mContext);
    if (revoked) {
      mLeasesRevokedAt = Now();
      return true;
    }
    Log(log_level::Info,
        "failover",
        "Permits not ended yet; retrying to revoke the leadership leases. "
        "service={} cause={}",
        mGroup.Service(),
        revoked.error().mDetail);
    mContext.mLoop.Sleep(kRetryDelay);
  }
  return mLeasesRevokedAt.has_value();
}

inherited_commits
failover_attempt::InheritedCommits() const
{
  const group_leadership& leadership = mGroup.Leadership();
  const log_position floor =
    HasNamedLeaderLostLog() ? mConfirmedFloor : mRecordFloor;
  return { std::max(
             { floor, leadership.LossFloor(), mGroup.Membership().mFloor }),
           leadership.HasUnknownLoss() && !HaveLostMembersReturned() &&
             !(mNeverSeenLeading && mPrimary == mNamedLeader) };
}

bool
failover_attempt::HaveLostMembersReturned() const
{
  const auto losses = mGroup.UncoveredLosses();
  const auto hasReturned = [this](const instance_entry& aLoss) {
    return std::any_of(
      mMembers.begin(), mMembers.end(), [&](const failover_member& aMember) {
        const auto instance = mGroup.Find(aMember.mId);
        return instance && aMember.mId != aLoss.mId && aMember.mStopped &&
               aMember.mHasLog && instance->mEntry.mAddress == aLoss.mAddress;
      });
  };
  return !losses.empty() &&
         std::all_of(losses.begin(), losses.end(), hasReturned);
}

bool
failover_attempt::HasNamedLeaderLostLog() const
{
  if (!mGroup.Find(mNamedLeader)) {
    return true;
  }
  return std::any_of(
    mMembers.begin(), mMembers.end(), [this](const failover_member& aMember) {
      const bool hasAnswered = aMember.mTerm != 0;
      return aMember.mId == mNamedLeader && hasAnswered &&
             aMember.mPosition < mRecordFloor;
    });
}

bool
failover_attempt::MayHaveLostMember() const
{
  // A group that has all its instances has replaced each one that it lost.
  constexpr std::size_t kFullGroupSize = 3;
  const group_leadership& leadership = mGroup.Leadership();
  return leadership.HasUnknownLoss() ||
         (leadership.HasUnknownHistory() &&
          mGroup.Instances().size() < kFullGroupSize);
}

bool
failover_attempt::CanExcludePrimary() const
{
  return mReason == failover_reason::CommitsStuck &&
         ReplicasHoldEveryCommit(mMembers,
                                 mPrimary,
                                 mGroup.Declared().mSyncReplicas,
                                 MayHaveLostMember());
}

std::optional<std::string>
failover_attempt::ChooseCandidate() const
{
  const inherited_commits inherited = InheritedCommits();
  auto pending = FindSoleCommandedInstance(mRecord.mPossibleLeaders);
  const bool answers =
    pending &&
    std::any_of(
      mMembers.begin(), mMembers.end(), [&](const failover_member& aMember) {
        return aMember.mId == *pending && aMember.mStopped &&
               aMember.mPosition >= inherited.mFloor;
      });
  // If the platform checks tokens, repeating the promotion command under a
  // newer token cancels the earlier one, even if it is refused.  Until then the
  // earlier command could replace any other leader.
  if (answers || (pending && mContext.mSettings.mFencedPromotions)) {
    return pending;
  }
  std::optional<std::string> chosen;
  // A primary that reaches no replica would stay stuck after a promotion.
  if (CanExcludePrimary()) {
    std::vector<failover_member> others = mMembers;
    std::erase_if(others, [this](const failover_member& aMember) {
      return aMember.mId == mPrimary;
    });
    chosen = ChooseNextLeader(others, mPrimary, inherited, PossibleLeaders());
  }
  if (!chosen) {
    chosen = ChooseNextLeader(mMembers, mPrimary, inherited, PossibleLeaders());
  }
  return chosen;
}

std::vector<std::string>
failover_attempt::PossibleLeaders() const
{
  std::vector<std::string> possible = mRecord.mPossibleLeaders;
  if (mMayAnotherLead) {
    const auto unseen = FindUnseenLeaders(mMembers, mPrimary);
    possible.insert(possible.end(), unseen.begin(), unseen.end());
    if (mPrimary != mNamedLeader && !mGroup.Find(mNamedLeader) &&
        !HasNamedLeaderReturned()) {
      possible.push_back(mNamedLeader);
    }
  }
  return possible;
}

bool
failover_attempt::AreCommitsStopped() const
{
  std::vector<std::string> possibleLeaders = PossibleLeaders();
  if (const auto next = ChooseCandidate()) {
    std::erase(possibleLeaders, *next);
  }
  return IsEveryCommitStopped(
    mMembers, mPrimary, possibleLeaders, mGroup.Declared().mSyncReplicas);
}

bool
failover_attempt::AreCommitsStillStopped()
{
  for (const auto& instance : mGroup.Instances()) {
    failover_member& member = MemberOf(instance->mEntry.mId);
    const bool hasRestarted =
      member.mStopped && member.mStartedAt != instance->mEntry.mStartedAt;
    if (hasRestarted) {
      Log(log_level::Info,
          "failover",
          "Instance restarted during the attempt; its stop no longer counts. "
          "service={} instance={}",
          mGroup.Service(),
          member.mId);
      member = failover_member{};
      member.mId = instance->mEntry.mId;
    }
  }
  RecheckPausedReplicas();
  if (AreCommitsStopped()) {
    return true;
  }
  Log(log_level::Info,
      "failover",
      "Commits became possible again during the attempt; stopping them again. "
      "service={}",
      mGroup.Service());
  return false;
}

void
failover_attempt::RecheckPausedReplicas()
{
  auto paused = mGroup.Instances();
  std::erase_if(paused, [this](const auto& aInstance) {
    return MemberOf(aInstance->mEntry.mId).mPausedTerm == 0;
  });
  const auto answers = mGroup.SendToEach(paused, StatusCommand, 0);
  for (std::size_t i = 0; i < paused.size(); ++i) {
    failover_member& member = MemberOf(paused[i]->mEntry.mId);
    // Another proxy may have resumed and paused it again in the meantime.
    const bool isUnchanged =
      !answers[i] || (answers[i].value().mPausedTerm >= member.mPausedTerm &&
                      answers[i].value().mReceived == member.mPosition);
    if (!isUnchanged) {
      member.mPausedTerm = 0;
      member.mStopped = false;
    }
  }
  EvaluatePauses(mMembers);
}

bool
failover_attempt::IsStillEligible(const std::string& aChosen)
{
  if (mContext.mSettings.mFencedPromotions &&
      FindSoleCommandedInstance(mRecord.mPossibleLeaders) == aChosen) {
    // The earlier promotion command may be executed whatever its status is.
    return true;
  }
  const auto instance = mGroup.Find(aChosen);
  if (instance && AwaitEligibility(*instance) == eligibility::Confirmed) {
    return true;
  }
  Log(log_level::Info,
      "failover",
      "Chosen instance unreachable or changed; choosing again. service={} "
      "instance={}",
      mGroup.Service(),
      aChosen);
  failover_member& member = MemberOf(aChosen);
  member.mStopped = false;
  member.mPausedTerm = 0;
  return false;
}

eligibility
failover_attempt::AwaitEligibility(upstream_instance& aChosen)
{
  const time_point until = Now() + mContext.mSettings.mBusyInstanceTimeout;
  while (true) {
    const auto status =
      mGroup.SendCommand(aChosen, instance_command::Status, 0);
    eligibility_response response;
    response.mIsBusy =
      !status && status.error().mKind == error_kind::UpstreamRefused;
    response.mIsAnswered = status || response.mIsBusy;
    if (status) {
      response.mPausedTerm = status.value().mPausedTerm;
      response.mReceived = status.value().mReceived;
    }
    const eligibility result =
      EvaluateEligibility(MemberOf(aChosen.mEntry.mId), response);
    // Without a leader, the reads of the group may fill the queue of the chosen
    // instance.  Asking it again takes less time than choosing again.
    if (result != eligibility::Unknown || Now() >= until || !MayContinue()) {
      return result;
    }
    mContext.mLoop.Sleep(kRetryDelay);
  }
}

void
failover_attempt::AwaitCaughtUpReplica()
{
  const log_position end = MemberOf(mPrimary).mPosition;
  const time_point until = Now() + mContext.mSettings.mMaxCatchUpWait;
  while (Now() < until) {
    const auto others = InstancesExcept(mGroup, mPrimary);
    const auto answers = mGroup.SendToEach(others, StatusCommand, 0);
    for (std::size_t i = 0; i < others.size(); ++i) {
      if (!answers[i]) {
        continue;
      }
      const instance_entry& entry = others[i]->mEntry;
      failover_member& member = MemberOf(entry.mId);
      member.mReportedAfterStop = true;
      member.mPosition = answers[i].value().mReceived;
      member.mStartedAt = entry.mStartedAt;
      // The log of a replica can't grow, since there is no leader.
      member.mStopped = !entry.mDraining && member.mPosition >= end;
      if (member.mStopped) {
        return;
      }
    }
    mContext.mLoop.Sleep(kRetryDelay);
  }
}

bool
failover_attempt::SendPromotion(const std::string& aChosen)
{
  const session_settings& settings = mContext.mSettings;
  auto& possibleLeaders = mRecord.mPossibleLeaders;
  std::erase(possibleLeaders, aChosen);
  possibleLeaders.push_back(aChosen);
  // The record names the instance and the token before the command is sent.
  mRecord.mCommand = { NextFencingToken(mRecord), mContext.Name() };
  const time_point writtenAt = Now();
  const time_point sendBy = writtenAt + settings.mPromotionSendWindow;
  if (!WriteRecord()) {
    mWithdrawnCommand = mRecord.mCommand;
    mDeadline = Now();
    return false;
  }
  const promotion_result sent =
    SendPromotionCommand(mContext,
                         { mGroup.Service(),
                           aChosen,
                           mContext.Name(),
                           mRecord.mCommand.mToken,
                           sendBy },
                         [this] { return MayContinue(); });
  const promotion_outcome end = sent.mOutcome;
  if (sent.mIsUnanswered && !IsUnanswered(aChosen)) {
    mUnansweredPromotions.push_back(aChosen);
  }
  if (end == promotion_outcome::Accepted) {
    return true;
  }
  if (end == promotion_outcome::Refused && settings.mFencedPromotions) {
    // The platform has seen this token and will refuse the earlier command too.
    std::erase(mUnansweredPromotions, aChosen);
  }
  if (!IsUnanswered(aChosen)) {
    mWithdrawnCommand = mRecord.mCommand;
    std::erase(possibleLeaders, aChosen);
  } else if (!settings.mFencedPromotions) {
    mPendingUntil = writtenAt + settings.mUnansweredCommandLifetime;
    mDeadline = mPendingUntil + kMaxAttemptDuration;
  }
  if (end == promotion_outcome::NotExecuted && !IsUnanswered(aChosen)) {
    YieldRecord();
    return false;
  }
  if (end == promotion_outcome::Refused) {
    // The instance is not running, or another attempt is newer: its status must
    // be queried again.
    std::erase_if(mMembers, [&](const failover_member& aMember) {
      return aMember.mId == aChosen;
    });
  }
  mContext.mLoop.Sleep(kPromotionRetryDelay);
  return false;
}

void
failover_attempt::YieldRecord()
{
  Log(log_level::Info,
      "failover",
      "Management API accepted no command; the record is released, so that "
      "another proxy takes over at once. service={} token={}",
      mGroup.Service(),
      mRecord.mCommand.mToken);
  mRecord.mHolder.clear();
  mRecord.mCommitsStopped = false;
  mHasYielded = WriteRecord();
  mDeadline = Now();
}

bool
failover_attempt::IsUnanswered(const std::string& aInstance) const
{
  return std::find(mUnansweredPromotions.begin(),
                   mUnansweredPromotions.end(),
                   aInstance) != mUnansweredPromotions.end();
}

bool
failover_attempt::CompleteRecord(const std::string& aLeader)
{
  mRecord.mPhase = failover_phase::Complete;
  mRecord.mLeader = aLeader;
  mRecord.mCommitsStopped = false;
  // A platform that checks tokens refuses commands older than this one.
  mRecord.mPossibleLeaders = mContext.mSettings.mFencedPromotions
                               ? std::vector<std::string>()
                               : mUnansweredPromotions;
  const time_point until = Now() + mContext.mSettings.mPromotionEffectTimeout;
  while (Now() < until) {
    if (WriteRecord()) {
      mGroup.NotifyAll();
      return true;
    }
    mContext.mLoop.Sleep(mContext.mSettings.mStoreRetryDelay);
    const failover_record& seen = mGroup.Leadership().Record();
    if (seen.mVersion > mRecord.mVersion) {
      return seen.mLeader == aLeader;
    }
  }
  return false;
}

void
failover_attempt::AwaitPromotion(const std::string& aLeader)
{
  const time_point until = Now() + mContext.mSettings.mPromotionEffectTimeout;
  while (Now() < until) {
    const auto leader = mGroup.Find(aLeader);
    if (!leader || mGroup.Leadership().Leader() != aLeader) {
      return;
    }
    const auto status =
      mGroup.SendCommand(*leader, instance_command::Status, 0);
    if (status && status.value().mLeads) {
      Log(log_level::Info,
          "failover",
          "Leader leads; paused replicas are resumed. service={} "
          "instance={} term={}",
          mGroup.Service(),
          aLeader,
          status.value().mTerm);
      mGroup.NotifyAll();
      ResumePausedReplicas(aLeader);
      return;
    }
    mContext.mLoop.Sleep(mContext.mSettings.mLeaderRetryDelay);
  }
}

void
failover_attempt::ResumePausedReplicas(const std::string& aLeader)
{
  const auto others = InstancesExcept(mGroup, aLeader);
  const auto answers = mGroup.SendToEach(others, StatusCommand, 0);
  for (std::size_t i = 0; i < others.size(); ++i) {
    const bool isPaused =
      answers[i] && answers[i].value().mPausedTerm > answers[i].value().mTerm;
    if (isPaused) {
      const auto resumed =
        mGroup.SendCommand(*others[i], instance_command::Resume, 0);
      Log(
        log_level::Info,
        "failover",
        "Resume command sent to paused replica. service={} instance={} done={}",
        mGroup.Service(),
        others[i]->mEntry.mId,
        bool(resumed));
    }
  }
}

} // namespace catkinloom
