#include "clFailoverRunner.h"

#include "clLeadershipPermit.h"
#include "clLog.h"
#include "clStoreKeys.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Pause of one group's watch after a false alarm or a failed attempt.
constexpr milliseconds kQuietAfterFalseAlarm{ 200 };

/// Pause between two tries within an attempt.
constexpr milliseconds kStepPause{ 30 };

/// Lateness of a look that shows that this process itself stood still; what
/// it believes of others' silence then says nothing.
constexpr milliseconds kOwnStall{ 150 };

/// How long, in evidence lifetimes, a promoter waits.  Source: clocks run
/// within a tenth of each other; the same again for rounding.
constexpr int kWaitPercent = 120;

/// Least time from a promotion order to its effect.  Source: the platform's
/// pages say "some hundred ms"; the deployments take 600 to 1,000 ms.
constexpr milliseconds kLeastPromotionTime{ 200 };

/// Time after which every replica that stays has what one that left had.
/// Source: the deployments' replicas miss changes for 12 s at the longest.
constexpr milliseconds kMemberMemory{ 20000 };

/// Longest time for one attempt.
constexpr milliseconds kAttemptLimit{ 8000 };

instance_order
AskStatus(const upstream_instance&)
{
  return instance_order::Status;
}

std::vector<std::shared_ptr<upstream_instance>>
OthersThan(const upstream_group& aGroup, const std::string& aId)
{
  auto others = aGroup.Instances();
  std::erase_if(others, [&aId](const auto& aInstance) {
    return aInstance->mEntry.mId == aId;
  });
  return others;
}

failover_member&
MemberOf(std::vector<failover_member>& aMembers, const std::string& aId)
{
  for (failover_member& member : aMembers) {
    if (member.mId == aId) {
      return member;
    }
  }
  failover_member added;
  added.mId = aId;
  return aMembers.emplace_back(std::move(added));
}

} // namespace

std::string_view
FailoverReasonName(failover_reason aReason)
{
  switch (aReason) {
    case failover_reason::Silent:
      return "silent";
    case failover_reason::CommitsStuck:
      return "commits_stuck";
    case failover_reason::Leaving:
      return "leaving";
    case failover_reason::Missing:
      return "missing";
    case failover_reason::Unfinished:
      return "unfinished";
  }
  return "silent";
}

void
failover_runner::Run()
{
  mLookedAt = mContext.Now();
  while (!mContext.mDraining) {
    mContext.mLoop.Sleep(mContext.mSettings.mHealthInterval);
    const time_point now = mContext.Now();
    const bool stalled =
      now - mLookedAt > mContext.mSettings.mHealthInterval + kOwnStall;
    mLookedAt = now;
    if (stalled || !IsDirectoryWhole(now)) {
      continue;
    }
    for (const auto& [service, group] : mContext.mGroups) {
      const bool declared =
        mContext.mDesired && mContext.mDesired->mServices.count(service) > 0;
      if (declared) {
        Look(*group, now);
      }
    }
  }
}

bool
failover_runner::IsDirectoryWhole(time_point aNow) const
{
  const auto& since = mContext.mStoreReachedSince;
  return since && aNow - *since >= mContext.mSettings.mEntryGrace;
}

void
failover_runner::Look(upstream_group& aGroup, time_point aNow)
{
  group_watch& watch = mWatches[aGroup.Service()];
  if (watch.mRunning || aNow < watch.mQuietUntil) {
    return;
  }
  if (const auto reason = ReasonFor(aGroup, watch, aNow)) {
    watch.mRunning = true;
    Start(aGroup, *reason);
  }
}

std::optional<failover_reason>
failover_runner::ReasonFor(upstream_group& aGroup,
                           group_watch& aWatch,
                           time_point aNow) const
{
  const session_settings& settings = mContext.mSettings;
  const failover_record& record = aGroup.Leadership().Record();
  if (aWatch.mSeenRevision != record.mRevision) {
    aWatch.mSeenRevision = record.mRevision;
    aWatch.mSeenSince = aNow;
  }
  // Another proxy's last order may still be on its way: it keeps the duty for
  // the time of a lease.
  const bool isOwn = record.mRevision == 0 || record.mHolder == mContext.Name();
  const bool noOrder = record.mPhase == failover_phase::Contested &&
                       record.mPossibleLeaders.empty();
  const milliseconds lease =
    noOrder ? settings.mAttemptLifetime : settings.mHolderLease;
  if (!isOwn && aNow - aWatch.mSeenSince < lease) {
    return std::nullopt;
  }
  if (record.mPhase == failover_phase::Contested) {
    return failover_reason::Unfinished;
  }
  if (aGroup.Leadership().Leader().empty() || aGroup.Instances().empty()) {
    return std::nullopt;
  }
  const auto leader = aGroup.Leader();
  if (!leader) {
    return failover_reason::Missing;
  }
  if (leader->mEntry.mDraining && aGroup.Instances().size() > 1) {
    return failover_reason::Leaving;
  }
  if (leader->mHealth.SilentFor(aNow) >= settings.mLeaderSilence) {
    return failover_reason::Silent;
  }
  if (leader->mHealth.CommitsSilentFor(aNow) >= settings.mCommitSilence) {
    return failover_reason::CommitsStuck;
  }
  return std::nullopt;
}

void
failover_runner::Start(upstream_group& aGroup, failover_reason aReason)
{
  // The record as it stands now is what the attempt replaces: another proxy
  // may begin while this one confirms its suspicion.
  const failover_record record = aGroup.Leadership().Record();
  mContext.mLoop.Spawn([this, &aGroup, aReason, record] {
    const bool confirmed = Confirm(aGroup, aReason);
    const bool unchanged =
      aGroup.Leadership().Record().mRevision == record.mRevision;
    if (confirmed && unchanged) {
      const bool done = Attempt(aGroup, aReason, record);
      Log(log_level::Info,
          "failover",
          "Attempt ended. service={} done={}",
          aGroup.Service(),
          done);
    }
    group_watch& watch = mWatches[aGroup.Service()];
    watch.mRunning = false;
    watch.mQuietUntil = mContext.Now() + kQuietAfterFalseAlarm;
  });
}

bool
failover_runner::IsReplicating(upstream_group& aGroup)
{
  const auto leader = aGroup.Leader();
  if (!leader) {
    return false;
  }
  const auto own = aGroup.Order(*leader, instance_order::Status, 0);
  if (!own || !own.value().mLeads) {
    return false;
  }
  const auto others = OthersThan(aGroup, leader->mEntry.mId);
  const auto answers = aGroup.OrderEach(others, AskStatus, 0);
  return std::any_of(
    answers.begin(), answers.end(), [&own](const auto& aAnswer) {
      return aAnswer && aAnswer.value().mReceived >= own.value().mReceived;
    });
}

bool
failover_runner::Confirm(upstream_group& aGroup, failover_reason aReason)
{
  const auto leader = aGroup.Leader();
  if (aReason == failover_reason::CommitsStuck) {
    return !IsReplicating(aGroup);
  }
  if (aReason != failover_reason::Silent || !leader) {
    return true;
  }
  const time_point askedAt = mContext.Now();
  if (aGroup.AnswersAnew(*leader)) {
    leader->mHealth.NoteSent(askedAt, false);
    leader->mHealth.NoteAnswered(mContext.Now(), false);
    return false;
  }
  // A proxy that reaches nobody is cut off itself and replaces nobody.
  for (const auto& other : aGroup.Instances()) {
    if (other != leader && aGroup.AnswersAnew(*other)) {
      return true;
    }
  }
  return false;
}

term_number
failover_runner::NextTerm(const upstream_group& aGroup) const
{
  term_number newest = 0;
  for (const auto& instance : aGroup.Instances()) {
    newest = std::max({ newest, instance->mTerm, instance->mPosition.mTerm });
  }
  return newest + 1;
}

bool
failover_runner::WriteRecord(attempt& aAttempt)
{
  const std::string key =
    std::string(store_keys::kFailover) + aAttempt.mGroup.Service();
  const auto written =
    mContext.mPorts.mStore.Put(key,
                               EncodeFailoverRecord(aAttempt.mRecord),
                               aAttempt.mRecord.mRevision,
                               0,
                               mContext.mSettings.mStoreTimeout);
  if (written && written.value().mEnd == store_write_end::Written) {
    aAttempt.mRecord.mRevision = written.value().mRevision;
    aAttempt.mGroup.Leadership().OnRecordNews(aAttempt.mRecord);
    return true;
  }
  Log(log_level::Info,
      "failover",
      "Record not written. service={} expected={} cause={}",
      aAttempt.mGroup.Service(),
      aAttempt.mRecord.mRevision,
      written ? "changed by another" : written.error().mDetail);
  if (!written) {
    // It may have been written all the same: look before the next try.
    mContext.mRefreshLeadership();
  }
  return false;
}

bool
failover_runner::Attempt(upstream_group& aGroup,
                         failover_reason aReason,
                         const failover_record& aRecord)
{
  attempt now{ aGroup,  aReason, aGroup.Leadership().Leader(),
               aRecord, {},      0,
               {},      {},      {} };
  now.mGiveUpAt = mContext.Now() + kAttemptLimit;
  now.mRecord.mPhase = failover_phase::Contested;
  now.mRecord.mCommitsStopped = false;
  now.mRecord.mHolder = mContext.Name();
  now.mRecord.mLeader = now.mPrimary;
  Log(log_level::Info,
      "failover",
      "Attempt begins. service={} leader={} reason={} revision={}",
      aGroup.Service(),
      now.mPrimary,
      FailoverReasonName(aReason),
      now.mRecord.mRevision);
  if (!WriteRecord(now)) {
    return false;
  }
  while (mContext.Now() < now.mGiveUpAt) {
    if (!StopCommits(now)) {
      return false;
    }
    // A leader that still answers must not go on with instances that this
    // proxy does not know yet.  A silent one is not waited for before the
    // permits are ended.
    bool isEnded = false;
    mContext.mLoop.RunAll(
      { [&] { StepPrimaryDown(now); }, [&] { isEnded = EndPermits(now); } });
    if (!isEnded) {
      return false;
    }
    const auto chosen = ChooseFor(now);
    if (!chosen) {
      return false;
    }
    now.mRecord.mCommitsStopped = true;
    now.mRecord.mFloor = MemberOf(now.mMembers, *chosen).mPosition;
    aGroup.Leadership().OnCommitsStopped(now.mRecord.mFloor, now.mStoppedAt);
    const nanoseconds wait =
      nanoseconds(mContext.mSettings.mLeadership.mEvidenceLifetime) *
        kWaitPercent / 100 -
      nanoseconds(kLeastPromotionTime);
    const time_point since = std::max(now.mStoppedAt, *now.mPermitsEndedAt);
    const nanoseconds left = since + wait - mContext.Now();
    if (left > nanoseconds(0)) {
      mContext.mLoop.Sleep(left);
    }
    if (HasNewMember(now)) {
      continue;
    }
    if (OrderPromotion(now, *chosen)) {
      if (Settle(now, *chosen)) {
        AwaitEffect(now, *chosen);
        return true;
      }
      return false;
    }
  }
  return false;
}

void
failover_runner::StepPrimaryDown(attempt& aAttempt)
{
  const auto primary = aAttempt.mGroup.Find(aAttempt.mPrimary);
  failover_member& member = MemberOf(aAttempt.mMembers, aAttempt.mPrimary);
  if (!primary || member.mStopped) {
    return;
  }
  const auto status = aAttempt.mGroup.Order(
    *primary, instance_order::StepDown, NextTerm(aAttempt.mGroup));
  if (status && !status.value().mLeads) {
    MemberOf(aAttempt.mMembers, aAttempt.mPrimary).mStopped = true;
    MemberOf(aAttempt.mMembers, aAttempt.mPrimary).mPosition =
      status.value().mReceived;
  }
  Log(log_level::Info,
      "failover",
      "Former leader told to step down. service={} instance={} done={}",
      aAttempt.mGroup.Service(),
      aAttempt.mPrimary,
      status && !status.value().mLeads);
}

bool
failover_runner::HasNewMember(attempt& aAttempt)
{
  for (const auto& instance : aAttempt.mGroup.Instances()) {
    const std::string& id = instance->mEntry.mId;
    if (id != aAttempt.mPrimary && !MemberOf(aAttempt.mMembers, id).mStopped &&
        aAttempt.mReason != failover_reason::Leaving) {
      Log(log_level::Info,
          "failover",
          "Instance came up during the attempt. service={} instance={}",
          aAttempt.mGroup.Service(),
          id);
      return true;
    }
  }
  return false;
}

bool
failover_runner::EndPermits(attempt& aAttempt)
{
  while (!aAttempt.mPermitsEndedAt && mContext.Now() < aAttempt.mGiveUpAt) {
    const auto ended = EndEveryPermit(mContext);
    if (ended) {
      aAttempt.mPermitsEndedAt = mContext.Now();
      return true;
    }
    Log(log_level::Info,
        "failover",
        "Permits not ended yet. service={} cause={}",
        aAttempt.mGroup.Service(),
        ended.error().mDetail);
    mContext.mLoop.Sleep(kStepPause);
  }
  return aAttempt.mPermitsEndedAt.has_value();
}

void
failover_runner::StopOnce(attempt& aAttempt)
{
  upstream_group& group = aAttempt.mGroup;
  const term_number next = NextTerm(group);
  const bool planned = aAttempt.mReason == failover_reason::Leaving;
  const auto orderOf = [&aAttempt](const upstream_instance& aInstance) {
    return aInstance.mEntry.mId == aAttempt.mPrimary ? instance_order::StepDown
                                                     : instance_order::Hold;
  };
  std::vector<std::shared_ptr<upstream_instance>> ordered;
  for (const auto& instance : group.Instances()) {
    failover_member& member = MemberOf(aAttempt.mMembers, instance->mEntry.mId);
    member.mDraining = instance->mEntry.mDraining;
    const bool isPrimary = instance->mEntry.mId == aAttempt.mPrimary;
    // A lost leader would only be waited for, unless the others are not enough.
    const bool wanted = isPrimary ? planned || aAttempt.mRounds > 0 : !planned;
    if (!member.mStopped && wanted) {
      ordered.push_back(instance);
    }
  }
  ++aAttempt.mRounds;
  const auto answers = group.OrderEach(ordered, orderOf, next);
  for (std::size_t i = 0; i < ordered.size(); ++i) {
    const instance_order order = orderOf(*ordered[i]);
    failover_member& member =
      MemberOf(aAttempt.mMembers, ordered[i]->mEntry.mId);
    if (answers[i]) {
      const instance_status& status = answers[i].value();
      const bool isHold = order == instance_order::Hold;
      member.mStopped = !isHold && !status.mLeads;
      member.mHeldTerm = isHold ? status.mHeldTerm : 0;
      member.mTerm = status.mTerm;
      member.mPosition = status.mReceived;
    }
    Log(log_level::Info,
        "failover",
        "Order answered. service={} instance={} order={} term={} own_term={} "
        "held_term={} log={}.{} cause={}",
        group.Service(),
        member.mId,
        order == instance_order::StepDown ? "step_down" : "hold",
        next,
        member.mTerm,
        member.mHeldTerm,
        member.mPosition.mTerm,
        member.mPosition.mIndex,
        answers[i] ? "" : answers[i].error().mDetail);
  }
  JudgeHolds(aAttempt.mMembers);
}

std::optional<std::string>
failover_runner::ChooseFor(const attempt& aAttempt) const
{
  auto ordered = OnlyOrdered(aAttempt.mRecord.mPossibleLeaders);
  const bool answers =
    ordered && std::any_of(aAttempt.mMembers.begin(),
                           aAttempt.mMembers.end(),
                           [&ordered](const failover_member& aMember) {
                             return aMember.mId == *ordered && aMember.mStopped;
                           });
  if (answers) {
    return ordered;
  }
  std::vector<failover_member> candidates = aAttempt.mMembers;
  // A primary that reaches no replica would be just as stuck afterwards.
  const bool isCutOff =
    aAttempt.mReason == failover_reason::CommitsStuck &&
    HoldEveryCommitWithout(candidates,
                           aAttempt.mPrimary,
                           aAttempt.mGroup.Declared().mSyncReplicas,
                           aAttempt.mGroup.HasLostMember(kMemberMemory));
  if (isCutOff) {
    std::erase_if(candidates, [&aAttempt](const failover_member& aMember) {
      return aMember.mId == aAttempt.mPrimary;
    });
  }
  return ChooseNextLeader(candidates, aAttempt.mPrimary);
}

bool
failover_runner::IsStopped(const attempt& aAttempt) const
{
  std::vector<std::string> mayLead = aAttempt.mRecord.mPossibleLeaders;
  if (const auto next = ChooseFor(aAttempt)) {
    std::erase(mayLead, *next);
  }
  return IsEveryCommitStopped(aAttempt.mMembers,
                              aAttempt.mPrimary,
                              mayLead,
                              aAttempt.mGroup.Declared().mSyncReplicas);
}

bool
failover_runner::StopCommits(attempt& aAttempt)
{
  upstream_group& group = aAttempt.mGroup;
  while (mContext.Now() < aAttempt.mGiveUpAt) {
    // An instance that has left can confirm nothing any more.
    std::erase_if(aAttempt.mMembers, [&](const failover_member& aMember) {
      return aMember.mId != aAttempt.mPrimary && !group.Find(aMember.mId);
    });
    StopOnce(aAttempt);
    if (IsStopped(aAttempt)) {
      aAttempt.mStoppedAt = mContext.Now();
      if (aAttempt.mReason == failover_reason::Leaving) {
        LevelWith(aAttempt);
      }
      return true;
    }
    if (aAttempt.mReason == failover_reason::Leaving) {
      // The leader did not step down by itself: stop all others instead.
      aAttempt.mReason = failover_reason::Silent;
      continue;
    }
    mContext.mLoop.Sleep(kStepPause);
  }
  return false;
}

void
failover_runner::LevelWith(attempt& aAttempt)
{
  upstream_group& group = aAttempt.mGroup;
  const log_position end =
    MemberOf(aAttempt.mMembers, aAttempt.mPrimary).mPosition;
  const time_point until = mContext.Now() + mContext.mSettings.mHandOverWait;
  while (mContext.Now() < until) {
    std::vector<std::shared_ptr<upstream_instance>> staying;
    for (const auto& instance : group.Instances()) {
      if (instance->mEntry.mId != aAttempt.mPrimary &&
          !instance->mEntry.mDraining) {
        staying.push_back(instance);
      }
    }
    const auto answers = group.OrderEach(staying, AskStatus, 0);
    for (std::size_t i = 0; i < staying.size(); ++i) {
      if (answers[i] && answers[i].value().mReceived >= end) {
        failover_member& member =
          MemberOf(aAttempt.mMembers, staying[i]->mEntry.mId);
        // Nothing can be added to its log, since nobody leads.
        member.mStopped = true;
        member.mPosition = answers[i].value().mReceived;
        return;
      }
    }
    mContext.mLoop.Sleep(kStepPause);
  }
}

bool
failover_runner::OrderPromotion(attempt& aAttempt, const std::string& aChosen)
{
  auto& mayLead = aAttempt.mRecord.mPossibleLeaders;
  if (std::find(mayLead.begin(), mayLead.end(), aChosen) == mayLead.end()) {
    mayLead.push_back(aChosen);
  }
  // The order is on record before it is given, and its token is new.
  if (!WriteRecord(aAttempt)) {
    aAttempt.mGiveUpAt = mContext.Now();
    return false;
  }
  const promotion_order order{ aAttempt.mGroup.Service(),
                               aChosen,
                               mContext.Name(),
                               aAttempt.mRecord.mRevision };
  mContext.mMetrics.mPromotions.Increment();
  const promotion_end end = mContext.mPorts.mPromotions.Promote(
    order, mContext.mSettings.mPromoteTimeout);
  Log(log_level::Info,
      "failover",
      "Promotion ordered. service={} instance={} token={} end={}",
      order.mService,
      order.mInstance,
      order.mFencingToken,
      static_cast<int>(end));
  if (end == promotion_end::Accepted) {
    return true;
  }
  if (end == promotion_end::Refused || end == promotion_end::NotDone) {
    std::erase(mayLead, aChosen);
  }
  if (end == promotion_end::Refused) {
    // It does not run, or another attempt is newer: look again.
    std::erase_if(aAttempt.mMembers, [&](const failover_member& aMember) {
      return aMember.mId == aChosen;
    });
  }
  mContext.mLoop.Sleep(kStepPause * 3);
  return false;
}

bool
failover_runner::Settle(attempt& aAttempt, const std::string& aLeader)
{
  aAttempt.mRecord.mPhase = failover_phase::Settled;
  aAttempt.mRecord.mLeader = aLeader;
  aAttempt.mRecord.mCommitsStopped = false;
  aAttempt.mRecord.mPossibleLeaders.clear();
  const time_point until = mContext.Now() + mContext.mSettings.mPromoteEffect;
  while (mContext.Now() < until) {
    if (WriteRecord(aAttempt)) {
      aAttempt.mGroup.WakeAll();
      return true;
    }
    mContext.mLoop.Sleep(mContext.mSettings.mStoreRetryPause);
    const failover_record& seen = aAttempt.mGroup.Leadership().Record();
    if (seen.mRevision > aAttempt.mRecord.mRevision) {
      return seen.mLeader == aLeader;
    }
  }
  return false;
}

void
failover_runner::AwaitEffect(attempt& aAttempt, const std::string& aLeader)
{
  upstream_group& group = aAttempt.mGroup;
  const time_point until = mContext.Now() + mContext.mSettings.mPromoteEffect;
  while (mContext.Now() < until) {
    const auto leader = group.Find(aLeader);
    if (!leader || group.Leadership().Leader() != aLeader) {
      return;
    }
    const auto status = group.Order(*leader, instance_order::Status, 0);
    if (status && status.value().mLeads) {
      Log(log_level::Info,
          "failover",
          "Leader leads. service={} instance={} term={}",
          group.Service(),
          aLeader,
          status.value().mTerm);
      group.WakeAll();
      ResumeOthers(aAttempt, aLeader);
      return;
    }
    mContext.mLoop.Sleep(mContext.mSettings.mLeaderPause);
  }
}

void
failover_runner::ResumeOthers(attempt& aAttempt, const std::string& aLeader)
{
  upstream_group& group = aAttempt.mGroup;
  const auto others = OthersThan(group, aLeader);
  const auto answers = group.OrderEach(others, AskStatus, 0);
  for (std::size_t i = 0; i < others.size(); ++i) {
    const bool isHeld =
      answers[i] && answers[i].value().mHeldTerm > answers[i].value().mTerm;
    if (isHeld) {
      const auto resumed = group.Order(*others[i], instance_order::Resume, 0);
      Log(log_level::Info,
          "failover",
          "Instance told to receive again. service={} instance={} done={}",
          group.Service(),
          others[i]->mEntry.mId,
          bool(resumed));
    }
  }
}

} // namespace catkinloom
