#include "Histories/clHistoryGroup.h"

#include <algorithm>

namespace catkinloom {

std::string
HistoryInstanceName(instance_number aInstance)
{
  return std::string(1, static_cast<char>('a' + aInstance));
}

log_position
history_instance::LastPosition() const
{
  return { mLog.empty() ? 0 : mLog.back().mTerm, mLog.size() };
}

instance_report
history_group::Report(instance_number aInstance, time_point aNow) const
{
  const history_instance& instance = mInstances[aInstance];
  instance_report report;
  report.mTerm = instance.mTerm;
  report.mLog = instance.LastPosition();
  report.mLeads = instance.mLeads;
  if (!instance.mLeads) {
    report.mTimeSincePrimaryContact =
      std::chrono::duration_cast<milliseconds>(aNow - instance.mLastContactAt);
  }
  if (instance.mFollows) {
    report.mFollows = HistoryInstanceName(*instance.mFollows);
  }
  return report;
}

bool
history_group::Fence(history_instance& aInstance,
                     const promotion_command& aCommand)
{
  if (aCommand.mTerm == aInstance.mTerm &&
      aCommand.mOwner == aInstance.mOwner) {
    return !aInstance.mLeads;
  }
  if (aCommand.mTerm <= aInstance.mTerm) {
    return false;
  }
  aInstance.mTerm = aCommand.mTerm;
  aInstance.mOwner = aCommand.mOwner;
  aInstance.mLeads = false;
  aInstance.mFollows.reset();
  return true;
}

bool
history_group::Promote(history_instance& aInstance,
                       const promotion_command& aCommand)
{
  if (aCommand.mTerm != aInstance.mTerm ||
      aCommand.mOwner != aInstance.mOwner) {
    return false;
  }
  if (!aInstance.mLeads) {
    aInstance.mLeads = true;
    aInstance.mLog.push_back({ aInstance.mTerm, 0 });
  }
  return true;
}

bool
history_group::Follow(history_instance& aInstance,
                      const promotion_command& aCommand,
                      time_point aNow)
{
  if (aCommand.mTerm < aInstance.mTerm ||
      (aCommand.mTerm == aInstance.mTerm && aInstance.mLeads)) {
    return false;
  }
  if (aCommand.mTerm > aInstance.mTerm) {
    aInstance.mTerm = aCommand.mTerm;
    aInstance.mOwner.clear();
  }
  aInstance.mLeads = false;
  aInstance.mFollows = aCommand.mLeader;
  aInstance.mLastContactAt = aNow;
  return true;
}

promotion_answer
history_group::ExecuteCommand(const promotion_command& aCommand,
                              time_point aNow)
{
  history_instance& instance = mInstances[aCommand.mInstance];
  promotion_answer answer;
  switch (aCommand.mVerb) {
    case promotion_verb::Fence:
      answer.mGranted = Fence(instance, aCommand);
      break;
    case promotion_verb::Promote:
      answer.mGranted = Promote(instance, aCommand);
      break;
    case promotion_verb::Follow:
      answer.mGranted = Follow(instance, aCommand, aNow);
      break;
  }
  answer.mReport = Report(aCommand.mInstance, aNow);
  answer.mSentAt = aNow;
  return answer;
}

std::optional<log_position>
history_group::Write(instance_number aInstance, std::uint32_t aWrite)
{
  history_instance& instance = mInstances[aInstance];
  if (!instance.mLeads) {
    return std::nullopt;
  }
  instance.mLog.push_back({ instance.mTerm, aWrite });
  return instance.LastPosition();
}

void
history_group::Replicate(instance_number aInstance, time_point aNow)
{
  history_instance& replica = mInstances[aInstance];
  if (replica.mLeads || !replica.mFollows || replica.mIsolated) {
    return;
  }
  const history_instance& leader = mInstances[*replica.mFollows];
  if (leader.mIsolated || !leader.mLeads || leader.mTerm != replica.mTerm) {
    return;
  }
  replica.mLastContactAt = aNow;
  const std::size_t end = replica.mLog.size();
  const bool conflict =
    end > leader.mLog.size() ||
    (end > 0 && leader.mLog[end - 1].mTerm != replica.mLog[end - 1].mTerm);
  if (conflict) {
    replica.mLog.pop_back();
    return;
  }
  const std::size_t next =
    std::min(leader.mLog.size(), end + replica.mMaxReplicationBatch);
  for (std::size_t i = end; i < next; ++i) {
    replica.mLog.push_back(leader.mLog[i]);
  }
}

bool
history_group::Holds(instance_number aInstance,
                     log_position aPosition,
                     std::uint32_t aWrite) const
{
  const auto& log = mInstances[aInstance].mLog;
  return aPosition.mIndex <= log.size() &&
         log[aPosition.mIndex - 1].mWrite == aWrite;
}

std::optional<instance_number>
history_group::Leader() const
{
  std::optional<instance_number> leader;
  for (instance_number i = 0; i < mInstances.size(); ++i) {
    const bool leads = mInstances[i].mLeads;
    if (leads && (!leader || mInstances[i].mTerm > mInstances[*leader].mTerm)) {
      leader = i;
    }
  }
  return leader;
}

} // namespace catkinloom
