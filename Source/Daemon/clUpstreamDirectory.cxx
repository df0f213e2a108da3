#include "clUpstreamDirectory.h"

#include "clLog.h"

#include <algorithm>

namespace catkinloom {

std::shared_ptr<upstream_link>
upstream_directory::OpenLink(group_row_number aGroup,
                             const manifest_instance& aInstance)
{
  auto link = std::make_shared<upstream_link>();
  link->mInstance = aInstance;
  link->mControl =
    std::make_shared<upstream_control>(mState, aGroup, aInstance);
  link->mPool = std::make_shared<upstream_pool>(mState, aInstance);
  const std::weak_ptr<upstream_control> control = link->mControl;
  link->mPool->SetKillHandler([control](const std::string& aConnection) {
    if (const auto target = control.lock()) {
      target->Kill(aConnection);
    }
  });
  const std::weak_ptr<upstream_pool> pool = link->mPool;
  link->mControl->Start(
    [pool](const instance_report& aReport, time_point aSentAt) {
      if (const auto target = pool.lock()) {
        target->OnReport(aReport, aSentAt);
      }
    },
    [this](const promotion_command& aCommand, const promotion_answer& aAnswer) {
      OnCommandAnswer(aCommand, aAnswer);
    },
    [this, aGroup] { RequestFreshReports(aGroup, mState.Now()); });
  return link;
}

void
upstream_directory::Apply()
{
  const auto proxies = ProxiesPerGroup(
    static_cast<std::uint32_t>(mState.mManifest.mProxies.size()));
  mLinks.resize(mState.mGroups.Size());
  for (group_row_number group = 0; group < mLinks.size(); ++group) {
    const group_row& row = mState.mGroups.Group(group);
    link_list links;
    for (const instance_row& instance : row.mInstances) {
      const manifest_instance& declared = instance.mDeclared;
      auto& previous = mLinks[group];
      const auto existing =
        std::find_if(previous.begin(), previous.end(), [&](const auto& aLink) {
          return aLink && !row.mRetired &&
                 aLink->mInstance.mName == declared.mName &&
                 aLink->mInstance.mAddress == declared.mAddress;
        });
      if (row.mRetired) {
        continue;
      }
      links.push_back(existing != previous.end() ? std::move(*existing)
                                                 : OpenLink(group, declared));
      links.back()->mPool->SetShare(declared.mConnections / proxies);
    }
    for (const auto& removed : mLinks[group]) {
      if (removed) {
        removed->mControl->Stop();
        removed->mPool->Stop();
      }
    }
    mLinks[group] = std::move(links);
  }
}

std::shared_ptr<upstream_link>
upstream_directory::Find(group_row_number aGroup,
                         instance_number aInstance) const
{
  if (aGroup >= mLinks.size() || aInstance >= mLinks[aGroup].size()) {
    return nullptr;
  }
  return mLinks[aGroup][aInstance];
}

void
upstream_directory::SendCommand(const promotion_command& aCommand)
{
  const auto link = Find(aCommand.mGroup, aCommand.mInstance);
  const auto leader = Find(aCommand.mGroup, aCommand.mLeader);
  if (link == nullptr || leader == nullptr) {
    return;
  }
  Log(log_level::Info,
      "promotion",
      "Order sent; awaiting its answer. verb={} group={} instance={} term={}",
      VerbName(aCommand.mVerb),
      mState.mGroups.Group(aCommand.mGroup).mName,
      link->mInstance.mName,
      aCommand.mTerm);
  link->mControl->SendCommand(aCommand, leader->mInstance.mName);
}

void
upstream_directory::OnCommandAnswer(const promotion_command& aCommand,
                                    const promotion_answer& aAnswer)
{
  const auto link = Find(aCommand.mGroup, aCommand.mInstance);
  if (!link) {
    return;
  }
  std::vector<promotion_command> next;
  const bool isPromotion = aCommand.mVerb == promotion_verb::Promote;
  Log(log_level::Info,
      "promotion",
      "Order answered; result applied to the promotion. verb={} instance={} "
      "term={} granted={} log={}.{}",
      VerbName(aCommand.mVerb),
      link->mInstance.mName,
      aCommand.mTerm,
      aAnswer.mGranted,
      aAnswer.mReport.mLog.mTerm,
      aAnswer.mReport.mLog.mIndex);
  mState.mPromotion.OnAnswer(
    mState.mGroups, aCommand, aAnswer, mState.Now(), next);
  if (isPromotion && aAnswer.mGranted) {
    mState.mMetrics.mPromotions.Increment();
  }
  for (const promotion_command& command : next) {
    SendCommand(command);
  }
  mState.SignalOf(aCommand.mGroup).Notify();
}

write_evaluation
upstream_directory::AwaitWrite(group_row_number aGroup,
                               const answer_evidence& aEvidence,
                               time_point aDeadline)
{
  return AwaitEvaluation(
    aGroup, aEvidence, aDeadline, [&](const group_row& aRow) {
      return EvaluateWrite(mState.mRouter, aRow, aEvidence, mState.Now());
    });
}

write_evaluation
upstream_directory::AwaitMajority(group_row_number aGroup,
                                  const answer_evidence& aEvidence,
                                  time_point aDeadline)
{
  return AwaitEvaluation(
    aGroup, aEvidence, aDeadline, [&](const group_row& aRow) {
      return EvaluateMajority(aRow, aEvidence);
    });
}

write_evaluation
upstream_directory::AwaitEvaluation(group_row_number aGroup,
                                    const answer_evidence& aEvidence,
                                    time_point aDeadline,
                                    const write_evaluator& aEvaluate)
{
  while (true) {
    const write_evaluation evaluation = aEvaluate(mState.mGroups.Group(aGroup));
    if (evaluation != write_evaluation::KeepWaiting) {
      return evaluation;
    }
    if (mState.Now() >= aDeadline) {
      return write_evaluation::Uncertain;
    }
    for (const auto& link : mLinks[aGroup]) {
      link->mControl->RequestReportAtPosition(
        aEvidence.mTerm, aEvidence.mLog, aDeadline);
    }
    mState.SignalOf(aGroup).WaitUntil(aDeadline);
  }
}

void
upstream_directory::QueryTerm(group_row_number aGroup,
                              time_point aSince,
                              time_point aDeadline)
{
  RequestFreshReports(aGroup, aSince);
  mState.SignalOf(aGroup).WaitUntil(aDeadline);
}

void
upstream_directory::RequestFreshReports(group_row_number aGroup,
                                        time_point aSince)
{
  for (const auto& link : mLinks[aGroup]) {
    link->mControl->RequestFreshReport(aSince);
  }
}

void
upstream_directory::Stop()
{
  for (const link_list& links : mLinks) {
    for (const auto& link : links) {
      link->mControl->Stop();
      link->mPool->Stop();
    }
  }
}

} // namespace catkinloom
