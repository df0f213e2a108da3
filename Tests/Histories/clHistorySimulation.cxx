#include "Histories/clHistorySimulation.h"

#include <algorithm>

namespace catkinloom {

namespace {

constexpr std::size_t kInstances = 3;
constexpr std::uint32_t kSessions = 3;
constexpr milliseconds kMaxAge{ 500 };

/// Decodes a step number into a sequence of bounded values.
class step_decoder
{
public:
  explicit step_decoder(std::uint32_t aChoice)
    : mRemainder(aChoice)
  {
  }

  std::uint32_t NextBelow(std::uint32_t aLimit)
  {
    const std::uint32_t value = mRemainder % aLimit;
    mRemainder /= aLimit;
    return value;
  }

private:
  std::uint32_t mRemainder;
};

} // namespace

void
history_counts::Add(const history_counts& aOther)
{
  mStaleReads += aOther.mStaleReads;
  mLostWrites += aOther.mLostWrites;
  mStaleAcknowledgements += aOther.mStaleAcknowledgements;
  mTooOldReads += aOther.mTooOldReads;
  mAcknowledged += aOther.mAcknowledged;
  mServedReads += aOther.mServedReads;
  mReplicaReads += aOther.mReplicaReads;
  mPromotions += aOther.mPromotions;
}

history_simulation::history_simulation(std::size_t aProxies,
                                       acknowledge_policy aPolicy)
  : mGroup(kInstances)
  , mFloors(kSessions)
  , mNow(std::chrono::hours(1))
{
  manifest_group declared{ "g", aPolicy, {} };
  for (instance_number i = 0; i < kInstances; ++i) {
    declared.mInstances.push_back({ HistoryInstanceName(i), "a", "x", 3, 20 });
    mGroup.At(i).mLastContactAt = mNow;
  }
  mProxies.reserve(aProxies);
  for (std::size_t i = 0; i < aProxies; ++i) {
    mProxies.emplace_back(router_settings{}, "proxy-" + std::to_string(i));
    mProxies.back().mTable.Apply({ declared });
  }
}

bool
history_simulation::CanReach(const history_proxy& aProxy,
                             instance_number aInstance) const
{
  return (aProxy.mUnreachable >> aInstance & 1U) == 0;
}

void
history_simulation::Step(std::uint32_t aStep)
{
  step_decoder choice(aStep);
  const std::uint32_t kind = choice.NextBelow(24);
  history_proxy& proxy =
    mProxies[choice.NextBelow(static_cast<std::uint32_t>(mProxies.size()))];
  const instance_number instance = choice.NextBelow(kInstances);
  const std::uint32_t rest = choice.NextBelow(4096);
  history_instance& target = mGroup.At(instance);
  switch (kind) {
    case 0:
      target.mIsolated = true;
      break;
    case 1:
      target.mIsolated = false;
      target.mMaxReplicationBatch = 100;
      break;
    case 2:
      target.mMaxReplicationBatch = rest % 2;
      break;
    case 3:
      proxy.mUnreachable ^= 1U << instance;
      break;
    case 4:
      proxy.mFrozen = true;
      break;
    case 5:
      proxy.mFrozen = false;
      break;
    case 6:
      ProbeWithDelay(proxy, instance);
      break;
    case 7:
      DeliverReports(proxy);
      break;
    case 8:
      DeliverCommand(proxy, rest);
      break;
    case 9:
    case 10:
    case 11:
      Write(proxy, rest % kSessions);
      break;
    case 12:
      Read(proxy, rest % kSessions, false);
      break;
    case 13:
    case 14:
      Read(proxy, rest % kSessions, true);
      break;
    case 15:
      EvaluatePending(proxy);
      break;
    default:
      RunRound(rest);
      break;
  }
}

void
history_simulation::RunRound(std::uint32_t aChoice)
{
  mNow += milliseconds(5 + aChoice % 180);
  for (instance_number i = 0; i < kInstances; ++i) {
    mGroup.Replicate(i, mNow);
  }
  for (std::size_t rank = 0; rank < mProxies.size(); ++rank) {
    history_proxy& proxy = mProxies[rank];
    if (proxy.mFrozen) {
      continue;
    }
    DeliverAcknowledgements(proxy);
    for (instance_number i = 0; i < kInstances; ++i) {
      if (CanReach(proxy, i)) {
        proxy.mTable.Record(0, i, mGroup.Report(i, mNow), mNow);
      } else {
        proxy.mTable.RecordFailure(0, i, mNow);
      }
    }
    // Proxies normally agree on their ranks.  One round in seven gives all of
    // them rank 0, as when they can't reach each other.
    const std::size_t effectiveRank = aChoice % 7 == 0 ? 0 : rank;
    proxy.mPromotion.Tick(
      proxy.mTable, 0, effectiveRank, mNow, proxy.mCommands);
    const std::size_t deliveries = 2 + aChoice % 4;
    for (std::size_t i = 0; i < deliveries; ++i) {
      DeliverCommand(proxy, aChoice + static_cast<std::uint32_t>(i));
    }
    EvaluatePending(proxy);
  }
}

void
history_simulation::ProbeWithDelay(history_proxy& aProxy,
                                   instance_number aInstance)
{
  if (CanReach(aProxy, aInstance)) {
    aProxy.mReports.push_back(
      { aInstance, mGroup.Report(aInstance, mNow), mNow });
  }
}

void
history_simulation::DeliverReports(history_proxy& aProxy)
{
  if (aProxy.mFrozen) {
    return;
  }
  for (pending_report& report : aProxy.mReports) {
    aProxy.mTable.Record(
      0, report.mInstance, std::move(report.mReport), report.mSentAt);
  }
  aProxy.mReports.clear();
}

void
history_simulation::DeliverCommand(history_proxy& aProxy, std::uint32_t aChoice)
{
  // A command already sent arrives even if its sender has been frozen since.
  if (aProxy.mCommands.empty()) {
    return;
  }
  const std::size_t index = aChoice % aProxy.mCommands.size();
  const promotion_command command = aProxy.mCommands[index];
  aProxy.mCommands.erase(aProxy.mCommands.begin() +
                         static_cast<std::ptrdiff_t>(index));
  if (!CanReach(aProxy, command.mInstance)) {
    return;
  }
  const bool wasLeader = mGroup.At(command.mInstance).mLeads;
  const promotion_answer answer = mGroup.ExecuteCommand(command, mNow);
  if (!wasLeader && mGroup.At(command.mInstance).mLeads) {
    ++mCounts.mPromotions;
    CheckLeaderHoldsAll();
  }
  const bool answerIsLost = aChoice % 5 == 0 || aProxy.mFrozen;
  if (!answerIsLost) {
    aProxy.mPromotion.OnAnswer(
      aProxy.mTable, command, answer, mNow, aProxy.mCommands);
  }
}

void
history_simulation::Write(history_proxy& aProxy, std::uint32_t aSession)
{
  if (aProxy.mFrozen) {
    return;
  }
  const route_decision decision =
    aProxy.mRouter.DecideWrite(aProxy.mTable.Group(0), mNow);
  if (decision.mAction != route_action::UsePrimary ||
      !CanReach(aProxy, decision.mInstance)) {
    return;
  }
  const std::uint32_t write = mNextWrite++;
  const auto position = mGroup.Write(decision.mInstance, write);
  const term_number term = mGroup.At(decision.mInstance).mTerm;
  if (!position || term != decision.mTerm) {
    return;
  }
  aProxy.mTable.RecordProgress(0, decision.mInstance, term, *position, mNow);
  aProxy.mWrites.push_back({ write, aSession, { term, *position }, mNow });
}

void
history_simulation::Read(history_proxy& aProxy,
                         std::uint32_t aSession,
                         bool aBoundedStaleness)
{
  if (aProxy.mFrozen) {
    return;
  }
  pending_read read;
  read.mSession = aSession;
  read.mArrivedAt = mNow;
  read.mRequirements.mFloor = mFloors[aSession];
  if (aBoundedStaleness) {
    read.mRequirements.mMaxAge = kMaxAge;
  }
  read.mDecision =
    aProxy.mRouter.DecideRead(aProxy.mTable.Group(0), read.mRequirements, mNow);
  const instance_number instance = read.mDecision.mInstance;
  if (read.mDecision.mAction == route_action::Wait ||
      !CanReach(aProxy, instance)) {
    return;
  }
  const history_instance& target = mGroup.At(instance);
  read.mEvidence = { target.mTerm, target.LastPosition() };
  for (const history_write& write : mAcknowledged) {
    if (mGroup.Holds(instance, write.mEvidence.mLog, write.mWrite)) {
      continue;
    }
    read.mMissesAnyWrite = true;
    read.mMissesOwnWrite |= write.mSession == aSession;
    read.mMissesOldWrite |= write.mAcknowledgedAt + kMaxAge < mNow;
  }
  aProxy.mTable.RecordProgress(
    0, instance, read.mEvidence.mTerm, read.mEvidence.mLog, mNow);
  aProxy.mReads.push_back(read);
  EvaluatePendingReads(aProxy);
}

void
history_simulation::EvaluatePending(history_proxy& aProxy)
{
  if (aProxy.mFrozen) {
    return;
  }
  EvaluatePendingWrites(aProxy);
  EvaluatePendingReads(aProxy);
}

void
history_simulation::EvaluatePendingWrites(history_proxy& aProxy)
{
  std::erase_if(aProxy.mWrites, [&](history_write& aWrite) {
    const write_evaluation evaluation = EvaluateWrite(
      aProxy.mRouter, aProxy.mTable.Group(0), aWrite.mEvidence, mNow);
    if (evaluation == write_evaluation::Acknowledge) {
      const auto leader = mGroup.Leader();
      const bool replaced =
        leader && mGroup.At(*leader).mTerm > aWrite.mEvidence.mTerm &&
        !mGroup.Holds(*leader, aWrite.mEvidence.mLog, aWrite.mWrite);
      mCounts.mStaleAcknowledgements += replaced ? 1 : 0;
      // The response is delivered to the caller later; the proxy may be frozen
      // before that.
      aProxy.mUndeliveredAcknowledgements.push_back(aWrite);
    }
    return evaluation != write_evaluation::KeepWaiting;
  });
}

void
history_simulation::DeliverAcknowledgements(history_proxy& aProxy)
{
  for (history_write& write : aProxy.mUndeliveredAcknowledgements) {
    write.mAcknowledgedAt = mNow;
    log_position& floor = mFloors[write.mSession];
    floor = std::max(floor, write.mEvidence.mLog);
    mAcknowledged.push_back(write);
    ++mCounts.mAcknowledged;
  }
  const bool hasDelivered = !aProxy.mUndeliveredAcknowledgements.empty();
  aProxy.mUndeliveredAcknowledgements.clear();
  if (hasDelivered) {
    CheckLeaderHoldsAll();
  }
}

void
history_simulation::EvaluatePendingReads(history_proxy& aProxy)
{
  std::erase_if(aProxy.mReads, [&](const pending_read& aRead) {
    const read_evaluation evaluation = EvaluateRead(aProxy.mRouter,
                                                    aProxy.mTable.Group(0),
                                                    aRead.mRequirements,
                                                    aRead.mDecision,
                                                    aRead.mEvidence,
                                                    aRead.mArrivedAt,
                                                    mNow);
    if (evaluation == read_evaluation::Serve) {
      const bool current = aRead.mDecision.mMustConfirm;
      ++mCounts.mServedReads;
      mCounts.mReplicaReads += current ? 0 : 1;
      const bool stale =
        aRead.mMissesOwnWrite || (current && aRead.mMissesAnyWrite);
      mCounts.mStaleReads += stale ? 1 : 0;
      mCounts.mTooOldReads += aRead.mMissesOldWrite ? 1 : 0;
    }
    return evaluation != read_evaluation::QueryTerm;
  });
}

void
history_simulation::CheckLeaderHoldsAll()
{
  const auto leader = mGroup.Leader();
  if (!leader) {
    return;
  }
  const auto countIfLost = [&](const history_write& aWrite) {
    const bool later = mGroup.At(*leader).mTerm >= aWrite.mEvidence.mTerm;
    const bool lost =
      later && !mGroup.Holds(*leader, aWrite.mEvidence.mLog, aWrite.mWrite);
    mCounts.mLostWrites += lost ? 1 : 0;
    return lost;
  };
  std::erase_if(mAcknowledged, countIfLost);
  // Undelivered acknowledgements are checked too: a later primary may restore
  // the write, but a session must not depend on that.
  for (history_proxy& proxy : mProxies) {
    std::erase_if(proxy.mUndeliveredAcknowledgements, countIfLost);
  }
}

history_counts
history_simulation::Finish()
{
  CheckLeaderHoldsAll();
  return mCounts;
}

} // namespace catkinloom
