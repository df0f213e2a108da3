#include "clGroupTable.h"

#include <algorithm>
#include <array>

namespace catkinloom {

namespace {

/// Time after a bounded-staleness read for which the primary is probed at the
/// rate that the read requires.
constexpr milliseconds kBoundedReadWindow{ 1000 };

/// Constants of TCP's retransmission timer (RFC 6298): a new sample has the
/// weight 1/8 in the smoothed response time and 1/4 in the deviation, and four
/// deviations above the smoothed time cover nearly every response.
constexpr int kMeanWeightDivisor = 8;
constexpr int kDeviationWeightDivisor = 4;
constexpr int kDeviationMultiplier = 4;

/// Minimum age that the history covers.
constexpr milliseconds kMinCoveredAge{ 1000 };

bool
SameInstance(const manifest_instance& aLeft, const manifest_instance& aRight)
{
  return aLeft.mName == aRight.mName && aLeft.mAddress == aRight.mAddress;
}

/// Moves the evidence about instances that are in both rows from the old row to
/// the new one.
void
TransferEvidence(group_row& aOld, group_row& aNew)
{
  aNew.mHeadHistory = aOld.mHeadHistory;
  for (instance_row& newRow : aNew.mInstances) {
    for (instance_row& old : aOld.mInstances) {
      if (!SameInstance(old.mDeclared, newRow.mDeclared)) {
        continue;
      }
      manifest_instance declared = newRow.mDeclared;
      newRow = std::move(old);
      newRow.mDeclared = std::move(declared);
      break;
    }
  }
}

group_row
MakeGroupRow(const manifest_group& aDeclared)
{
  group_row row;
  row.mName = aDeclared.mName;
  row.mAcknowledge = aDeclared.mAcknowledge;
  for (const manifest_instance& instance : aDeclared.mInstances) {
    row.mInstances.push_back({});
    row.mInstances.back().mDeclared = instance;
  }
  return row;
}

} // namespace

void
SmoothResponseTime(instance_row& aRow, nanoseconds aResponseTime)
{
  const nanoseconds difference = aResponseTime - aRow.mResponseTime;
  const nanoseconds absDifference =
    difference < nanoseconds(0) ? -difference : difference;
  aRow.mResponseTime += difference / kMeanWeightDivisor;
  aRow.mResponseTimeDeviation +=
    (absDifference - aRow.mResponseTimeDeviation) / kDeviationWeightDivisor;
}

nanoseconds
ExpectedResponseTime(const instance_row& aRow)
{
  return aRow.mResponseTime +
         kDeviationMultiplier * aRow.mResponseTimeDeviation;
}

void
head_history::SetCoveredAge(milliseconds aAge)
{
  // 20 % more than the age, to allow for the response time.
  mMinSpacing = nanoseconds(aAge) * 6 / 5 / static_cast<int>(kMaxSamples);
}

void
head_history::Add(head_sample aSample)
{
  if (mCount > 0) {
    const bool sameHead = mLatestSample.mHead == aSample.mHead;
    const bool tooClose = aSample.mSentAt - mLatestSample.mSentAt < mMinSpacing;
    if (aSample.mSentAt <= mLatestSample.mSentAt || (tooClose && !sameHead)) {
      return;
    }
    if (sameHead) {
      // The log end is unchanged, so the later observation proves more.
      mLatestSample.mSentAt = aSample.mSentAt;
      mSamples[(mNextIndex + kMaxSamples - 1) % kMaxSamples] = mLatestSample;
      return;
    }
  }
  mLatestSample = aSample;
  mSamples[mNextIndex] = aSample;
  mNextIndex = (mNextIndex + 1) % kMaxSamples;
  mCount = std::min(mCount + 1, kMaxSamples);
}

void
head_history::EndTerm(std::optional<time_point> aConfirmedAt)
{
  if (!aConfirmedAt) {
    mCount = 0;
    return;
  }
  for (head_sample& sample : mSamples) {
    sample.mSentAt = std::min(sample.mSentAt, *aConfirmedAt);
  }
  mLatestSample.mSentAt = std::min(mLatestSample.mSentAt, *aConfirmedAt);
}

std::optional<time_point>
head_history::FreshAt(log_position aPosition, time_point aConfirmedAt) const
{
  if (mCount > 0 && mLatestSample.mHead <= aPosition) {
    return std::min(mLatestSample.mSentAt, aConfirmedAt);
  }
  for (std::size_t back = 1; back <= mCount; ++back) {
    const head_sample& sample =
      mSamples[(mNextIndex + kMaxSamples - back) % kMaxSamples];
    if (sample.mHead <= aPosition) {
      return std::min(sample.mSentAt, aConfirmedAt);
    }
  }
  return std::nullopt;
}

std::optional<time_point>
head_history::ReachedAt(log_position aPosition) const
{
  std::optional<time_point> reachedAt;
  for (std::size_t back = 1; back <= mCount; ++back) {
    const head_sample& sample =
      mSamples[(mNextIndex + kMaxSamples - back) % kMaxSamples];
    if (sample.mHead < aPosition) {
      break;
    }
    reachedAt = sample.mSentAt;
  }
  return reachedAt;
}

void
group_table::Apply(const std::vector<manifest_group>& aGroups)
{
  for (group_row& row : mGroups) {
    row.mRetired = true;
  }
  for (const manifest_group& declared : aGroups) {
    group_row newRow = MakeGroupRow(declared);
    if (const auto old = mIndex.Find(declared.mName)) {
      TransferEvidence(mGroups[*old], newRow);
      mGroups[*old] = std::move(newRow);
      continue;
    }
    mIndex.Add(declared.mName, static_cast<group_row_number>(mGroups.size()));
    mGroups.push_back(std::move(newRow));
  }
}

void
group_table::SetMaxStalenessBound(milliseconds aAge)
{
  for (group_row& row : mGroups) {
    row.mHeadHistory.SetCoveredAge(std::max(aAge, kMinCoveredAge));
  }
}

void
group_table::RecordBoundedStalenessRead(group_row_number aGroup,
                                        milliseconds aAge,
                                        time_point aNow)
{
  group_row& group = mGroups[aGroup];
  const bool isFirst = aNow >= group.mBoundedReadsUntil;
  group.mMinStalenessBound =
    isFirst ? aAge : std::min(group.mMinStalenessBound, aAge);
  group.mBoundedReadsUntil = aNow + kBoundedReadWindow;
}

std::optional<group_row_number>
group_table::Find(std::string_view aName) const
{
  const auto row = mIndex.Find(aName);
  if (!row || mGroups[*row].mRetired) {
    return std::nullopt;
  }
  return row;
}

void
group_table::Record(group_row_number aGroup,
                    instance_number aInstance,
                    instance_report aReport,
                    time_point aSentAt)
{
  group_row& group = mGroups[aGroup];
  instance_row& row = group.mInstances[aInstance];
  row.mFailingSince.reset();
  if (row.mReport && aSentAt < row.mSentAt) {
    return;
  }
  if (row.mReport && aReport.mTerm < row.mReport->mTerm) {
    return;
  }
  const term_number highest = HighestTerm(group);
  if (aReport.mTerm > highest) {
    group.mHeadHistory.EndTerm(TermConfirmedAt(group, highest));
  }
  if (aReport.mLeads && aReport.mTerm >= highest) {
    group.mHeadHistory.Add({ aSentAt, aReport.mLog });
  }
  row.mReport = std::move(aReport);
  row.mSentAt = aSentAt;
}

void
group_table::RecordProgress(group_row_number aGroup,
                            instance_number aInstance,
                            term_number aTerm,
                            log_position aLog,
                            time_point aSentAt)
{
  const instance_row& row = mGroups[aGroup].mInstances[aInstance];
  if (!row.mReport || row.mReport->mTerm != aTerm) {
    // Data responses do not show which instance leads a term. Until the control
    // connection reports this term, its leader is unknown.
    return;
  }
  instance_report report = *row.mReport;
  report.mLog = std::max(report.mLog, aLog);
  Record(aGroup, aInstance, std::move(report), aSentAt);
}

void
group_table::RecordFailure(group_row_number aGroup,
                           instance_number aInstance,
                           time_point aNow)
{
  instance_row& row = mGroups[aGroup].mInstances[aInstance];
  if (!row.mFailingSince) {
    row.mFailingSince = aNow;
  }
}

std::optional<instance_number>
FindInstance(const group_row& aGroup, std::string_view aName)
{
  for (instance_number i = 0; i < aGroup.mInstances.size(); ++i) {
    if (aGroup.mInstances[i].mDeclared.mName == aName) {
      return i;
    }
  }
  return std::nullopt;
}

term_number
HighestTerm(const group_row& aGroup)
{
  term_number highest = 0;
  for (const instance_row& row : aGroup.mInstances) {
    if (row.mReport) {
      highest = std::max(highest, row.mReport->mTerm);
    }
  }
  return highest;
}

std::optional<time_point>
TermConfirmedAt(const group_row& aGroup, term_number aTerm)
{
  std::array<time_point, kMaxInstancesPerGroup> sentAt;
  std::size_t count = 0;
  for (const instance_row& row : aGroup.mInstances) {
    if (row.mReport && row.mReport->mTerm == aTerm) {
      sentAt[count++] = row.mSentAt;
    }
  }
  const std::size_t majority = aGroup.Majority();
  if (count < majority) {
    return std::nullopt;
  }
  std::sort(sentAt.begin(), sentAt.begin() + count, std::greater<>{});
  return sentAt[majority - 1];
}

bool
IsConfirmed(const group_row& aGroup, term_number aTerm, log_position aPosition)
{
  std::size_t holders = 0;
  for (const instance_row& row : aGroup.mInstances) {
    const bool holds = row.mReport && row.mReport->mTerm == aTerm &&
                       row.mReport->mLog >= aPosition;
    holders += holds ? 1 : 0;
  }
  return holders >= aGroup.Majority();
}

std::optional<instance_number>
PrimaryOf(const group_row& aGroup)
{
  const term_number highest = HighestTerm(aGroup);
  for (instance_number i = 0; i < aGroup.mInstances.size(); ++i) {
    const auto& report = aGroup.mInstances[i].mReport;
    if (report && report->mLeads && report->mTerm == highest) {
      return i;
    }
  }
  return std::nullopt;
}

} // namespace catkinloom
