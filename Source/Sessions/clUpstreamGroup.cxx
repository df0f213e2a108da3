#include "clUpstreamGroup.h"

#include "clDecisionLog.h"
#include "clLog.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Inverse weight of one response in the smoothed response time.
constexpr int kResponseTimeSmoothing = 8;

/// Maximum number of connections being opened to one instance at a time.
constexpr std::uint32_t kMaxConcurrentOpens = 1;

/// Maximum number of doublings of the delay before an unresponsive instance is
/// tried again.
constexpr std::uint32_t kMaxBackoffDoublings = 2;

/// Time for which an instance that sent a response again is expected to do it
/// once more.
constexpr std::chrono::seconds kRepeatMemory{ 30 };

} // namespace

upstream_group::upstream_group(upstream_environment& aEnvironment,
                               std::string aService)
  : mEnvironment(aEnvironment)
  , mService(std::move(aService))
  , mLeadership(aEnvironment.mSettings.mLeadership)
  , mChanged(aEnvironment.mLoop)
  , mWaiting(aEnvironment.mLoop)
{
}

std::shared_ptr<upstream_instance>
upstream_group::Find(const std::string& aId) const
{
  for (const auto& instance : mInstances) {
    if (instance->mEntry.mId == aId) {
      return instance;
    }
  }
  return nullptr;
}

std::shared_ptr<upstream_instance>
upstream_group::Leader() const
{
  return Find(mLeadership.Leader());
}

bool
upstream_group::IsCompleteSince(time_point aMoment) const
{
  const bool isKnownLongEnough =
    mKnownSince &&
    *mKnownSince + mEnvironment.mSettings.mMissingEntryGrace <= aMoment;
  return isKnownLongEnough && std::none_of(mInstances.begin(),
                                           mInstances.end(),
                                           [](const auto& aInstance) {
                                             return aInstance->mMissingSince;
                                           });
}

std::uint32_t
upstream_group::ExclusionBit(const upstream_instance& aInstance) const
{
  for (std::size_t i = 0; i < mInstances.size(); ++i) {
    if (mInstances[i].get() == &aInstance) {
      return 1U << i;
    }
  }
  return 0;
}

void
upstream_group::RecordRole(upstream_instance& aInstance, bool aLeads)
{
  const bool isNew = aInstance.mRoleSince == time_point{};
  if (isNew || aInstance.mReportsPrimary != aLeads) {
    aInstance.mRoleSince = Now();
  }
  aInstance.mReportsPrimary = aLeads;
  aInstance.mHasLed = aInstance.mHasLed || aLeads;
}

void
upstream_group::MarkRemoved(upstream_instance& aInstance)
{
  aInstance.mRemoved = true;
  aInstance.mIdle.clear();
  if (aInstance.mEntry.mId == mLeadership.Leader()) {
    // A commit is confirmed by other members, so the loss of the leader's own
    // copy is not counted.
    mRemovedLeaderAddress = aInstance.mEntry.mAddress;
    return;
  }
  RecordLoss(aInstance.mEntry, aInstance.mEndedSince.value_or(Now()));
}

void
upstream_group::RecordLoss(const instance_entry& aEntry, time_point aMoment)
{
  if (!mLeadership.HasUnknownLoss()) {
    mLosses.clear();
  }
  mLeadership.OnMemberLost(aMoment);
  if (mLeadership.HasUnknownLoss() && !ContainsIncarnation(mLosses, aEntry)) {
    mLosses.push_back(aEntry);
  }
}

std::vector<instance_entry>
upstream_group::UncoveredLosses() const
{
  return mLeadership.HasUnknownLoss() ? mLosses : std::vector<instance_entry>();
}

group_observation
upstream_group::Observe() const
{
  group_observation observation;
  for (const auto& instance : mInstances) {
    (instance->mMissingSince ? observation.mMissing : observation.mListed)
      .push_back(instance->mEntry);
  }
  observation.mLeader = mLeadership.Leader();
  observation.mLossFloor = mLeadership.LossFloor();
  observation.mHasUnknownLoss = mLeadership.HasUnknownLoss();
  return observation;
}

void
upstream_group::ApplyMembership(const membership_record& aRecord)
{
  if (aRecord.mVersion <= mMembership.mVersion) {
    return;
  }
  const bool isRestored =
    aRecord.mVersion.mGeneration != mMembership.mVersion.mGeneration;
  std::vector<instance_entry> dropped = std::move(mMembership.mMembers);
  std::erase_if(dropped, [&aRecord](const instance_entry& aMember) {
    return ContainsIncarnation(aRecord.mMembers, aMember);
  });
  const log_position floor = std::max(mMembership.mFloor, aRecord.mFloor);
  mMembership = aRecord;
  mMembership.mFloor = floor;
  std::erase_if(mSeenMembers, [this](const instance_entry& aMember) {
    const auto instance = Find(aMember.mId);
    return !ContainsIncarnation(mMembership.mMembers, aMember) &&
           !(instance && IsSameIncarnation(instance->mEntry, aMember));
  });
  if (!isRestored) {
    ForgetMembers(dropped);
  }
  RestoreMembers();
  NotifyAll();
}

void
upstream_group::RestoreMembers()
{
  if (!mKnownSince) {
    return;
  }
  for (const instance_entry& member : mMembership.mMembers) {
    if (ContainsIncarnation(mSeenMembers, member)) {
      continue;
    }
    mSeenMembers.push_back(member);
    Log(log_level::Info,
        "directory",
        "Recorded member has no directory entry; it may have the only copy of "
        "a commit and counts as missing. service={} instance={} address={}",
        mService,
        member.mId,
        member.mAddress);
    if (Find(member.mId)) {
      // A later incarnation took its place.
      if (member.mId != mLeadership.Leader()) {
        RecordLoss(member, Now());
      }
      continue;
    }
    auto instance = std::make_shared<upstream_instance>();
    instance->mEntry = member;
    instance->mMissingSince = Now();
    RecordRole(*instance, false);
    // Its role before this process started is not known.
    instance->mHasLed = true;
    ProbeMissing(instance);
    mInstances.push_back(std::move(instance));
  }
  SortInstances();
}

void
upstream_group::ForgetMembers(const std::vector<instance_entry>& aDropped)
{
  std::erase_if(mInstances, [&aDropped](const auto& aInstance) {
    const bool isForgotten = aInstance->mMissingSince &&
                             ContainsIncarnation(aDropped, aInstance->mEntry);
    if (isForgotten) {
      aInstance->mRemoved = true;
      aInstance->mIdle.clear();
    }
    return isForgotten;
  });
  const bool hadLosses = !UncoveredLosses().empty();
  std::erase_if(mLosses, [&aDropped](const instance_entry& aLoss) {
    return ContainsIncarnation(aDropped, aLoss);
  });
  if (hadLosses && mLosses.empty()) {
    mLeadership.OnLossesCovered(mMembership.mFloor);
  }
}

void
upstream_group::SortInstances()
{
  std::sort(mInstances.begin(),
            mInstances.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft->mEntry.mId < aRight->mEntry.mId;
            });
}

std::string
upstream_group::LeaderAddress() const
{
  const auto leader = Leader();
  return leader ? leader->mEntry.mAddress : mRemovedLeaderAddress;
}

void
upstream_group::ProbeMissing(std::shared_ptr<upstream_instance> aInstance)
{
  mEnvironment.mLoop.Spawn([this, instance = std::move(aInstance)] {
    RespondsToNewConnection(*instance);
  });
}

void
upstream_group::RecordOpenReply(upstream_instance& aInstance,
                                const statement_reply& aReply)
{
  const bool hasEnded = aReply.mOutcome == exchange_outcome::NoListener ||
                        aReply.HasError(statement_error::WrongInstance);
  if (hasEnded && !aInstance.mEndedSince) {
    aInstance.mEndedSince = Now();
  } else if (!hasEnded && aReply.IsAnswered()) {
    aInstance.mEndedSince.reset();
  }
}

void
upstream_group::ApplyEntries(const std::vector<instance_entry>& aEntries)
{
  const bool isFirst = !mKnownSince && !aEntries.empty();
  if (mInstances.empty() && !aEntries.empty()) {
    mLeadership.OnMonitoringStarted(Now());
    mKnownSince = Now();
  }
  std::vector<std::shared_ptr<upstream_instance>> next;
  for (const instance_entry& entry : aEntries) {
    auto instance = Find(entry.mId);
    const bool sameIncarnation =
      instance && instance->mEntry.mAddress == entry.mAddress &&
      instance->mEntry.mStartedAt == entry.mStartedAt;
    if (!sameIncarnation) {
      const auto previous = std::move(instance);
      instance = std::make_shared<upstream_instance>();
      if (previous) {
        MarkRemoved(*previous);
        instance->mPreviousLogEnd =
          std::max(previous->mPosition, previous->mPreviousLogEnd);
        instance->mHasLed = previous->mHasLed;
      }
    }
    if (!sameIncarnation || !(instance->mEntry == entry)) {
      Log(log_level::Info,
          "directory",
          "Instance known; statements are placed by it. "
          "service={} instance={} address={} zone={} leads={} draining={}",
          mService,
          entry.mId,
          entry.mAddress,
          entry.mZone,
          entry.mLeads,
          entry.mDraining);
    }
    if (!sameIncarnation || instance->mEntry.mLeads != entry.mLeads) {
      RecordRole(*instance, entry.mLeads);
    }
    instance->mEntry = entry;
    instance->mMissingSince.reset();
    if (!ContainsIncarnation(mSeenMembers, entry)) {
      mSeenMembers.push_back(entry);
    }
    if (entry.mLeads) {
      mLeadership.OnDirectoryReport(entry.mId);
    }
    next.push_back(std::move(instance));
  }
  for (const auto& known : mInstances) {
    const bool isKept =
      std::find(next.begin(), next.end(), known) != next.end();
    if (isKept || known->mRemoved) {
      continue;
    }
    if (!known->mMissingSince) {
      known->mMissingSince = Now();
      ProbeMissing(known);
    }
    if (Now() <
        *known->mMissingSince + mEnvironment.mSettings.mMissingEntryGrace) {
      next.push_back(known);
      continue;
    }
    Log(log_level::Info,
        "directory",
        "Directory entry missing beyond the grace period; instance "
        "removed. service={} instance={}",
        mService,
        known->mEntry.mId);
    MarkRemoved(*known);
  }
  mInstances = std::move(next);
  SortInstances();
  if (isFirst) {
    RestoreMembers();
  }
  NotifyAll();
}

connection_share
upstream_group::Share() const
{
  return ShareOf(mDeclared.mMaxConnections,
                 mEnvironment.mProxies,
                 Now() - mEnvironment.mStartedAt <
                   mEnvironment.mSettings.mLostConnectionLifetime);
}

instance_selection
upstream_group::Select(const instance_requirements& aRequirements,
                       time_point aNow) const
{
  const instance_selection withinSoftLimit =
    SelectInstance(Candidates(false), aRequirements, aNow);
  return withinSoftLimit.mResult == selection_result::AllBusy
           ? SelectInstance(Candidates(true), aRequirements, aNow)
           : withinSoftLimit;
}

std::vector<instance_candidate>
upstream_group::Candidates(bool aUpToHardLimit) const
{
  const std::uint32_t share =
    aUpToHardLimit ? Share().mHardLimit : Share().mSoftLimit;
  const time_point now = Now();
  std::vector<instance_candidate> candidates;
  candidates.reserve(mInstances.size());
  for (const auto& instance : mInstances) {
    instance_candidate candidate;
    candidate.mLeads = instance->mEntry.mId == mLeadership.Leader();
    candidate.mLeaderReady =
      instance->mReportsPrimary && !mLeadership.Record().mCommitsStopped;
    candidate.mSameZone = instance->mEntry.mZone == mEnvironment.mZone;
    candidate.mDraining = instance->mEntry.mDraining;
    // After a failure, only one connection attempt at a time probes the
    // instance.
    const bool isProbed =
      instance->mConnectFailures > 0 && instance->mOpening > 0;
    candidate.mAvoidedUntil =
      isProbed ? time_point::max() : instance->mAvoidedUntil;
    candidate.mLaggingUntil = instance->mLaggingUntil;
    candidate.mPosition = instance->mPosition;
    candidate.mInFlight = instance->mInFlight;
    candidate.mSlots = instance->mEntry.mSlots;
    candidate.mHasIdle = !instance->mIdle.empty();
    candidate.mCanOpen = instance->mConnectionCount < share &&
                         now >= instance->mOpenBlockedUntil &&
                         instance->mOpening < kMaxConcurrentOpens;
    candidate.mHasCapacity = instance->mLimit.HasCapacity(instance->mExecuting);
    candidate.mResponseTime = instance->mResponseTime;
    candidates.push_back(candidate);
  }
  return candidates;
}

result<acquired_connection>
upstream_group::AcquireConnection(const connection_request& aRequest)
{
  const instance_requirements& requirements = aRequest.mRequirements;
  const time_point maxLeaderWaitEnd =
    Now() + mEnvironment.mSettings.mMaxLeaderWait;
  while (true) {
    const time_point deadline = mEnvironment.LimitDeadline(aRequest.mDeadline);
    const time_point leaderUntil = std::min(deadline, maxLeaderWaitEnd);
    if (HasLostEvidence(aRequest)) {
      return error{ error_kind::LeaderChanged, "the leader changed" };
    }
    const time_point now = Now();
    const instance_selection chosen = Select(requirements, now);
    if (chosen.mResult == selection_result::Chosen) {
      auto instance = mInstances[chosen.mInstance];
      auto connection = AcquireIdle(*instance, *aRequest.mSession);
      if (connection) {
        return acquired_connection{ std::move(instance),
                                    std::move(connection) };
      }
      StartOpening(std::move(instance));
    }
    if (requirements.mLeaderOnly && !aRequest.mMayAwaitLeader &&
        IsLeaderSilent()) {
      return error{ error_kind::NoCurrentPrimary,
                    "neither store nor leader reached" };
    }
    const bool busy = chosen.mResult != selection_result::NoneUsable;
    const time_point until = busy ? deadline : leaderUntil;
    if (now >= until) {
      return error{ busy ? error_kind::Overloaded
                         : error_kind::NoCurrentPrimary,
                    busy ? "no connection free" : "no usable instance" };
    }
    if (!busy && requirements.mLeaderOnly) {
      PollLeader();
    }
    // No notification is sent when the retry delay of an instance ends, so the
    // wait is bounded.
    const nanoseconds pause = busy ? mEnvironment.mSettings.mConnectRetryDelay
                                   : mEnvironment.mSettings.mLeaderRetryDelay;
    mWaiting.Wait({ aRequest.mPriority,
                    aRequest.mReceivedAt,
                    aRequest.mTargetDeadline,
                    requirements.mLeaderOnly },
                  std::min(until, now + pause));
  }
}

bool
upstream_group::IsLeaderSilent() const
{
  const auto leader = Leader();
  return leader && leader->mHealth.UnresponsiveFor(Now()) >=
                     mEnvironment.mSettings.mLeaderResponseTimeout;
}

std::unique_ptr<statement_connection>
upstream_group::AcquireIdle(upstream_instance& aInstance,
                            const session_state& aSession)
{
  while (!aInstance.mIdle.empty()) {
    std::size_t best = aInstance.mIdle.size() - 1;
    std::size_t bestCost = SIZE_MAX;
    // Prefers the most recently used connection, so that surplus ones expire.
    for (std::size_t i = aInstance.mIdle.size(); i-- > 0 && bestCost > 0;) {
      const std::size_t cost =
        PreparationCost(aSession, aInstance.mIdle[i]->mKnownState);
      if (cost < bestCost) {
        best = i;
        bestCost = cost;
      }
    }
    auto connection = std::move(aInstance.mIdle[best]);
    aInstance.mIdle.erase(aInstance.mIdle.begin() +
                          static_cast<std::ptrdiff_t>(best));
    if (connection->IsOpen() && IsTrusted(aInstance, *connection) &&
        connection->IsReusable()) {
      ++aInstance.mInFlight;
      return connection;
    }
    --aInstance.mConnectionCount;
  }
  return nullptr;
}

void
upstream_group::StartOpening(std::shared_ptr<upstream_instance> aInstance)
{
  if (aInstance->mOpening >= kMaxConcurrentOpens) {
    return;
  }
  ++aInstance->mConnectionCount;
  ++aInstance->mOpening;
  ++aInstance->mExecuting;
  mEnvironment.mMetrics.mConnectionsOpened.Increment();
  mEnvironment.mLoop.Spawn(
    [this, instance = std::move(aInstance)] { OpenConnection(instance); });
}

void
upstream_group::OpenConnection(
  const std::shared_ptr<upstream_instance>& aInstance)
{
  upstream_instance& instance = *aInstance;
  const session_settings& settings = mEnvironment.mSettings;
  auto connection = std::make_unique<statement_connection>(
    mEnvironment.mLoop, mEnvironment.mCodec, settings.mMaxLineBytes);
  instance.mHealth.RecordSent(Now(), false);
  const statement_reply reply = connection->Open(instance.mEntry,
                                                 mEnvironment.mProxy,
                                                 settings.mConnectTimeout,
                                                 settings.mAcceptTimeout);
  --instance.mExecuting;
  --instance.mOpening;
  RecordOpenReply(instance, reply);
  if (reply.IsAnswered()) {
    instance.mHealth.RecordAnswered(Now(), false);
    RecordAnswered(instance);
  } else {
    instance.mHealth.RecordLost(false);
  }
  if (reply.IsSuccess()) {
    ++instance.mInFlight;
    ReleaseConnection({ aInstance, std::move(connection) });
    return;
  }
  --instance.mConnectionCount;
  RecordOpenFailure(instance, reply);
  // Statements that wait for this connection may be able to use another
  // instance.
  NotifyAll();
}

void
upstream_group::RecordAnswered(upstream_instance& aInstance)
{
  aInstance.mLastAnsweredAt = Now();
  aInstance.mConnectFailures = 0;
}

void
upstream_group::RecordOpenFailure(upstream_instance& aInstance,
                                  const statement_reply& aReply)
{
  const session_settings& settings = mEnvironment.mSettings;
  const time_point now = Now();
  const bool respondsOnOthers =
    now - aInstance.mLastAnsweredAt < settings.mAcceptTimeout;
  const bool isBusy =
    aReply.mOutcome == exchange_outcome::TimedOut && respondsOnOthers;
  if (aReply.HasError(statement_error::ConnectionLimit) || isBusy) {
    aInstance.mOpenBlockedUntil = now + settings.mConnectRetryDelay;
  } else {
    ++aInstance.mConnectFailures;
    const std::uint32_t doublings =
      std::min(aInstance.mConnectFailures - 1, kMaxBackoffDoublings);
    aInstance.mAvoidedUntil =
      now + settings.mConnectRetryDelay * (1U << doublings);
  }
  if (isBusy) {
    aInstance.mLimit.OnRefused(now);
  }
  LogDecision(now,
              true,
              "upstream",
              "Instance did not accept a connection; retried after a delay. "
              "instance={} error={} "
              "busy={} failures={} open={}",
              aInstance.mEntry.mId,
              aReply.mError ? StatementErrorName(*aReply.mError) : "none",
              isBusy,
              aInstance.mConnectFailures,
              aInstance.mConnectionCount);
}

void
upstream_group::PollLeader()
{
  const auto leader = Leader();
  const bool isDue = leader && !leader->mReportsPrimary &&
                     !mLeadership.Record().mCommitsStopped &&
                     Now() >= mNextLeaderPollAt;
  if (mIsPollingLeader || !isDue) {
    return;
  }
  mIsPollingLeader = true;
  mEnvironment.mLoop.Spawn([this, leader] {
    const auto status = SendCommand(*leader, instance_command::Status, 0);
    Log(log_level::Info,
        "failover",
        "Leader asked whether it leads; statements are sent to it once it "
        "reports itself as primary. service={} instance={} leads={} "
        "cause={}",
        mService,
        leader->mEntry.mId,
        status && status.value().mLeads,
        status ? "" : status.error().mDetail);
    mNextLeaderPollAt = Now() + mEnvironment.mSettings.mLeaderPollInterval;
    mIsPollingLeader = false;
    if (status && status.value().mLeads) {
      NotifyAll();
    }
  });
}

void
upstream_group::NotifyNext(const upstream_instance& aInstance)
{
  mWaiting.NotifyNext(aInstance.mEntry.mId == mLeadership.Leader());
}

void
upstream_group::NotifyAll()
{
  mWaiting.NotifyAll();
  mChanged.Notify();
}

void
upstream_group::ReleaseConnection(acquired_connection aAcquired)
{
  upstream_instance& instance = *aAcquired.mInstance;
  --instance.mInFlight;
  const bool isKept =
    aAcquired.mConnection->IsOpen() && !aAcquired.mConnection->IsUsedUp() &&
    !instance.mRemoved && instance.mConnectionCount <= Share().mHardLimit;
  if (isKept) {
    instance.mIdle.push_back(std::move(aAcquired.mConnection));
    if (instance.mConnectionCount > Share().mSoftLimit) {
      ScheduleIdleCleanup();
    }
  } else {
    --instance.mConnectionCount;
  }
  NotifyNext(instance);
}

statement_reply
upstream_group::Exchange(acquired_connection& aAcquired,
                         const statement_batch& aBatch,
                         nanoseconds aTimeout,
                         exchange_kind aKind)
{
  const bool isCommit = aKind == exchange_kind::Commit;
  const std::shared_ptr<upstream_instance> instance = aAcquired.mInstance;
  const time_point start = Now();
  instance->mHealth.RecordSent(start, isCommit);
  ++instance->mExecuting;
  statement_connection* const connection = aAcquired.mConnection.get();
  mExchanging.push_back(connection);
  statement_reply reply = connection->Exchange(aBatch, aTimeout);
  std::erase(mExchanging, connection);
  if (reply.IsAnswered()) {
    instance->mHealth.RecordAnswered(Now(), isCommit);
    RecordAnswered(*instance);
    // The refusal of a connection was no proof after all.
    instance->mEndedSince.reset();
  } else {
    instance->mHealth.RecordLost(isCommit);
  }
  if (reply.IsSuccess() && aKind == exchange_kind::Access) {
    const nanoseconds responseTime = Now() - start;
    instance->mResponseTime +=
      (responseTime - instance->mResponseTime) / kResponseTimeSmoothing;
    instance->mLimit.OnServed(instance->mExecuting, responseTime);
  }
  if (reply.HasError(statement_error::Busy)) {
    instance->mLimit.OnRefused(Now());
  }
  --instance->mExecuting;
  NotifyNext(*instance);
  RecordReply(*instance, reply, isCommit);
  RecordForeign(*instance, reply);
  return reply;
}

bool
upstream_group::IsTrusted(const upstream_instance& aInstance,
                          const statement_connection& aConnection) const
{
  const bool mayRepeatError =
    Now() < aInstance.mRepeatsUntil && aConnection.HasReceivedError();
  return !aConnection.IsUsedUp() && !mayRepeatError;
}

void
upstream_group::RecordForeign(upstream_instance& aInstance,
                              const statement_reply& aReply)
{
  if (aReply.mForeignResponses == 0 && !aReply.mIsOutOfStep) {
    return;
  }
  aInstance.mRepeatsUntil = Now() + kRepeatMemory;
  session_metrics& metrics = mEnvironment.mMetrics;
  metrics.mForeignResponses.Increment(aReply.mForeignResponses);
  metrics.mConnectionsOutOfStep.Increment(aReply.mIsOutOfStep ? 1 : 0);
  LogDecision(Now(),
              true,
              "upstream",
              "Responses to earlier statements received, and ignored; a "
              "connection that is out of step is closed. service={} "
              "instance={} ignored={} out_of_step={} error={}",
              mService,
              aInstance.mEntry.mId,
              aReply.mForeignResponses,
              aReply.mIsOutOfStep,
              aReply.mError ? StatementErrorName(*aReply.mError) : "none");
}

void
upstream_group::RecordReply(upstream_instance& aInstance,
                            const statement_reply& aReply,
                            bool aIsCommit)
{
  if (!aReply.IsAnswered()) {
    return;
  }
  if (aReply.mPosition) {
    aInstance.mPosition = std::max(aInstance.mPosition, *aReply.mPosition);
  }
  if (aReply.HasError(statement_error::ReadOnly)) {
    RecordRole(aInstance, false);
  }
  if (aReply.HasError(statement_error::Lagging)) {
    aInstance.mLaggingUntil = Now() + mEnvironment.mSettings.mLaggingBackoff;
  }
  // A commit acknowledged by a replica proves that the leader had not been
  // stopped when the commit was sent.
  if (aIsCommit && aReply.IsSuccess() && mDeclared.mSyncReplicas > 0) {
    mLeadership.OnGroupEvidence(aInstance.mEntry.mId, aReply.mSentAt);
  }
  // An acknowledgement may be an earlier one, with the position of then.
  const bool isAcknowledgement = aReply.mText.empty();
  if (aReply.mPosition && !isAcknowledgement) {
    mLeadership.OnLeaderPosition(
      aInstance.mEntry.mId, *aReply.mPosition, aReply.mSentAt);
  }
}

std::unique_ptr<statement_connection>
upstream_group::OpenCommandConnection(upstream_instance& aInstance)
{
  auto connection = std::make_unique<statement_connection>(
    mEnvironment.mLoop,
    mEnvironment.mCodec,
    mEnvironment.mSettings.mMaxLineBytes);
  const statement_reply reply =
    connection->Open(aInstance.mEntry,
                     mEnvironment.mProxy,
                     mEnvironment.mSettings.mCommandTimeout);
  RecordOpenReply(aInstance, reply);
  return reply.IsSuccess() ? std::move(connection) : nullptr;
}

bool
upstream_group::RespondsToNewConnection(upstream_instance& aInstance)
{
  statement_connection connection(mEnvironment.mLoop,
                                  mEnvironment.mCodec,
                                  mEnvironment.mSettings.mMaxLineBytes);
  const statement_reply reply =
    connection.Open(aInstance.mEntry,
                    mEnvironment.mProxy,
                    mEnvironment.mSettings.mCommandTimeout,
                    mEnvironment.mSettings.mBusyInstanceTimeout);
  RecordOpenReply(aInstance, reply);
  return reply.IsAnswered();
}

std::unique_ptr<statement_connection>
upstream_group::TakeReusable(upstream_instance& aInstance)
{
  while (!aInstance.mIdle.empty()) {
    auto connection = std::move(aInstance.mIdle.back());
    aInstance.mIdle.pop_back();
    if (connection->IsOpen() && connection->IsReusable()) {
      return connection;
    }
    --aInstance.mConnectionCount;
  }
  return nullptr;
}

result<instance_status>
upstream_group::SendCommand(upstream_instance& aInstance,
                            instance_command aCommand,
                            term_number aTerm)
{
  std::unique_ptr<statement_connection> connection = TakeReusable(aInstance);
  const bool pooled = connection != nullptr;
  if (!connection) {
    connection = OpenCommandConnection(aInstance);
  }
  if (!connection) {
    return error{ error_kind::UpstreamUnreachable, aInstance.mEntry.mId };
  }
  statement_batch batch;
  // A status of before looks like that of now.
  batch.mHasBarrier = true;
  batch.Add({ response_kind::Status, session_phase::Idle },
            [&](std::string& aOut) {
              mEnvironment.mCodec.AppendCommand(aOut, aCommand, aTerm);
            });
  const statement_reply reply =
    connection->Exchange(batch, mEnvironment.mSettings.mCommandTimeout);
  RecordForeign(aInstance, reply);
  if (pooled) {
    ++aInstance.mInFlight;
    auto shared = Find(aInstance.mEntry.mId);
    if (shared && shared.get() == &aInstance) {
      ReleaseConnection({ std::move(shared), std::move(connection) });
    } else {
      --aInstance.mInFlight;
      --aInstance.mConnectionCount;
    }
  }
  if (!reply.IsSuccess()) {
    return error{ reply.mError ? error_kind::UpstreamRefused
                               : error_kind::UpstreamUnreachable,
                  aInstance.mEntry.mId + ": " +
                    std::string(reply.mError ? StatementErrorName(*reply.mError)
                                             : "no answer") };
  }
  BOOST_OUTCOME_TRY(const instance_status status,
                    mEnvironment.mCodec.DecodeInstanceStatus(reply.mLastRow));
  RecordRole(aInstance, status.mLeads);
  aInstance.mTerm = std::max(aInstance.mTerm, status.mTerm);
  aInstance.mPosition = std::max(aInstance.mPosition, status.mReceived);
  return status;
}

std::vector<result<instance_status>>
upstream_group::SendToEach(
  const std::vector<std::shared_ptr<upstream_instance>>& aInstances,
  const std::function<instance_command(const upstream_instance&)>& aCommand,
  term_number aTerm)
{
  std::vector<result<instance_status>> answers(
    aInstances.size(),
    result<instance_status>(
      error{ error_kind::UpstreamUnreachable, "no answer" }));
  std::vector<std::function<void()>> jobs;
  for (std::size_t i = 0; i < aInstances.size(); ++i) {
    jobs.emplace_back([&, i] {
      answers[i] = SendCommand(*aInstances[i], aCommand(*aInstances[i]), aTerm);
    });
  }
  mEnvironment.mLoop.RunAll(jobs);
  return answers;
}

void
upstream_group::PollGroup()
{
  if (mIsPollingGroup) {
    return;
  }
  mIsPollingGroup = true;
  const time_point sentAt = Now();
  const auto instances = mInstances;
  const auto answers = SendToEach(
    instances,
    [](const upstream_instance&) { return instance_command::Status; },
    0);
  std::vector<member_status> members;
  for (std::size_t i = 0; i < instances.size(); ++i) {
    if (answers[i]) {
      const instance_status& status = answers[i].value();
      members.push_back({ instances[i]->mEntry.mId,
                          status.mLeads,
                          status.mTerm,
                          status.mPausedTerm,
                          status.mReceived });
    }
  }
  if (const auto leader = FindGroupLeader(members, mDeclared.mSyncReplicas)) {
    const member_status& found = members[*leader];
    if (found.mId != mLeadership.Leader()) {
      Log(log_level::Info,
          "failover",
          "Leader found by polling the group; statements for the primary "
          "are sent to it. service={} instance={} term={}",
          mService,
          found.mId,
          found.mTerm);
    }
    mLeadership.OnGroupLeader(found.mId, sentAt);
    mLeadership.OnLeaderPosition(found.mId, found.mReceived, sentAt);
  }
  mIsPollingGroup = false;
  NotifyAll();
}

bool
upstream_group::CloseExpiredIdleOf(upstream_instance& aInstance)
{
  const session_settings& settings = mEnvironment.mSettings;
  const time_point now = Now();
  std::vector<nanoseconds> idleFor;
  idleFor.reserve(aInstance.mIdle.size());
  // The front is the least recently used connection.
  for (const auto& connection : aInstance.mIdle) {
    idleFor.push_back(now - connection->mLastUsedAt);
  }
  const std::size_t expired =
    CountExpiredIdle(idleFor,
                     aInstance.mConnectionCount,
                     Share(),
                     { settings.mIdleLifetime, settings.mSurplusIdleLifetime });
  aInstance.mIdle.erase(aInstance.mIdle.begin(),
                        aInstance.mIdle.begin() +
                          static_cast<std::ptrdiff_t>(expired));
  aInstance.mConnectionCount -= static_cast<std::uint32_t>(expired);
  return !aInstance.mIdle.empty() &&
         aInstance.mConnectionCount > Share().mSoftLimit;
}

void
upstream_group::CloseExpiredIdle()
{
  for (const auto& instance : mInstances) {
    CloseExpiredIdleOf(*instance);
  }
}

void
upstream_group::ScheduleIdleCleanup()
{
  if (mIsIdleCleanupScheduled) {
    return;
  }
  mIsIdleCleanupScheduled = true;
  mEnvironment.mLoop.Spawn([this] {
    bool isMoreExpected = true;
    while (isMoreExpected) {
      mEnvironment.mLoop.Sleep(mEnvironment.mSettings.mSurplusIdleLifetime);
      isMoreExpected = false;
      for (const auto& instance : mInstances) {
        isMoreExpected = CloseExpiredIdleOf(*instance) || isMoreExpected;
      }
    }
    mIsIdleCleanupScheduled = false;
  });
}

void
upstream_group::BreakOffExchanges()
{
  for (statement_connection* connection : mExchanging) {
    connection->Close();
  }
}

void
upstream_group::CloseAllIdle()
{
  for (const auto& instance : mInstances) {
    instance->mConnectionCount -=
      static_cast<std::uint32_t>(instance->mIdle.size());
    instance->mIdle.clear();
  }
}

} // namespace catkinloom
